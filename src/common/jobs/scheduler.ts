import {MINUTE, Millis, SECOND} from '../base/clock.js';
import {onCancel} from './cancellations.js';
import {onClaim, onEndClaim} from './claims.js';
import {onInterference} from './evictions.js';
import {JobTable} from './job_table.js';
import {PlacementPolicy} from './placement.js';
import {endExpiredTasks, onWorkerUnreachable, pollDueWorkers} from './polls.js';
import {InterferencePolicy} from './interference_controller.js';
import {onBatchRead} from './read_back.js';
import {writeDueCheckpoint, flushRecords} from './record_output.js';
import {SchedulerSettings, SchedulerState} from './scheduler_state.js';
import {sendRecordedStarts, startQueuedJobs} from './starts.js';
import {currentView, onSubmit} from './submissions.js';
import {
  onFollow,
  onLead,
  refuseAppendedRequests,
  advanceReconciliation,
} from './reconciliation.js';
import {onStartRefused, onWorkerStatus} from './task_lifecycle.js';
import {
  Claim,
  DEFAULT_SCHEDULER_TIMING,
  JobId,
  JobView,
  LeadershipLease,
  SchedulerAction,
  SchedulerMessage,
} from './types.js';
import {onConfiguration, onInstances} from './workers.js';

/** Time after which starts resume if leadership was not handed over. */
const DRAIN_TIMEOUT_MS: Millis = 10 * SECOND;

/** Default for the number of jobs that may be queued or running. */
const DEFAULT_QUEUE_LIMIT = 50_000;

const DEFAULT_CHECKPOINT_MS: Millis = 10 * MINUTE;
const DEFAULT_CHECKPOINT_RECORDS = 5000;

type Handler<K extends SchedulerMessage['kind']> = (
  state: SchedulerState,
  message: Extract<SchedulerMessage, {kind: K}>,
  now: Millis,
) => Generator<SchedulerAction>;

const HANDLERS: {readonly [K in SchedulerMessage['kind']]: Handler<K>} = {
  submit: onSubmit,
  cancel: onCancel,
  claim: onClaim,
  'end-claim': onEndClaim,
  'batch-read': onBatchRead,
  log: onLog,
  lead: onLead,
  follow: onFollow,
  'worker-status': onWorkerStatus,
  'worker-unreachable': onWorkerUnreachable,
  'start-refused': onStartRefused,
  instances: onInstances,
  configuration: onConfiguration,
  interference: onInterference,
  drain: onDrain,
  tick: onTick,
};

function* onLog(
  state: SchedulerState,
  {available}: Extract<SchedulerMessage, {kind: 'log'}>,
): Generator<SchedulerAction> {
  state.logAvailable = available;
  state.placementNeeded = true;
  if (!available) yield* refuseAppendedRequests(state);
}

// eslint-disable-next-line require-yield
function* onDrain(
  state: SchedulerState,
  unusedMessage: SchedulerMessage,
  now: Millis,
): Generator<SchedulerAction> {
  if (state.term !== undefined) state.term.drainUntil = now + DRAIN_TIMEOUT_MS;
}

function* onTick(
  state: SchedulerState,
  unusedMessage: SchedulerMessage,
  now: Millis,
): Generator<SchedulerAction> {
  state.table.prune(state.unixMs);
  if (!state.mayAct(now)) return;
  state.closedTasks.prune(now);
  endExpiredTasks(state, now);
  yield* advanceReconciliation(state, now);
  yield* sendRecordedStarts(state, now);
  yield* startQueuedJobs(state, now);
  yield* pollDueWorkers(state, now);
  yield* writeDueCheckpoint(state, now);
}

/**
 * Scheduler core of one data centre; it takes messages and yields actions.
 * Every instance applies the batches in force; only the leader also starts
 * tasks, renews their leases and answers requests. All state is in memory: a
 * new leader recovers the jobs from the records and the tasks from the workers.
 */
export class Scheduler {
  private readonly state: SchedulerState;

  constructor(
    lease: LeadershipLease,
    settings: Partial<SchedulerSettings> & {readonly dataCentre: string},
    table = new JobTable(),
  ) {
    const completeSettings: SchedulerSettings = {
      timing: DEFAULT_SCHEDULER_TIMING,
      placement: PlacementPolicy.BEST_FIT,
      reaction: InterferencePolicy.THROTTLE_THEN_EVICT,
      queueLimit: DEFAULT_QUEUE_LIMIT,
      checkpointMs: DEFAULT_CHECKPOINT_MS,
      checkpointRecords: DEFAULT_CHECKPOINT_RECORDS,
      ...settings,
    };
    this.state = new SchedulerState(completeSettings, lease, table);
  }

  /**
   * Handles a message and yields the actions to take. The caller must take all
   * of them before it passes in the next message.
   *
   * @param now local monotonic time, in milliseconds.
   * @param unixMs Unix time in milliseconds, for the times in records.
   */
  *handle(
    message: SchedulerMessage,
    now: Millis,
    unixMs: Millis = now,
  ): Generator<SchedulerAction> {
    const {state} = this;
    state.now = now;
    state.unixMs = unixMs;
    const handler = HANDLERS[message.kind] as Handler<typeof message.kind>;
    yield* handler(state, message as never, now);
    yield* flushRecords(state);
  }

  /** The job as this instance knows it. */
  job(id: JobId): JobView | undefined {
    return currentView(this.state, id);
  }

  /** All jobs as this instance knows them. */
  *allJobs(): Generator<JobView> {
    const {table} = this.state;
    for (const {id} of table.allJobs()) yield currentView(this.state, id)!;
  }

  claim(key: string): Claim | undefined {
    return this.state.table.claim(key);
  }

  /** Number of jobs that wait for placement. */
  get queuedJobs(): number {
    return this.state.queue.size;
  }

  /** Number of sent starts that no status has confirmed; they may still run. */
  get unconfirmedStarts(): number {
    let count = 0;
    for (const task of this.state.tasks.values()) {
      if (!task.wasReported && task.startSentAt !== Infinity) count++;
    }
    return count;
  }

  /** Number of tasks with allocated capacity. */
  get allocatedTasks(): number {
    return this.state.tasks.size;
  }
}
