import {setTimeout as sleep} from 'node:timers/promises';
import {Clock, Millis} from '../../common/base/clock.js';
import {CostReport} from '../../common/batch/cost_report.js';
import {RecordKind} from '../../common/batch/job_records.js';
import {Scheduler} from '../../common/batch/scheduler.js';
import {WHOLE_FLEET} from '../../common/batch/shard_layout.js';
import {Command, CommandKind} from '../../common/batch/scheduler_state.js';
import {KeyedRecord} from '../../common/batch/store.js';
import {
  WorkerResponse,
  WorkerCallResult,
} from '../../common/batch/worker_calls.js';
import {WorkerCalls} from '../../common/batch/worker_calls.js';
import {FollowUp} from '../../common/batch/worker_leases.js';
import {Run, RunPhase, WorkerState} from '../../common/batch/worker_state.js';
import {FencedWriter} from './fenced_writer.js';
import {RoleWriter} from './role_writer.js';
import {SpecLoader} from './spec_loader.js';

/** Minimum delay between two appends; limits the call rate at the store. */
const MIN_APPEND_DELAY_MS: Millis = 12;

/** Interval of checks that depend on time alone, such as lease expiry. */
const TICK_INTERVAL_MS: Millis = 100;

/** Delay before the next renewal for a worker without response or address. */
const RENEWAL_RETRY_DELAY_MS: Millis = 200;

/** Longest wait for a signal before the next batch is taken. */
const MAX_BATCH_WAIT_MS: Millis = 300;

/** First delay before a worker call is retried; it doubles. */
const INITIAL_RETRY_DELAY_MS: Millis = 60;

/** Longest wait for a batch to be durable before a lease is renewed again. */
const MAX_COMMIT_WAIT_MS: Millis = 500;

/** Longest delay of a renewal for starts that its acknowledgement waits for. */
const MAX_OPEN_STARTS_WAIT_MS: Millis = 200;

/** Delay until the wait for these starts first checks them; it doubles. */
const FIRST_OPEN_STARTS_CHECK_MS: Millis = 10;

/** Longest delay before a worker call is retried. */
const MAX_RETRY_DELAY_MS: Millis = 500;

/** Why a term ended. */
export const TermEndReason = {
  /** The instance resigned from the scheduler role. */
  RESIGNED: 'resigned',
  /** The store or a worker has seen a higher epoch. */
  FENCED: 'fenced',
  /** An unexpected error; the successor starts from what is stored. */
  FAULT: 'fault',
} as const;
export type TermEndReason = (typeof TermEndReason)[keyof typeof TermEndReason];

/** Parts of the instance that a term uses. */
export interface TermHost {
  readonly workerClient: WorkerCalls;
  readonly clock: Clock;
  /** Writes the states topic. */
  readonly role: RoleWriter;
  /** Writes the progress topic. */
  readonly progress: FencedWriter;
  /** Writes to the intake under the epoch of the term. */
  readonly intake: FencedWriter;
  readonly costReport: CostReport;
  /** Loads the specification of a job that is kept without it. */
  readonly specs?: Pick<SpecLoader, 'load'>;
  /** Called at each check of what depends on time alone. */
  readonly onTick?: () => void;
}

/**
 * Runs a scheduler for one term: appends its batches to the log, sends its
 * commands to the workers and renews their leases.
 */
export class Term {
  private endReason: TermEndReason | undefined;
  /** Ends the wait for a signal. */
  private wake: () => void = () => {};
  /** Resolves when the next batch is durable. */
  private commitPromise: Promise<void>;
  private resolveCommit: () => void = () => {};
  /** Workers whose leases are being renewed. */
  private readonly renewedWorkers = new Set<WorkerState>();
  /** Whether a batch was requested since the last one was taken. */
  private isSignalled = false;
  private isResigning = false;
  /** States of the batch whose progress is being stored. */
  private batchStates: readonly KeyedRecord[] = [];
  /** Records for the states topic, in order, that no append has taken yet. */
  private readonly unwrittenStates: KeyedRecord[] = [];
  private isWritingStates = false;
  /** Resolves when the states that were passed on are stored. */
  private statesWritten: Promise<void> = Promise.resolve();

  constructor(
    readonly scheduler: Scheduler,
    private readonly host: TermHost,
  ) {
    this.commitPromise = this.newCommitPromise();
  }

  /** Runs until a successor fences this term or it has resigned. */
  async run(): Promise<TermEndReason> {
    const ticks = setInterval(() => this.tickSafely(), TICK_INTERVAL_MS);
    this.tickSafely();
    try {
      while (this.endReason === undefined) {
        const {isResigning} = this;
        await this.flush();
        if (isResigning) this.end(TermEndReason.RESIGNED);
        else await this.waitForSignal();
      }
    } catch (error) {
      this.scheduler.state.onFault('batch', error);
      this.end(TermEndReason.FAULT);
    }
    clearInterval(ticks);
    this.resolveCommit();
    this.host.progress.close();
    if (this.endReason !== TermEndReason.FENCED) {
      const {earlierAuthorityLeftMs} = this.scheduler.state;
      await this.host.role.resign(earlierAuthorityLeftMs);
    }
    this.host.role.close();
    return this.endReason ?? TermEndReason.FAULT;
  }

  /**
   * Whether the last stored append is so recent that no other instance can
   * have claimed the scheduler role.
   */
  get isAuthoritative(): boolean {
    return this.host.role.isAuthoritative;
  }

  /**
   * Resolves once no append of this key is in flight; to false unless the last
   * one is known to be stored.
   */
  settled(key: string): Promise<boolean> {
    return this.host.role.settled(key);
  }

  /** Whether all states of a job in the batches so far are stored. */
  isStateStored(job: string): boolean {
    const key = RecordKind.STATE + job;
    const isWaiting = [this.batchStates, this.unwrittenStates].some(states =>
      states.some(record => record.key === key),
    );
    return !isWaiting && this.host.role.isSettled(key);
  }

  /** Sends immediate commands and requests a batch after the append delay. */
  signal(): void {
    this.host.role.beat();
    this.sendImmediateCommands();
    this.isSignalled = true;
    this.wake();
  }

  /**
   * Resigns from the scheduler role, so that another instance can claim it at
   * once. During a store outage no instance can, so the term continues until
   * the store is reachable.
   */
  resign(): void {
    this.isResigning = true;
    this.signal();
  }

  /** Ends the term: another instance has claimed the scheduler role. */
  onFenced(): void {
    this.end(TermEndReason.FENCED);
  }

  /**
   * Waits until the run ends that a worker reported are durable. The worker
   * reports them until they are acknowledged, so a renewal sent earlier would
   * return at once. The wait is bounded because leases must be renewed during a
   * store outage as well.
   */
  private async awaitCommit(): Promise<void> {
    await Promise.race([this.commitPromise, sleep(MAX_COMMIT_WAIT_MS)]);
  }

  private newCommitPromise(): Promise<void> {
    return new Promise(resolve => {
      this.resolveCommit = resolve;
    });
  }

  private async waitForSignal(): Promise<void> {
    await sleep(MIN_APPEND_DELAY_MS);
    if (this.isSignalled || this.endReason !== undefined) return;
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, MAX_BATCH_WAIT_MS);
      this.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  private tickSafely(): void {
    try {
      this.tick();
    } catch (error) {
      this.scheduler.state.onFault('tick', error);
    }
  }

  private tick(): void {
    const {scheduler} = this;
    scheduler.tick();
    this.host.costReport.run();
    this.host.onTick?.();
    if (scheduler.leases.isFenced) this.end(TermEndReason.FENCED);
    for (const worker of scheduler.state.workers.values()) {
      if (this.renewedWorkers.has(worker)) continue;
      this.renewedWorkers.add(worker);
      void this.runRenewals(worker);
    }
    if (
      scheduler.state.jobsToStore.size > 0 ||
      scheduler.state.waitingTasks.size > 0
    ) {
      this.signal();
    }
    this.sendImmediateCommands();
  }

  private end(reason: TermEndReason): void {
    this.endReason ??= reason;
    this.wake();
  }

  /** Stores a batch, sends its commands, and stores what callers are told. */
  private async flush(): Promise<void> {
    const {progress, role} = this.host;
    this.isSignalled = false;
    const batch = this.scheduler.takeBatch();
    this.batchStates = batch.states;
    const refused: KeyedRecord[] = [];
    const isStored = await progress.append(batch.records, record =>
      refused.push(record),
    );
    if (!isStored) return;
    this.scheduler.onBatchStored(batch, refused);
    for (const command of batch.commands) this.send(command);
    if (batch.expired.length > 0) void this.removeExpiredJobs(batch.expired);
    const resolveCommit = this.resolveCommit;
    this.commitPromise = this.newCommitPromise();
    resolveCommit();
    this.unwrittenStates.push(...batch.states);
    this.batchStates = [];
    if (!this.isWritingStates) this.statesWritten = this.writeStates();
    if (!this.isResigning) return;
    await this.statesWritten;
    // Shows before a resignation that the store is reachable.
    await role.appendHeartbeat();
  }

  /**
   * Stores states of jobs until none are left. The next batch doesn't wait for
   * them: with a slow store each batch would take two appends in place of one.
   * States of several batches are joined.
   */
  private async writeStates(): Promise<void> {
    this.isWritingStates = true;
    while (this.unwrittenStates.length > 0) {
      const states = this.unwrittenStates.splice(0);
      const refused = new Set<KeyedRecord>();
      const isStored = await this.host.role.append(states, record =>
        refused.add(record),
      );
      if (!isStored) break;
      const stored = states.filter(record => !refused.has(record));
      this.scheduler.onStatesStored(stored);
    }
    this.isWritingStates = false;
  }

  /** Removes expired jobs from the intake, and then their other records. */
  private async removeExpiredJobs(ids: readonly string[]): Promise<void> {
    const kinds: RecordKind[] = [
      RecordKind.SUBMISSION,
      RecordKind.CANCELLATION,
    ];
    if (this.scheduler.state.shard !== WHOLE_FLEET) {
      kinds.push(RecordKind.HAND_OVER);
    }
    const records = ids.flatMap(id =>
      kinds.map(kind => ({key: kind + id, value: new Uint8Array()})),
    );
    if (!(await this.host.intake.append(records))) return;
    this.scheduler.onSubmissionsRemoved(ids);
  }

  private sendImmediateCommands(): void {
    if (this.endReason !== undefined) return;
    for (const command of this.scheduler.takeImmediate()) this.send(command);
  }

  private send(command: Command): void {
    if (this.endReason !== undefined) return;
    void this.execute(command).catch((error: unknown) =>
      this.scheduler.state.onFault(`command ${command.kind}`, error),
    );
  }

  private execute(command: Command): Promise<void> {
    if (command.kind === CommandKind.START) return this.start(command.run);
    if (command.kind === CommandKind.STOP) return this.stop(command.run);
    if (command.kind === CommandKind.PACE) return this.pace(command);
    return this.stopStray(command);
  }

  private async start(run: Run): Promise<void> {
    if (run.phase !== RunPhase.STAGED) return;
    run.phase = RunPhase.STARTING;
    const {task, worker, attempt} = run;
    const {checkpoint, name} = task;
    const {submission, submittedId} = task.step.occurrence.job;
    let spec = submission.lacksSpec ? undefined : submission.shape.spec;
    await this.retryUntilSettled(async () => {
      const {leases} = this.scheduler;
      if (!leases.isStartPending(run)) return FollowUp.SETTLED;
      if (spec === undefined) {
        spec = await this.host.specs?.load(submittedId);
        if (spec === undefined) return FollowUp.REPEAT;
        if (!leases.isStartPending(run)) return FollowUp.SETTLED;
      }
      const request = {task: name, attempt, spec, checkpoint, ticket: ''};
      const lease = leases.grantStart(run);
      if (lease === undefined) return FollowUp.REPEAT;
      const token = this.scheduler.state.fencingToken(worker);
      const response = await this.host.workerClient.start(
        worker,
        request,
        lease,
        token,
      );
      return this.scheduler.onStartResponse(run, response, token);
    });
    this.signal();
  }

  private async stop(run: Run): Promise<void> {
    const {task, worker, attempt} = run;
    await this.retryUntilSettled(async () => {
      if (worker.runs.get(task.name) !== run) return FollowUp.SETTLED;
      const token = this.scheduler.state.fencingToken(worker);
      const response = await this.requestStop(
        worker,
        task.name,
        attempt,
        token,
      );
      return this.scheduler.onStopResponse(run, response, token);
    });
    this.signal();
  }

  private requestStop(
    worker: WorkerState,
    task: string,
    attempt: number,
    token: number,
  ): Promise<WorkerResponse> {
    // The worker has no address while it isn't listed.
    if (worker.address === '') {
      return Promise.resolve({result: WorkerCallResult.NOT_SENT});
    }
    return this.host.workerClient.stop(worker, task, attempt, token);
  }

  /** Not retried: a run that goes on is in the worker's next report again. */
  private async stopStray(
    command: Command & {kind: typeof CommandKind.STOP_STRAY},
  ): Promise<void> {
    const {worker, task, attempt} = command;
    const token = this.scheduler.state.fencingToken(worker);
    await this.requestStop(worker, task, attempt, token);
  }

  private async pace(
    command: Command & {kind: typeof CommandKind.PACE},
  ): Promise<void> {
    const {run, percent} = command;
    const {worker, task, attempt} = run;
    const {leases, state} = this.scheduler;
    await this.retryUntilSettled(async () => {
      const isCurrent = worker.runs.get(task.name) === run;
      if (!isCurrent || run.pace !== percent) return FollowUp.SETTLED;
      const token = state.fencingToken(worker);
      const response = await this.host.workerClient.pace(
        worker,
        task.name,
        attempt,
        percent,
        token,
      );
      return leases.onPaceResponse(run, response, token);
    });
  }

  /** Repeats a call until it is settled or the term ends. */
  private async retryUntilSettled(
    call: () => Promise<FollowUp>,
  ): Promise<void> {
    let delay = INITIAL_RETRY_DELAY_MS;
    while (this.endReason === undefined) {
      if ((await call()) === FollowUp.SETTLED) return;
      await sleep(delay);
      delay = Math.min(delay * 2, MAX_RETRY_DELAY_MS);
    }
  }

  /**
   * Renews the lease of a worker once. After an unexpected error the worker
   * counts as one that did not respond, so its lease is not extended.
   */
  private async renew(worker: WorkerState): Promise<void> {
    const {scheduler, host} = this;
    try {
      const renewal = scheduler.leases.nextRenewal(worker);
      const sentAt = host.clock.now();
      const response = await host.workerClient.renew(worker, renewal);
      if (this.endReason !== undefined) return;
      scheduler.onRenewalResponse(worker, renewal, sentAt, response);
    } catch (error) {
      worker.isResponsive = false;
      scheduler.state.onFault(`worker ${worker.id}`, error);
    }
  }

  /**
   * Waits while the acknowledgement of ends is withheld: a renewal without it
   * would return at once. The wait is bounded as the worker may report others.
   */
  private async awaitStarts(worker: WorkerState): Promise<void> {
    const {leases, state} = this.scheduler;
    const end = state.now() + MAX_OPEN_STARTS_WAIT_MS;
    let delay = FIRST_OPEN_STARTS_CHECK_MS;
    while (leases.withholdsAcknowledgement(worker) && state.now() < end) {
      if (this.endReason !== undefined) return;
      await sleep(delay);
      delay *= 2;
    }
  }

  /** Renews the lease of a worker until it is removed or the term ends. */
  private async runRenewals(worker: WorkerState): Promise<void> {
    const {scheduler} = this;
    while (this.endReason === undefined) {
      if (scheduler.state.workers.get(worker.id) !== worker) break;
      if (worker.address === '') {
        await sleep(RENEWAL_RETRY_DELAY_MS);
        continue;
      }
      await this.renew(worker);
      if (this.endReason !== undefined) break;
      this.signal();
      if (!worker.isResponsive) {
        await sleep(RENEWAL_RETRY_DELAY_MS);
        continue;
      }
      if (worker.processedEnd > worker.durableEnd) await this.awaitCommit();
      await this.awaitStarts(worker);
    }
    this.renewedWorkers.delete(worker);
  }
}
