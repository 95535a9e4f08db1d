import {Either} from 'purify-ts';
import {Millis} from '../base/clock.js';
import {Refusal} from '../base/refusal.js';
import {Epoch} from '../stream/types.js';
import {
  FakeReader,
  FakeStream,
  FakeWriter,
} from './fake_stream.test_support.js';
import {FakeWorker} from './fake_worker.test_support.js';
import {Scheduler} from './scheduler.js';
import {Simulation} from './simulation.test_support.js';
import {SchedulerAction, SchedulerAnswer, SchedulerMessage} from './types.js';

/** Faults of the network between a node and the workers. */
export interface NetworkFaults {
  /** Probability that the answer to a call is lost. */
  lostAnswerProbability: number;
  /** Probability that a request or an answer takes up to 5 seconds. */
  lateMessageProbability: number;
}

type Answer = Either<Refusal, SchedulerAnswer>;
type ActionOf<K extends SchedulerAction['kind']> = Extract<
  SchedulerAction,
  {kind: K}
>;

/** Records after which a checkpoint is due; few, so that a run has several. */
const CHECKPOINT_RECORDS = 25;

/** Time after which an unanswered call counts as failed. */
const CALL_TIMEOUT_MS: Millis = 800;

/**
 * An instance that may lead: a scheduler with a fake reader and writer of the
 * stream and with fake calls to the workers.
 */
export class FakeNode {
  readonly scheduler: Scheduler;
  readonly writer: FakeWriter;
  /** Violations that the scheduler reported. */
  readonly violations: string[] = [];
  /** Kinds of the actions on workers that were decided without a lease. */
  readonly actionsWithoutLease: string[] = [];
  /** Simulated time at which the leadership lease ends. */
  leaseUntil: Millis = -Infinity;
  /** Epoch of the view for which the lease was given. */
  leaseEpoch: Epoch | undefined;
  /** Epoch that this node leads, once it has read its view. */
  epoch: Epoch | undefined;
  /** Simulated time until which the process is paused. */
  pausedUntil: Millis = 0;
  private readonly reader: FakeReader;
  private readonly answerListeners = new Map<
    string,
    (answer: Answer) => void
  >();
  /** Whether this node appended a view that it has not read back. */
  private viewPending = false;
  /** State of the log that the scheduler was told last. */
  private reportedLogAvailable: boolean | undefined;

  constructor(
    readonly index: number,
    private readonly simulation: Simulation,
    private readonly stream: FakeStream,
    private readonly workers: ReadonlyMap<string, FakeWorker>,
    private readonly faults: NetworkFaults,
  ) {
    this.scheduler = new Scheduler(
      {
        mayAct: now => this.holdsLease(now),
        leaseUntil: () => this.leaseUntil,
      },
      {dataCentre: 'dc', checkpointRecords: CHECKPOINT_RECORDS},
    );
    this.reader = new FakeReader(stream);
    this.writer = new FakeWriter(`n${index}#1`, stream);
  }

  private holdsLease(now: Millis): boolean {
    return now < this.leaseUntil && this.epoch === this.leaseEpoch;
  }

  /** Runs one iteration of the node's loop, unless the node is paused. */
  runOnce(): void {
    if (this.simulation.now < this.pausedUntil) return;
    if (this.stream.available) this.readStream();
    if (this.reportedLogAvailable !== this.stream.available) {
      this.reportedLogAvailable = this.stream.available;
      this.handle({kind: 'log', available: this.reportedLogAvailable});
    }
    this.handle({kind: 'tick'});
    // A batch after the pending view is void unless it has the epoch of the view.
    if (this.epoch !== undefined && !this.viewPending) {
      this.writer.send(this.epoch, this.simulation.now);
    }
  }

  /** Passes a message to the scheduler as soon as the node is not paused. */
  deliver(message: SchedulerMessage): void {
    const waitMs = this.pausedUntil - this.simulation.now;
    if (waitMs > 0) this.simulation.after(waitMs, () => this.deliver(message));
    else this.handle(message);
  }

  /** Passes a caller's request to the scheduler. */
  sendRequest(
    request: string,
    message: SchedulerMessage,
    answer: (answer: Answer) => void,
  ): void {
    this.answerListeners.set(request, answer);
    this.deliver(message);
  }

  /** Passes a message to the scheduler at once and carries out its actions. */
  handle(message: SchedulerMessage): void {
    const {now} = this.simulation;
    for (const action of this.scheduler.handle(message, now)) this.act(action);
  }

  private readStream(): void {
    for (const record of this.reader.read()) {
      if (record.kind === 'batch') {
        const own = this.writer.onBatchRead(record.batch);
        this.handle({kind: 'batch-read', own, ...pickBatch(record)});
      } else if (record.leader === this.index) {
        this.becomeLeader(record.epoch);
      } else if (this.epoch !== undefined) {
        this.epoch = undefined;
        this.viewPending = false;
        this.writer.reset();
        this.handle({kind: 'follow'});
      }
    }
  }

  /** Appends a view with the same leader, as a change of members does. */
  changeMembers(): void {
    if (this.epoch === undefined || !this.writer.isIdle) return;
    this.viewPending = true;
    const base = this.epoch;
    this.stream.records.push({kind: 'view', base, leader: this.index});
  }

  private becomeLeader(epoch: Epoch): void {
    const continued = this.viewPending;
    this.viewPending = false;
    this.epoch = epoch;
    if (continued) this.leaseEpoch = epoch;
    else this.writer.reset();
    this.handle({kind: 'lead', epoch, continued});
  }

  private act(action: SchedulerAction): void {
    if (action.kind === 'append') this.writer.add(action.entries);
    else if (action.kind === 'answer') this.passAnswer(action);
    else if (action.kind === 'violation') {
      this.violations.push(`${action.rule} ${action.worker} ${action.task}`);
    } else if (action.kind !== 'job-ended') this.callWorker(action);
  }

  private passAnswer({request, answer}: ActionOf<'answer'>): void {
    const listener = this.answerListeners.get(request);
    this.answerListeners.delete(request);
    listener?.(answer);
  }

  /**
   * Sends an action to its worker after a random latency. The status comes back
   * after another one, or the answer is lost.
   */
  private callWorker(
    action: Exclude<
      SchedulerAction,
      {kind: 'append' | 'answer' | 'violation' | 'job-ended'}
    >,
  ): void {
    const {simulation} = this;
    const sentAt = simulation.now;
    if (!this.holdsLease(sentAt)) this.actionsWithoutLease.push(action.kind);
    const worker = this.workers.get(action.worker);
    simulation.after(this.randomLatency(), () => {
      if (worker === undefined || !worker.isReachable) {
        this.reportUnreachable(action.worker, sentAt);
        return;
      }
      const message = this.executeOnWorker(action, worker, sentAt);
      if (simulation.chance(this.faults.lostAnswerProbability)) {
        this.reportUnreachable(action.worker, sentAt);
        return;
      }
      simulation.after(this.randomLatency(), () => this.deliver(message()));
    });
  }

  /** Reports a call as failed once its timeout has passed. */
  private reportUnreachable(worker: string, sentAt: Millis): void {
    const waitMs = sentAt + CALL_TIMEOUT_MS - this.simulation.now;
    this.simulation.after(waitMs, () =>
      this.deliver({kind: 'worker-unreachable', worker}),
    );
  }

  /** Executes an action on a worker; returns a builder of the worker's answer. */
  private executeOnWorker(
    action: Exclude<
      SchedulerAction,
      {kind: 'append' | 'answer' | 'violation' | 'job-ended'}
    >,
    worker: FakeWorker,
    sentAt: Millis,
  ): () => SchedulerMessage {
    const {now} = this.simulation;
    const {id} = worker;
    if (action.kind === 'start') {
      const {task} = action;
      if (!worker.startTask(task, action.start, now)) {
        return () => ({kind: 'start-refused', worker: id, task});
      }
    } else if (action.kind === 'poll') worker.renew(action.leases, now);
    else if (action.kind === 'stop-task') worker.stop(action.task, now);
    else if (action.kind === 'forget-task') worker.forget(action.task, now);
    else if (action.kind === 'checkpoint-task') {
      worker.checkpoint(action.task, now);
    } else worker.throttle(action.task, action.share, now);
    const status = worker.status(now);
    return () => ({
      kind: 'worker-status',
      worker: id,
      status,
      sentAt,
      receivedAt: this.simulation.now,
    });
  }

  private randomLatency(): Millis {
    const {simulation} = this;
    return simulation.chance(this.faults.lateMessageProbability)
      ? simulation.between(50, 5000)
      : simulation.between(0.5, 8);
  }
}

/** The fields of a `batch-read` message. */
function pickBatch<T extends {offset: number; batch: unknown}>(record: T) {
  return {offset: record.offset, batch: record.batch as T['batch']};
}
