import {Counter, Gauge, Registry} from 'prom-client';
import {CostMeter} from '../../common/batch/cost_meter.js';
import {DecisionLog} from '../../common/batch/scheduler_state.js';
import {Metrics} from '../metrics.js';
import {IntakeMetrics} from './intake/intake_metrics.js';

/** Decisions with a histogram, and the field with the duration in ms. */
const HISTOGRAM_FIELDS: Readonly<Record<string, string>> = {
  answer: 'ms',
  place: 'waitedMs',
  'run-ended': 'ms',
  'perpetual-backlog': 'oldestMs',
  reservation: 'errorMs',
};

/** Fields of `costs` that are shares of the processors of a shard. */
const SHARE_FIELDS = ['reserved', 'reservedForGood'] as const;

/** Decisions whose histogram has a label, and the field with its value. */
const LABEL_FIELDS: Readonly<Record<string, string>> = {
  answer: 'status',
  'run-ended': 'end',
  reservation: 'event',
};

/** Logs decisions, counts them by kind and records their durations. */
export class MeteredDecisionLog implements DecisionLog {
  private readonly registry = new Registry();
  private readonly decisions = new Counter({
    name: 'jasminegauge_decisions_total',
    help: 'Decisions by kind; each is also a line of the log.',
    labelNames: ['decision'],
    registers: [this.registry],
  });
  private readonly partTimes = new Counter({
    name: 'jasminegauge_scheduler_part_milliseconds_total',
    help: 'Time that the scheduler spent in each of its parts.',
    labelNames: ['part'],
    registers: [this.registry],
  });
  private readonly partOperations = new Counter({
    name: 'jasminegauge_scheduler_part_operations_total',
    help: 'Operations of the scheduler by part.',
    labelNames: ['part'],
    registers: [this.registry],
  });
  private readonly excludedWorkers = new Counter({
    name: 'jasminegauge_excluded_workers_total',
    help: 'Workers that could not run a late perpetual task, by log line.',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  private readonly shares = new Gauge({
    name: 'jasminegauge_reserved_share',
    help: 'Share of processors that runs reserve, all or for good.',
    labelNames: ['shard', 'field'],
    registers: [this.registry],
  });

  private readonly evacuated = new Gauge({
    name: 'jasminegauge_evacuated_data_centres',
    help: 'Data centres that the operator has asked to evacuate.',
    registers: [this.registry],
  });
  private readonly withdrawnStarts = new Counter({
    name: 'jasminegauge_withdrawn_starts_total',
    help: 'Starts withdrawn because their worker became unsuitable, by reason.',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  private readonly intake = new IntakeMetrics(this.registry);
  private readonly reservations = new Counter({
    name: 'jasminegauge_reservations_total',
    help: 'Reservations of room for large tasks: made, met, missed, released.',
    labelNames: ['event'],
    registers: [this.registry],
  });
  private readonly heldReservations = new Gauge({
    name: 'jasminegauge_reservations_held',
    help: 'Reservations of room for large tasks at present.',
    labelNames: ['shard'],
    registers: [this.registry],
  });

  constructor(
    private readonly log: DecisionLog,
    private readonly metrics: Metrics,
    private readonly costs: CostMeter,
  ) {}

  decide(decision: string, fields: Readonly<Record<string, unknown>>): void {
    this.decisions.inc({decision});
    const duration = fields[HISTOGRAM_FIELDS[decision]];
    if (typeof duration === 'number') {
      const label = String(fields[LABEL_FIELDS[decision]] ?? 'all');
      this.metrics.observe(decision.replace('-', '_'), label, duration);
    }
    this.recorders[decision]?.(fields);
    this.log.decide(decision, fields);
  }

  /** Records what other metrics than histograms show, by decision. */
  private readonly recorders: Readonly<
    Record<string, (fields: Readonly<Record<string, unknown>>) => void>
  > = {
    answer: fields => this.intake.onAnswer(fields),
    forward: fields => this.intake.onForward(fields),
    costs: ({shard = '', ...fields}) => {
      for (const field of SHARE_FIELDS) {
        const value = fields[field];
        if (typeof value !== 'number') continue;
        this.shares.set({shard: String(shard), field}, value);
      }
    },
    'perpetual-backlog': ({excluded}) => {
      for (const [reason, workers] of Object.entries(excluded ?? {})) {
        this.excludedWorkers.inc({reason}, Number(workers));
      }
    },
    evacuation: ({evacuated}) => this.evacuated.set(Number(evacuated)),
    'start-withdrawn': ({reason}) =>
      this.withdrawnStarts.inc({reason: String(reason)}),
    reservation: ({shard = '', event, held}) => {
      this.reservations.inc({event: String(event)});
      this.heldReservations.set({shard: String(shard)}, Number(held));
    },
    // The next scheduler of the shard may be in another process.
    'term-ends': () => {
      this.shares.reset();
      this.heldReservations.reset();
    },
  };

  /** Returns all metrics in the Prometheus text format. */
  async text(): Promise<string> {
    this.updateCosts();
    return (await this.registry.metrics()) + (await this.metrics.text());
  }

  /** Sets the counters of the costs to the totals of the meter. */
  private updateCosts(): void {
    this.partTimes.reset();
    this.partOperations.reset();
    for (const [part, {ms, operations}] of Object.entries(
      this.costs.snapshot(),
    )) {
      this.partTimes.inc({part}, ms);
      this.partOperations.inc({part}, operations);
    }
  }
}
