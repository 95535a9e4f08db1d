import {Millis, SECOND} from '../base/clock.js';
import {
  ActiveStep,
  ActiveTask,
  allowedMs,
  isLate,
  remainingChainMs,
} from './active_job.js';
import {Interference} from './interference.js';
import {SETTLED_AFTER} from './pacing.js';
import {JobPhase, TaskPhase} from './job_records.js';
import {CommandKind, SchedulerState} from './scheduler_state.js';
import {Run, RunPhase, WorkerState} from './worker_state.js';

/** Distance of priorities, and of late jobs, in ms of slack. */
const PRIORITY_CLASS = 1e9;
const LATE_CLASS = 1e8;

/**
 * Disturbance that a filling task may cause at once, what it may cause more
 * for each second of waiting, and at most. Late jobs wait for safe workers.
 */
const ACCEPTED_DISTURBANCE = 0.2;
const DISTURBANCE_PER_SECOND = 0.3;
const LARGEST_DISTURBANCE = 1.2;
const LATE_DISTURBANCE = 0.4;

/** A worker that answered no renewal for this long gets no starts. */
const FRESH_ANSWER: Millis = 2500;

/**
 * Perpetual tasks leave the rest of a worker's processors to others, unless
 * there is room for two of them.
 */
const PERPETUAL_SHARE = 0.85;

/** Time that a perpetual task waits for a worker with room to spare. */
const PATIENCE: Millis = 1000;

/** Cost of work away from its data, against a worker's load of 0 to 1. */
const REMOTE_COST = 3;

/** Slowness from which a worker is avoided: run times vary by themselves. */
const TOLERATED_SLOWNESS = 1.7;

/** Cost of a worker that is slow after its start for longer than the task. */
const WARMUP_COST = 0.5;

/** Cost of the worker on which the task failed last. */
const FAILED_HERE_COST = 2;

/** Cost of each unit of ln(tail / target) by which serving tasks exceed. */
const DISTURBANCE_COST = 2;

/** ln(tail / target) up to which a serving task counts as undisturbed. */
const SAFE_TAIL = Math.log(0.6);

/** Cost of the first serving task on a worker, against a load of 0 to 1. */
const NEW_IMAGE_COST = 0.4;

/** Share of reserved processors that is in use, roughly, in the mean. */
const RESERVED_IN_USE = 0.55;

/** Cost of each worker's worth of load beyond what a worker carries well. */
const OVERLOAD_COST = 8;
const FULL_LOAD = 0.85;

/** Load up to which filling tasks are placed; more would slow all of them. */
const MOST_FILLING_LOAD = 1.05;

/** Tasks of a step that wait for a worker. */
interface WaitingStep {
  readonly step: ActiveStep;
  readonly tasks: ActiveTask[];
  readonly urgency: number;
}

/** Chooses workers for the tasks that wait. */
export class Placement {
  constructor(
    private readonly state: SchedulerState,
    private readonly interference: Interference,
  ) {}

  /** Places what fits, the most urgent first; stages the start orders. */
  run(): void {
    if (this.state.waiting.size === 0) return;
    const workers = [...this.state.workers.values()].filter(worker =>
      this.isUsable(worker),
    );
    if (workers.length === 0) return;
    for (const {step, tasks} of this.waitingSteps()) {
      if (step.shape.gang) this.placeGang(step, workers);
      else this.placeTasks(step, tasks, workers);
    }
  }

  private isUsable(worker: WorkerState): boolean {
    const now = this.state.now();
    const {listing} = worker;
    if (listing === undefined || worker.draining) return false;
    if (worker.isMarkedLost) return false;
    if (!worker.answering || now - worker.lastAnswerAt > FRESH_ANSWER) {
      return false;
    }
    if (worker.quarantinedUntil > now) return false;
    return worker.born === listing.born;
  }

  private waitingSteps(): WaitingStep[] {
    const groups = new Map<ActiveStep, ActiveTask[]>();
    const now = this.state.now();
    for (const task of this.state.waiting) {
      if (task.notBefore > now) continue;
      const tasks = groups.get(task.step);
      if (tasks === undefined) groups.set(task.step, [task]);
      else tasks.push(task);
    }
    return [...groups]
      .map(([step, tasks]) => ({step, tasks, urgency: this.urgency(step, now)}))
      .sort((a, b) => a.urgency - b.urgency);
  }

  /**
   * Lower is more urgent: the priority first, then the slack that is left. A
   * job that is late already waits for those that can still be in time.
   */
  private urgency(step: ActiveStep, now: Millis): number {
    const {job} = step.occurrence;
    const slack =
      job.acceptedAt + allowedMs(step) - remainingChainMs(step) - now;
    const perpetual = step.shape.perpetual ? 1 : 0;
    const late = !perpetual && isLate(step, now) ? LATE_CLASS : 0;
    return (job.queue.priority + perpetual) * PRIORITY_CLASS + late + slack;
  }

  private placeTasks(
    step: ActiveStep,
    tasks: readonly ActiveTask[],
    workers: readonly WorkerState[],
  ): void {
    for (const task of tasks) {
      const worker = this.best(task, workers);
      if (worker === undefined) continue;
      this.place(task, worker, task.attempt + 1);
    }
  }

  /** Places all tasks of a gang or none. */
  private placeGang(step: ActiveStep, workers: readonly WorkerState[]): void {
    const open = step.tasks.filter(({phase}) => phase !== TaskPhase.DONE);
    if (open.some(task => task.run)) return;
    const racks = new Set(workers.map(({rack}) => rack));
    const choices: (readonly WorkerState[])[] = step.shape.sameRack
      ? [...racks].map(rack => workers.filter(worker => worker.rack === rack))
      : [];
    choices.push(workers);
    const checkpoint = open.find(task => task.checkpoint)?.checkpoint ?? '';
    const attempt = Math.max(...open.map(task => task.attempt)) + 1;
    for (const choice of choices) {
      const placed: Run[] = [];
      for (const task of open) {
        const worker = this.best(task, choice);
        if (worker === undefined) break;
        placed.push(this.reserve(task, worker, attempt));
      }
      if (placed.length === open.length) {
        for (const run of placed) {
          run.task.checkpoint = checkpoint;
          this.commit(run);
        }
        return;
      }
      for (const run of placed) {
        run.worker.remove(run);
        run.task.run = undefined;
      }
    }
  }

  private best(
    task: ActiveTask,
    workers: readonly WorkerState[],
  ): WorkerState | undefined {
    let best: WorkerState | undefined;
    let lowest = Infinity;
    for (const worker of this.candidates(task, workers)) {
      const cost = this.cost(task, worker);
      if (cost >= lowest) continue;
      lowest = cost;
      best = worker;
    }
    return best;
  }

  /**
   * Workers that have room. Perpetual tasks leave some room to others, but not
   * for long.
   */
  private candidates(
    task: ActiveTask,
    workers: readonly WorkerState[],
  ): readonly WorkerState[] {
    const fitting = workers.filter(worker => this.fits(task, worker));
    if (!task.step.shape.perpetual) return fitting;
    const roomy = fitting.filter(worker => leavesRoom(task, worker));
    if (roomy.length > 0) return roomy;
    const waited = this.state.now() - task.readySince;
    return waited > PATIENCE ? fitting : [];
  }

  private fits(task: ActiveTask, worker: WorkerState): boolean {
    const {shape} = task.step;
    const {used, listing} = worker;
    if (listing === undefined) return false;
    const {capacity, service, labels} = listing;
    if (service !== task.step.occurrence.job.queue.service) return false;
    if (shape.requiredLabel && !labels.includes(shape.requiredLabel)) {
      return false;
    }
    if (worker.onProbation && worker.runs.size > 0) return false;
    if (worker.runs.has(task.name)) return false;
    const cpu = shape.fills ? 0 : shape.cpuMilli;
    const free = capacity.cpuMilli - used.cpuMilli;
    if (cpu > free) return false;
    if (used.memoryMb + shape.memoryMb > capacity.memoryMb) return false;
    if (used.gpus + shape.gpus > capacity.gpus) return false;
    if (shape.fills && worker.fillingCpuMilli > 0) {
      if (fillingShare(task, worker) > MOST_FILLING_LOAD) return false;
    }
    return this.mayShare(task, worker);
  }

  private mayShare(task: ActiveTask, worker: WorkerState): boolean {
    const {maxPerWorker} = task.step.shape;
    if (maxPerWorker === 0) return true;
    let count = 0;
    for (const run of worker.runs.values()) {
      if (run.task.step === task.step) count++;
    }
    return count < maxPerWorker;
  }

  private cost(task: ActiveTask, worker: WorkerState): number {
    const {shape} = task.step;
    let cost = 0;
    if (shape.dataRack && shape.dataRack !== worker.rack) cost += REMOTE_COST;
    if (task.failedOn === worker.id) cost += FAILED_HERE_COST;
    if (worker.slowness > TOLERATED_SLOWNESS) cost += worker.slowness - 1;
    if (worker.listing!.warmupMs > shape.estimateMs) cost += WARMUP_COST;
    if (shape.fills) {
      const disturbance = this.disturbance(task, worker);
      if (disturbance > this.acceptedDisturbance(task)) return Infinity;
      return cost + fillingLoad(task, worker) + disturbance;
    }
    if (shape.targetMs > 0) return cost + servingCost(task, worker);
    // Short tasks take what is too small for serving tasks.
    return cost + 1 - reservedLoad(task, worker);
  }

  private acceptedDisturbance(task: ActiveTask): number {
    const now = this.state.now();
    const waitedS = (now - task.readySince) / SECOND;
    const accepted = ACCEPTED_DISTURBANCE + waitedS * DISTURBANCE_PER_SECOND;
    const most = isLate(task.step, now)
      ? LATE_DISTURBANCE
      : LARGEST_DISTURBANCE;
    return Math.min(accepted, most);
  }

  /** Predicted excess of tail latencies that a filling task adds. */
  private disturbance(task: ActiveTask, worker: WorkerState): number {
    const capacity = worker.listing!.capacity.cpuMilli;
    const now = this.state.now();
    const usage = new Map<string, number>();
    const unreported = new Map<string, number>();
    const serving: Run[] = [];
    for (const run of worker.runs.values()) {
      const {fills, image, cpuMilli, targetMs} = run.task.step.shape;
      if (targetMs > 0) serving.push(run);
      if (!fills) continue;
      const share = cpuMilli / capacity;
      addTo(usage, image, share);
      const isReported =
        run.confirmedAt > 0 && now - run.confirmedAt > SETTLED_AFTER;
      const reportedShare = isReported ? (share * run.pace) / 100 : 0;
      addTo(unreported, image, share - reportedShare);
    }
    const {image, cpuMilli} = task.step.shape;
    const share = cpuMilli / capacity;
    let excess = 0;
    for (const victim of serving) {
      const name = victim.task.step.shape.image;
      const before = Math.max(
        this.interference.predict(name, usage),
        lnTail(victim) + this.interference.effect(name, unreported),
      );
      const after = before + this.interference.weight(name, image) * share;
      excess += Math.max(0, after - SAFE_TAIL);
      excess -= Math.max(0, before - SAFE_TAIL);
    }
    return DISTURBANCE_COST * excess;
  }

  private place(task: ActiveTask, worker: WorkerState, attempt: number): void {
    this.commit(this.reserve(task, worker, attempt));
  }

  private reserve(task: ActiveTask, worker: WorkerState, attempt: number): Run {
    const now = this.state.now();
    const run: Run = {
      task,
      attempt,
      worker,
      born: worker.born,
      phase: RunPhase.STAGED,
      placedAt: now,
      uncertain: false,
      confirmedAt: 0,
      stoppedAt: 0,
      percent: 0,
      progressAt: now,
      pace: 100,
      gauge: 0,
    };
    task.run = run;
    worker.add(run);
    return run;
  }

  private commit(run: Run): void {
    const {task, worker} = run;
    const {job} = task.step.occurrence;
    task.phase = TaskPhase.PLACED;
    task.attempt = run.attempt;
    this.state.waiting.delete(task);
    job.begun = true;
    if (job.phase === JobPhase.QUEUED) job.phase = JobPhase.RUNNING;
    this.state.dirty.add(job);
    this.state.staged.push({kind: CommandKind.START, run});
    this.state.log.decide('place', {
      task: task.name,
      attempt: run.attempt,
      worker: worker.id,
      waitedMs: Math.round(run.placedAt - task.readySince),
      reportAgeMs: Math.round(run.placedAt - worker.lastAnswerAt),
    });
  }
}

/** Share of a worker's processors that is reserved with the task. */
function reservedLoad(task: ActiveTask, worker: WorkerState): number {
  const reserved = worker.used.cpuMilli + task.step.shape.cpuMilli;
  return reserved / worker.listing!.capacity.cpuMilli;
}

/** Share of a worker's processors in use with a filling task. */
function fillingShare(task: ActiveTask, worker: WorkerState): number {
  const wanted =
    worker.used.cpuMilli * RESERVED_IN_USE +
    worker.fillingCpuMilli +
    task.step.shape.cpuMilli;
  return wanted / worker.listing!.capacity.cpuMilli;
}

/** Cost of the load with a filling task; steep where processors run out. */
function fillingLoad(task: ActiveTask, worker: WorkerState): number {
  const load = fillingShare(task, worker);
  return load + OVERLOAD_COST * Math.max(0, load - FULL_LOAD);
}

/**
 * Cost of a serving task. Serving tasks share workers as densely as they fit,
 * best with those of the same image: fillers disturb some images only, and
 * workers without serving tasks leave them most room.
 */
function servingCost(task: ActiveTask, worker: WorkerState): number {
  let serving = 0;
  let strangers = 0;
  for (const run of worker.runs.values()) {
    const {targetMs, image} = run.task.step.shape;
    if (targetMs === 0) continue;
    serving++;
    if (image !== task.step.shape.image) strangers++;
  }
  const mixed = serving === 0 ? NEW_IMAGE_COST : strangers / serving;
  return mixed + reservedLoad(task, worker);
}

/** Whether a perpetual task leaves room for others, or for one more of it. */
function leavesRoom(task: ActiveTask, worker: WorkerState): boolean {
  const {cpuMilli} = task.step.shape;
  const capacity = worker.listing!.capacity.cpuMilli;
  const free = capacity - worker.used.cpuMilli;
  const reserve = capacity * (1 - PERPETUAL_SHARE);
  return free >= Math.min(cpuMilli + reserve, 2 * cpuMilli);
}

/** Observed ln(tail / target) of a serving run. */
function lnTail(run: Run): number {
  return Math.log(Math.max(1, run.gauge) / run.task.step.shape.targetMs);
}

function addTo(sums: Map<string, number>, key: string, value: number): void {
  sums.set(key, (sums.get(key) ?? 0) + value);
}
