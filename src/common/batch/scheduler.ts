import {Millis, SECOND} from '../base/clock.js';
import {
  ActiveJob,
  ActiveStep,
  ActiveTask,
  detachedRecord,
} from './active_job.js';
import {CostEvent, CostPart} from './cost_meter.js';
import {DeferredJobs} from './deferred_jobs.js';
import {HeadroomForecast} from './headroom.js';
import {HeldJobs, UnstoredEnds} from './held_jobs.js';
import {InterferenceModel, InterferenceWeights} from './interference.js';
import {JobLifecycle} from './job_lifecycle.js';
import {
  HandOverRecord,
  INTERFERENCE_KEY,
  JobPhase,
  packProgress,
  packRecord,
  packState,
  RecordKind,
  withoutCheckpoints,
} from './job_records.js';
import {hasOwner, JobView, KnownJob} from './job_view.js';
import {recordSize} from './log_limits.js';
import {LostWorkerRecords} from './lost_worker_records.js';
import {Pacing} from './pacing.js';
import {Placement} from './placement.js';
import {PlacementPreview} from './explain/placement_preview.js';
import {Command, SchedulerState} from './scheduler_state.js';
import {StallDetector} from './stall_detector.js';
import {KeyedRecord} from './store.js';
import {BatchConfiguration, WorkerListing, WorkerPhase} from './types.js';
import {WorkerResponse, LeaseRenewal, RenewalResponse} from './worker_calls.js';
import {WorkerDrain} from './worker_drain.js';
import {FollowUp, WorkerLeases} from './worker_leases.js';
import {Run, RunPhase, WorkerState} from './worker_state.js';

/** Time for which a responsive worker may be missing from the list. */
const UNLISTED_GRACE_MS: Millis = 3 * SECOND;

/** Time between two records of the interference weights. */
const WEIGHTS_INTERVAL_MS: Millis = 2 * SECOND;

/**
 * Largest record of the interference weights, in bytes. It is stored at each
 * interval and logged; the sites that are known need a quarter of it.
 */
const MAX_WEIGHTS_BYTES = 65_536;

/** Records to store, and the actions to take once they are durable. */
export interface CommitBatch {
  /** Records of the progress topic. */
  readonly records: readonly KeyedRecord[];
  /**
   * Records of the states topic, to store after the others: what callers are
   * told must not be undone by a takeover.
   */
  readonly states: readonly KeyedRecord[];
  /**
   * Ids of jobs whose records are to be removed from the intake topic. Their
   * states stay until `onSubmissionsRemoved`.
   */
  readonly expired: readonly string[];
  /** Commands to send after the records are durable. */
  readonly commands: readonly Command[];
  /**
   * Worker, incarnation and sequence number of the last end that may be
   * acknowledged after the records are durable.
   */
  readonly ends: readonly (readonly [WorkerState, number, number])[];
  /** Jobs whose progress is among the records, with the ends that it shows. */
  readonly jobs: ReadonlyMap<ActiveJob, UnstoredEnds>;
}

/**
 * The scheduler of one term: places tasks, renews leases and stops runs. Does
 * no I/O: the caller passes in records of the log and responses of workers,
 * stores the batches and sends the commands.
 */
export class Scheduler {
  readonly leases: WorkerLeases;
  readonly interference: InterferenceModel;
  /** Local time of the last record of the interference weights. */
  private weightsRecordedAt: Millis;
  private readonly lifecycle: JobLifecycle;
  private readonly placement: Placement;
  private readonly pacing: Pacing;
  private readonly workerDrain: WorkerDrain;
  private readonly stallDetector: StallDetector;
  private readonly heldJobs: HeldJobs;
  private readonly lossRecords: LostWorkerRecords;
  readonly deferredJobs: DeferredJobs;
  /** Numbers of the hand-overs that are being stored, by job. */
  private readonly leavingJobs = new Map<string, number>();
  /** Jobs of other shards whose progress is to be removed from this topic. */
  private readonly departedJobs = new Set<string>();
  /** Expired jobs whose submissions are removed, and their states not yet. */
  private readonly removedJobs = new Set<string>();

  constructor(
    readonly state: SchedulerState,
    storedWeights: InterferenceWeights = {},
  ) {
    this.lifecycle = new JobLifecycle(state);
    this.leases = new WorkerLeases(state, this.lifecycle);
    this.interference = new InterferenceModel(storedWeights);
    const forecast = new HeadroomForecast(this.interference);
    this.weightsRecordedAt = state.now();
    this.placement = new Placement(state, forecast);
    this.pacing = new Pacing(state, forecast);
    this.workerDrain = new WorkerDrain(state);
    this.stallDetector = new StallDetector(state, this.lifecycle.quarantine);
    this.heldJobs = new HeldJobs(state);
    this.lossRecords = new LostWorkerRecords(state);
    this.deferredJobs = new DeferredJobs(state);
  }

  /** Restores all jobs that the log holds, after a takeover. */
  restore(view: JobView): void {
    const lostWorkers = new Map(
      [...view.lostWorkers].filter(([, {shard}]) => shard === this.state.shard),
    );
    this.lifecycle.lostWorkers = lostWorkers;
    // Also marks lost workers without runs, so that their records are removed
    // once they respond. A record left in the log would make a later scheduler
    // declare runs lost that started after the worker's return.
    for (const id of lostWorkers.keys()) {
      this.state.getOrCreateWorker(id).isRecordedAsLost = true;
    }
    for (const job of view.all()) {
      this.logIgnoredProgress(job);
      if (!hasOwner(job) || view.ownerOf(job) !== this.state.shard) {
        if (job.progress !== undefined) this.departedJobs.add(job.id);
        continue;
      }
      if (job.detached !== undefined && job.submission === undefined) {
        // The job is over and forgotten; what is left of the task expires.
        this.state.endedJobs.set(job.id, this.state.wallClock.now());
        continue;
      }
      try {
        this.addKnown(job);
      } catch (error) {
        this.state.onFault(`job ${job.id}`, error);
      }
    }
  }

  /** Logs progress of a job whose submission or hand-over was not read. */
  private logIgnoredProgress(known: KnownJob): void {
    const {id, progress, submission, handOver} = known;
    if (progress === undefined) return;
    const handOvers = handOver?.number ?? 0;
    if (submission !== undefined && progress.handOvers <= handOvers) return;
    this.state.log.decide('progress-ignored', {
      job: id,
      isSubmitted: submission !== undefined,
      handOvers,
      progressHandOvers: progress.handOvers,
    });
  }

  /** Adds a job or applies a cancellation that was read from the log. */
  onJob(known: KnownJob): void {
    const leaving = this.leavingJobs.get(known.id);
    if (leaving !== undefined) {
      // A cancellation that is read now is left to the next owner. The job may
      // also have come back before the answer to the append.
      if ((known.handOver?.number ?? 0) <= leaving) return;
      this.leavingJobs.delete(known.id);
    }
    if (known.cancelled) this.lifecycle.cancel(known.id);
    this.addKnown(known);
  }

  private addKnown(known: KnownJob): void {
    if (this.deferredJobs.tryDefer(known)) return;
    this.lifecycle.add(known);
    for (const {id, state} of known.detachedTasks?.values() ?? []) {
      if (state?.phase === JobPhase.FAILED) {
        this.lifecycle.failFor(known.id, id);
      }
    }
  }

  /**
   * Gives up a waiting job to another shard. Returns the record that makes the
   * shard its owner; undefined if the job can't be handed over now. Nothing is
   * done for the job any more, whether or not the record is stored.
   */
  handOver(job: ActiveJob, shard: string): HandOverRecord | undefined {
    if (!this.lifecycle.release(job)) return undefined;
    const number = job.handOvers + 1;
    this.leavingJobs.set(job.id, number);
    return {shard, number, progress: {...job.toRecord(), handOvers: number}};
  }

  /**
   * Gives up a waiting task of a job to another shard, whether or not other
   * tasks of the job run. Returns the record that makes the shard its owner;
   * undefined if the task can't be handed over now.
   */
  detach(task: ActiveTask, shard: string): HandOverRecord | undefined {
    if (!this.lifecycle.releaseTask(task)) return undefined;
    const progress = detachedRecord(task);
    this.leavingJobs.set(task.name, progress.handOvers);
    return {shard, number: progress.handOvers, progress};
  }

  /** Handles the answer that the log never accepts the hand-over of a task. */
  onDetachRefused(task: ActiveTask): void {
    if (!this.leavingJobs.delete(task.name)) return;
    this.lifecycle.takeBackTask(task);
  }

  /** Whether the hand-over of a job is being stored. */
  isLeaving(job: string): boolean {
    return this.leavingJobs.has(job);
  }

  /** Handles the answer that a hand-over of a job is stored. */
  onHandedOver(job: string, number: number): void {
    if (this.leavingJobs.get(job) !== number) return;
    this.leavingJobs.delete(job);
    this.departedJobs.add(job);
  }

  /** Handles the answer that the log never accepts the hand-over of a job. */
  onHandOverRefused(job: ActiveJob, number: number): void {
    if (this.leavingJobs.get(job.id) !== number) return;
    this.leavingJobs.delete(job.id);
    this.lifecycle.takeBack(job);
  }

  /** Applies a new configuration of the operator. */
  onConfiguration(configuration: BatchConfiguration): void {
    this.state.configuration = configuration;
    this.lifecycle.refreshQueues();
  }

  /** Applies the current list of workers. */
  onWorkerListings(listings: ReadonlyMap<string, WorkerListing>): void {
    for (const [id, listing] of listings) {
      const worker = this.state.getOrCreateWorker(id);
      if (worker.listing?.phase !== listing.phase) {
        this.state.log.decide('worker-listed', {
          worker: id,
          phase: listing.phase,
          born: listing.born,
        });
      }
      worker.listing = listing;
      worker.address = listing.address;
      worker.dataCentre = listing.dataCentre;
      worker.rack = listing.labels[1] ?? '';
      worker.capacity = listing.capacity;
      worker.wasDraining = listing.phase === WorkerPhase.DRAINING;
      this.leases.onListing(worker, listing);
    }
    this.leases.crashes.onListings(listings.values());
    for (const worker of this.state.workers.values()) {
      if (listings.has(worker.id)) worker.unlistedSince = undefined;
      else if (worker.listing !== undefined) this.onUnlisted(worker);
    }
  }

  /**
   * Tolerates a missing entry of a responsive worker for a grace period, as
   * entries also expire with the store; a live worker soon publishes its own
   * again.
   */
  private onUnlisted(worker: WorkerState): void {
    const now = this.state.now();
    worker.unlistedSince ??= now;
    const missing = now - worker.unlistedSince;
    if (worker.isResponsive && missing < UNLISTED_GRACE_MS) return;
    worker.listing = undefined;
    this.state.log.decide('worker-unlisted', {
      worker: worker.id,
      runs: worker.runs.size,
      missing,
    });
  }

  /** Processes the response to a renewal that was sent at `sentAt`. */
  onRenewalResponse(
    worker: WorkerState,
    renewal: LeaseRenewal,
    sentAt: Millis,
    response: RenewalResponse,
  ): void {
    const {costs} = this.state;
    costs.measure(CostPart.REPORTS, () =>
      this.leases.onRenewalResponse(worker, renewal, sentAt, response),
    );
    if (response.report === undefined) return;
    costs.measure(CostPart.PACING, () => this.pacing.onReport(worker));
  }

  onStartResponse(run: Run, response: WorkerResponse, token: number): FollowUp {
    return this.state.costs.measure(
      CostPart.STARTS,
      () => this.leases.onStartResponse(run, response, token),
      0,
    );
  }

  onStopResponse(run: Run, response: WorkerResponse, token: number): FollowUp {
    return this.state.costs.measure(
      CostPart.STOPS,
      () => this.leases.onStopResponse(run, response, token),
      0,
    );
  }

  /** Checks that depend on time alone; an error in one ends only that one. */
  private readonly checks: Readonly<Record<string, () => void>> = {
    leases: () => this.leases.expireLeases(),
    drains: () => this.workerDrain.run(),
    stalls: () => this.stallDetector.run(),
    quarantines: () => this.lifecycle.quarantine.admitNeeded(),
    schedules: () => this.lifecycle.addDueOccurrences(),
    deferredJobs: () => this.addDeferredJobs(),
  };

  private addDeferredJobs(): void {
    for (const job of this.deferredJobs.takeAdmitted()) this.lifecycle.add(job);
  }

  /** Runs the checks that depend on time alone. */
  tick(): void {
    this.state.costs.measure(CostPart.CHECKS, () => this.runChecks());
  }

  private runChecks(): void {
    for (const [part, run] of Object.entries(this.checks)) {
      try {
        run();
      } catch (error) {
        this.state.onFault(part, error);
      }
    }
  }

  /** What the placement would do with tasks of a step, see Placement.preview. */
  preview(
    step: ActiveStep,
    tasks: readonly ActiveTask[],
    mostWeighed: number,
  ): PlacementPreview {
    return this.placement.preview(step, tasks, mostWeighed);
  }

  /** Places waiting tasks and returns the records to store. */
  takeBatch(): CommitBatch {
    const {costs} = this.state;
    costs.count(CostEvent.BATCH);
    costs.measure(CostPart.SCANS, () => this.placement.run());
    return costs.measure(CostPart.RECORDS, () => this.buildBatch());
  }

  private buildBatch(): CommitBatch {
    const {state} = this;
    const records: KeyedRecord[] = [];
    // Before the others: a job may have come back meanwhile.
    for (const id of this.departedJobs) {
      records.push({key: RecordKind.PROGRESS + id, value: new Uint8Array()});
    }
    this.departedJobs.clear();
    const states = this.takeInheritedStates();
    const jobs = new Map<ActiveJob, UnstoredEnds>();
    for (const job of state.jobsToStore) {
      if (this.heldJobs.isDelayed(job)) continue;
      state.jobsToStore.delete(job);
      jobs.set(job, job.takeUnstoredEnds());
      records.push(this.progressRecord(job));
      const change = job.takeStateChange();
      if (change === undefined) continue;
      states.push({key: RecordKind.STATE + job.id, value: packState(change)});
    }
    for (const id of this.removedJobs) {
      records.push({key: RecordKind.PROGRESS + id, value: new Uint8Array()});
      states.push({key: RecordKind.STATE + id, value: new Uint8Array()});
    }
    this.removedJobs.clear();
    records.push(...this.weightRecords());
    states.push(...this.lossRecords.next());
    return {
      records,
      states,
      expired: this.takeExpiredJobIds(),
      commands: state.afterCommit.splice(0),
      ends: [...this.leases.unacknowledgedEnds()],
      jobs,
    };
  }

  /**
   * Progress of a job as stored. Checkpoints are left out if it is too large
   * with them: without one, a task begins anew after a takeover.
   */
  private progressRecord(job: ActiveJob): KeyedRecord {
    const key = RecordKind.PROGRESS + job.id;
    const progress = job.toRecord();
    const record = {key, value: packProgress(progress)};
    const bytes = recordSize(record);
    const limit = this.state.recordBytes;
    if (bytes <= limit) return record;
    this.state.log.decide('checkpoints-left-out', {job: job.id, bytes, limit});
    return {key, value: packProgress(withoutCheckpoints(progress))};
  }

  /** States of jobs that ended under a predecessor that did not store them. */
  private takeInheritedStates(): KeyedRecord[] {
    const {statesToStore} = this.state;
    const records = [...statesToStore].map(([id, record]) => ({
      key: RecordKind.STATE + id,
      value: packState(record),
    }));
    statesToStore.clear();
    return records;
  }

  /** Interference weights for the next scheduler, once per interval. */
  private weightRecords(): readonly KeyedRecord[] {
    const now = this.state.now();
    if (now - this.weightsRecordedAt < WEIGHTS_INTERVAL_MS) return [];
    this.weightsRecordedAt = now;
    const {recordBytes} = this.state;
    const maxBytes = Math.min(MAX_WEIGHTS_BYTES, recordBytes / 2);
    const weights = this.interference.exportWeights(maxBytes);
    this.state.log.decide('interference', weights);
    const value = packRecord(weights);
    return [{key: INTERFERENCE_KEY, value}];
  }

  /** Handles records of the states topic that became durable. */
  onStatesStored(states: readonly KeyedRecord[]): void {
    for (const record of states) this.lossRecords.onStored(record);
  }

  /**
   * Handles a batch whose progress records became durable: its ends are
   * acknowledged.
   * @param refused records that the log never accepts.
   */
  onBatchStored(
    batch: CommitBatch,
    refused: readonly KeyedRecord[] = [],
  ): void {
    const refusedKeys = new Set(refused.map(({key}) => key));
    for (const [job, ends] of batch.jobs) {
      if (refusedKeys.has(RecordKind.PROGRESS + job.id)) this.hold(job, ends);
      else this.heldJobs.onStored(job);
    }
    for (const [worker, born, sequence] of batch.ends) {
      if (worker.born !== born) continue;
      const last = this.heldJobs.lastStoredEnd(worker, sequence);
      worker.durableEnd = Math.max(worker.durableEnd, last);
    }
  }

  private hold(job: ActiveJob, ends: UnstoredEnds): void {
    this.heldJobs.hold(job, ends);
    for (const {run} of job.tasks()) {
      if (run?.phase === RunPhase.STAGED) this.leases.withdrawUnstored(run);
    }
  }

  /**
   * Handles the removal of expired jobs from the intake topic. Only now are
   * their states removed: without its state a submission is a new job.
   */
  onSubmissionsRemoved(ids: readonly string[]): void {
    for (const id of ids) this.removedJobs.add(id);
  }

  /** Returns the commands that need no record, and clears them. */
  takeImmediate(): Command[] {
    return this.state.immediate.splice(0);
  }

  /** Removes and returns the ids of ended jobs whose retention is over. */
  private takeExpiredJobIds(): string[] {
    const {endedJobs: ended, wallClock, timings} = this.state;
    const expired: string[] = [];
    for (const [id, endedAt] of ended) {
      if (wallClock.now() - endedAt < timings.keepEndedMs) continue;
      ended.delete(id);
      expired.push(id);
    }
    return expired;
  }
}
