import {Millis} from '../base/clock.js';
import {Instance, TaskState, WorkerStatus} from '../base/platform.js';
import {EMPTY_SIZE, Size} from '../base/size.js';
import {TaskStart} from './types.js';

/** An entry of the ledger, which has every start and end of a task. */
export interface ExecutionEvent {
  /** Simulated time. */
  readonly time: Millis;
  readonly worker: string;
  readonly event: 'start' | TaskState;
  readonly task: string;
  readonly job: string;
  readonly size: Size;
  /** Checkpoint from which the task started or that it had at its end, 0 to 1. */
  readonly checkpoint: number;
}

/** A task on a fake worker. Times are those of the worker's clock. */
interface FakeTask {
  readonly id: string;
  readonly start: TaskStart;
  state: TaskState;
  leaseUntilMs: Millis;
  /** Fraction of the work that is done, 0 to 1. */
  progress: number;
  /** Progress that the last checkpoint keeps. */
  checkpoint: number;
  /** Part of full speed, above 0 up to 1. */
  share: number;
  /** Time of the last update of `progress`. */
  updatedMs: Millis;
}

/** Properties of a fake worker. */
export interface FakeWorkerFields {
  readonly capacity: Size;
  readonly rack: string;
  /** Reading of the worker's clock at simulated time 0. */
  readonly clockOffset: Millis;
  /** Rate of the worker's clock relative to the simulated clock. */
  readonly clockRate: number;
}

/**
 * A worker in memory. It runs tasks under leases on its own clock and checks
 * nothing but the leases, so that every fault of the scheduler shows in the
 * ledger: it gets each start and end with its exact time.
 */
export class FakeWorker {
  /** Start number of the process; each restart increments it. */
  start = 1;
  isUp = true;
  isConnected = true;
  isLeaving = false;
  /** Whether every task fails as soon as it starts. */
  failsAllTasks = false;
  private tasks: FakeTask[] = [];

  constructor(
    readonly id: string,
    private readonly fields: FakeWorkerFields,
    private readonly ledger: ExecutionEvent[],
  ) {}

  get instance(): Instance {
    return {
      id: this.id,
      role: 'worker',
      start: this.start,
      dataCentre: 'dc',
      rack: this.fields.rack,
      host: '127.0.0.1',
      port: 1,
      peerPort: 0,
      state: 'live',
      capacity: this.fields.capacity,
      services: [],
      slots: 8,
      connections: 64,
    };
  }

  get taskCount(): number {
    return this.tasks.length;
  }

  /** Reading of the worker's clock at the simulated time `now`. */
  localTime(now: Millis): Millis {
    return this.fields.clockOffset + now * this.fields.clockRate;
  }

  /** Whether a message from a node arrives. */
  get isReachable(): boolean {
    return this.isUp && this.isConnected;
  }

  status(now: Millis): WorkerStatus {
    this.advance(now);
    const tasks = this.tasks.map(task => ({
      task: task.id,
      job: task.start.job,
      kind: task.start.kind,
      state: task.state,
      leaseUntilMs: task.leaseUntilMs,
      size: task.start.size,
      usage: EMPTY_SIZE,
      progress: task.progress,
      checkpoint: task.checkpoint,
      result: task.state === TaskState.FINISHED ? 'done' : undefined,
    }));
    // Real workers report whole milliseconds.
    const nowMs = Math.floor(this.localTime(now));
    return {id: this.id, nowMs, leaving: this.isLeaving, tasks};
  }

  /** Starts a task; returns false if its lease has already ended. */
  startTask(id: string, start: TaskStart, now: Millis): boolean {
    this.advance(now);
    if (start.leaseUntilMs <= this.localTime(now)) return false;
    const task: FakeTask = {
      id,
      start,
      state: TaskState.RUNNING,
      leaseUntilMs: start.leaseUntilMs,
      progress: start.checkpoint,
      checkpoint: start.checkpoint,
      share: 1,
      updatedMs: this.localTime(now),
    };
    this.tasks.push(task);
    this.addToLedger(task, 'start', now);
    if (this.failsAllTasks) this.end(task, TaskState.FAILED, now);
    return true;
  }

  /** Sets the lease ends of running tasks. */
  renew(leases: Readonly<Record<string, Millis>>, now: Millis): void {
    this.advance(now);
    for (const [id, untilMs] of Object.entries(leases)) {
      for (const task of this.running(id)) task.leaseUntilMs = untilMs;
    }
  }

  checkpoint(id: string, now: Millis): void {
    this.advance(now);
    for (const task of this.running(id)) task.checkpoint = task.progress;
  }

  throttle(id: string, share: number, now: Millis): void {
    this.advance(now);
    for (const task of this.running(id)) task.share = share;
  }

  stop(id: string, now: Millis): void {
    this.advance(now);
    for (const task of this.running(id)) this.end(task, TaskState.STOPPED, now);
  }

  /** Drops a task that has ended. */
  forget(id: string, now: Millis): void {
    this.advance(now);
    this.tasks = this.tasks.filter(
      task => task.id !== id || task.state === TaskState.RUNNING,
    );
  }

  /** Kills the process: its tasks fail and their outcomes are lost. */
  kill(now: Millis): void {
    this.advance(now);
    for (const task of this.tasks) {
      if (task.state === TaskState.RUNNING) {
        this.end(task, TaskState.FAILED, now);
      }
    }
    this.tasks = [];
    this.isUp = false;
  }

  restart(): void {
    this.start++;
    this.isUp = true;
  }

  /**
   * Advances the tasks to `now`. Tasks that finish or whose leases end in between
   * get the exact times of their ends.
   */
  advance(now: Millis): void {
    const localNow = this.localTime(now);
    for (const task of this.tasks) {
      if (task.state !== TaskState.RUNNING) continue;
      const speed = task.share / task.start.runMs;
      const doneMs = task.updatedMs + (1 - task.progress) / speed;
      const endMs = Math.min(doneMs, task.leaseUntilMs);
      const progressUntil = Math.min(localNow, endMs);
      task.progress += Math.max(0, progressUntil - task.updatedMs) * speed;
      task.updatedMs = localNow;
      if (endMs > localNow) continue;
      const isDone = doneMs <= task.leaseUntilMs;
      const simulatedEnd =
        (endMs - this.fields.clockOffset) / this.fields.clockRate;
      this.end(
        task,
        isDone ? TaskState.FINISHED : TaskState.EXPIRED,
        simulatedEnd,
      );
    }
  }

  private running(id: string): FakeTask[] {
    return this.tasks.filter(
      task => task.id === id && task.state === TaskState.RUNNING,
    );
  }

  private end(task: FakeTask, state: TaskState, time: Millis): void {
    task.state = state;
    this.addToLedger(task, state, time);
  }

  private addToLedger(
    task: FakeTask,
    event: ExecutionEvent['event'],
    time: Millis,
  ): void {
    this.ledger.push({
      time,
      worker: this.id,
      event,
      task: task.id,
      job: task.start.job,
      size: task.start.size,
      checkpoint: task.checkpoint,
    });
  }
}
