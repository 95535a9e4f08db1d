import {Counter, Histogram, Registry} from 'prom-client';

/** Bounds of the histogram of Retry-After, in seconds; values are whole. */
const RETRY_AFTER_BUCKETS_S = [1, 2, 3, 4, 6, 8];

/** Outcomes of submissions and cancellations by the status of the response. */
const OUTCOMES: Readonly<Record<number, string>> = {
  200: 'accepted',
  410: 'unknown-job',
  413: 'too-large',
  429: 'rejected',
  502: 'unknown',
  503: 'rejected',
  504: 'unknown',
};

/** Methods of requests that write. */
const WRITING_METHODS: ReadonlySet<unknown> = new Set(['POST', 'DELETE']);

type Fields = Readonly<Record<string, unknown>>;

/** Counters of what became of submissions, from the lines of the log. */
export class IntakeMetrics {
  private readonly writes: Counter<'outcome' | 'cause'>;
  private readonly forwards: Counter<'result'>;
  private readonly retryAfter: Histogram<'cause'>;

  constructor(registry: Registry) {
    const registers = [registry];
    this.writes = new Counter({
      name: 'jasminegauge_intake_writes_total',
      help: 'Submissions and cancellations by outcome; rejected ones by cause.',
      labelNames: ['outcome', 'cause'],
      registers,
    });
    this.forwards = new Counter({
      name: 'jasminegauge_intake_forwards_total',
      help: 'Records passed to other instances, by result.',
      labelNames: ['result'],
      registers,
    });
    this.retryAfter = new Histogram({
      name: 'jasminegauge_retry_after_seconds',
      help: 'Retry-After sent, by cause.',
      labelNames: ['cause'],
      buckets: RETRY_AFTER_BUCKETS_S,
      registers,
    });
  }

  /** Counts the response to a caller. */
  onAnswer({method, status, cause = '', retryAfterS}: Fields): void {
    const label = String(cause);
    if (typeof retryAfterS === 'number') {
      this.retryAfter.observe({cause: label}, retryAfterS);
    }
    if (!WRITING_METHODS.has(method)) return;
    const outcome = OUTCOMES[Number(status)] ?? 'invalid';
    this.writes.inc({outcome, cause: label});
  }

  /** Counts a record that was passed to another instance. */
  onForward({result}: Fields): void {
    this.forwards.inc({result: String(result)});
  }
}
