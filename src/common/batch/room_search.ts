import {Millis, SECOND} from '../base/clock.js';
import {ActiveStep, ActiveTask, unfinishedTasks} from './active_job.js';
import {HandOverDestinations} from './hand_over_destinations.js';
import {MAX_FORCED_START_LOAD, reservedShares} from './reserved_shares.js';
import {tasksThatFit} from './room.js';
import {RoomBalance} from './room_balance.js';
import {SchedulerState} from './scheduler_state.js';
import {Resources} from './types.js';
import {unfinishedSteps} from './waiting_work.js';
import {
  exclusionReason,
  isUsable,
  unsuitableReason,
} from './worker_exclusion.js';
import {WorkerState} from './worker_state.js';

/** Maximum numbers of searches for a worker and for a shard in each call. */
const MAX_WORKER_SEARCHES = 10;
const MAX_SHARD_SEARCHES = 200;

/**
 * Time that a task waits for room in this shard. Callers expect a perpetual
 * task that ended to run again within 6 s, and a job whose next task is ready
 * to have a run within 3 s, wherever there is room.
 */
const ROOM_WAIT_MS: Millis = 2 * SECOND;

/** Room of shards that don't publish theirs. */
const UNKNOWN_ROOM: Resources = {
  cpuMilli: Infinity,
  memoryMb: Infinity,
  gpus: Infinity,
};

/** Whether workers of a shard could take a task. */
const OwnRoom = {
  /** One has room for it. */
  FREE: 'free',
  /** Those that could run it if they were idle are full or put aside. */
  FULL: 'full',
  /** None could run it if it were idle. */
  UNSUITABLE: 'unsuitable',
} as const;
type OwnRoom = (typeof OwnRoom)[keyof typeof OwnRoom];

/** Finds shards with room for tasks that wait in vain in their own. */
export class RoomSearch {
  private workerSearches = 0;
  private shardSearches = 0;
  /** The most of each resource that a worker of another shard has left. */
  private mostElsewhere: Resources = UNKNOWN_ROOM;
  /** Results of the searches in this call, by step. */
  private readonly ownRoom = new Map<ActiveStep, OwnRoom>();

  /** @param shard name of the own shard. */
  constructor(
    private readonly shard: string,
    private readonly state: SchedulerState,
    private readonly destinations: HandOverDestinations,
    private readonly balance: RoomBalance,
  ) {}

  /** Forgets what may have changed since the last call of the policy. */
  begin(): void {
    this.workerSearches = 0;
    this.shardSearches = 0;
    this.ownRoom.clear();
    this.mostElsewhere = this.findMostElsewhere();
  }

  private findMostElsewhere(): Resources {
    const most = {cpuMilli: 0, memoryMb: 0, gpus: 0};
    for (const [shard, {room}] of this.destinations.loads) {
      if (shard === this.shard) continue;
      if (room === undefined) return UNKNOWN_ROOM;
      for (const [cpuMilli, , memoryMb = Infinity, gpus = Infinity] of room) {
        most.cpuMilli = Math.max(most.cpuMilli, cpuMilli);
        most.memoryMb = Math.max(most.memoryMb, memoryMb);
        most.gpus = Math.max(most.gpus, gpus);
      }
    }
    return most;
  }

  /** Whether the rest of the tasks has to wait for the next call. */
  get isExhausted(): boolean {
    return (
      this.workerSearches >= MAX_WORKER_SEARCHES ||
      this.shardSearches >= MAX_SHARD_SEARCHES
    );
  }

  /** Whether a task has waited long enough to look for room elsewhere. */
  isDue({step, readySince}: ActiveTask, now: Millis): boolean {
    if (now - readySince <= ROOM_WAIT_MS) return false;
    return tasksThatFit(this.mostElsewhere, step.shape) > 0;
  }

  /** Another shard with room for a task that is due and has none here. */
  choose({step}: ActiveTask, now: Millis): string | undefined {
    this.shardSearches++;
    const to = this.shardWithRoom(step);
    if (to === undefined) return undefined;
    const own = this.ownRoomFor(step, now);
    if (own === OwnRoom.FREE) return undefined;
    // Its worker may be missing from the list for a moment only.
    const mayReturn = own === OwnRoom.UNSUITABLE && !step.shape.perpetual;
    return mayReturn ? undefined : to;
  }

  /**
   * A shard with room for a step. The rest of a job follows its task, so one
   * that can run all of it comes first; perpetual tasks may leave their job.
   */
  private shardWithRoom(step: ActiveStep): string | undefined {
    const {shape, occurrence} = step;
    const {loads} = this.destinations;
    const shardsForStep = shape.gang
      ? this.destinations.shardsForAll([step])
      : this.destinations.shardsForOne(step);
    if (shape.perpetual && !shape.gang) {
      return this.balance.choose(step, shardsForStep, loads);
    }
    const steps = unfinishedSteps(occurrence.job);
    const shardsForAll = this.destinations.shardsForAll(steps);
    return (
      this.balance.choose(step, shardsForAll, loads) ??
      this.balance.choose(step, shardsForStep, loads)
    );
  }

  /**
   * Whether the workers of this shard have room for a task of a step, or for
   * all of them at once if it is a gang.
   */
  hasOwnRoom(step: ActiveStep, now: Millis): boolean {
    return this.ownRoomFor(step, now) === OwnRoom.FREE;
  }

  private ownRoomFor(step: ActiveStep, now: Millis): OwnRoom {
    // The tasks of a step need the same, and nothing is placed meanwhile.
    let result = this.ownRoom.get(step);
    if (result === undefined) {
      this.workerSearches++;
      result = this.searchOwnRoom(step, now);
      this.ownRoom.set(step, result);
    }
    return result;
  }

  private searchOwnRoom(step: ActiveStep, now: Millis): OwnRoom {
    const workers = [...this.state.workers.values()];
    if (!workers.some(worker => couldRun(step, worker))) {
      return OwnRoom.UNSUITABLE;
    }
    const {shape} = step;
    if (shape.fills && !this.allowsForcedStart(workers, now)) {
      return OwnRoom.FULL;
    }
    const suitable = workers.filter(
      worker => exclusionReason(step, worker, now) === undefined,
    );
    let needed = 1;
    let fitting = suitable.length;
    if (shape.gang) {
      needed = unfinishedTasks(step);
      fitting = suitable.reduce(
        (sum, worker) => sum + tasksThatFit(worker.free, shape),
        0,
      );
    }
    return fitting >= needed ? OwnRoom.FREE : OwnRoom.FULL;
  }

  /** Whether a best-effort job without runs would start one after a while. */
  private allowsForcedStart(
    workers: readonly WorkerState[],
    now: Millis,
  ): boolean {
    const usable = workers.filter(worker => isUsable(worker, now));
    return reservedShares(usable).all <= MAX_FORCED_START_LOAD;
  }
}

/** Whether a worker could run a task of a step if it were idle. */
function couldRun(step: ActiveStep, worker: WorkerState): boolean {
  if (unsuitableReason(step, worker) !== undefined) return false;
  return tasksThatFit(worker.capacity, step.shape) > 0;
}
