import {selectByWeightedHash} from '../base/rendezvous.js';

/**
 * Workers that an instance can call per core without slowing its callers, and
 * that the scheduler calls by itself before it uses relays: a renewal each
 * second and a start every half second cost about 2 ms of a core's time.
 */
const WORKERS_PER_CORE = 80;

/** Share of an instance's capacity that a plan fills; the rest is for bursts. */
const TARGET_FILL = 0.8;

/** An instance that can call workers for the scheduler. */
export interface RelayCandidate {
  readonly name: string;
  readonly dataCentre: string;
  /** Processors of the instance, in cores. */
  readonly processors: number;
}

/** Whether a scheduler should leave the calls to this many workers to relays. */
export function needsRelays(processors: number, workers: number): boolean {
  return workers > processors * WORKERS_PER_CORE;
}

/**
 * Assigns workers to relays. A worker keeps its relay while that is usable, as
 * each move costs a new connection. Relays of the worker's data centre are
 * preferred, the strongest first, as many as the number of workers needs.
 */
export class RelayPlan {
  /** Relay of each worker, by id. */
  private readonly relays = new Map<string, string>();
  /** Candidates in use, by data centre. */
  private active = new Map<string, readonly RelayCandidate[]>();
  private readonly usable = new Set<string>();

  /**
   * Sets the usable candidates and the number of workers in each data centre.
   */
  update(
    candidates: readonly RelayCandidate[],
    workers: ReadonlyMap<string, number>,
  ): void {
    this.usable.clear();
    for (const {name} of candidates) this.usable.add(name);
    this.active = new Map();
    const ordered = [...candidates].sort(compareStrength);
    for (const [dataCentre, count] of workers) {
      const local = ordered.filter(one => one.dataCentre === dataCentre);
      const chosen = takeCapacity(local.length > 0 ? local : ordered, count);
      this.active.set(dataCentre, chosen);
    }
  }

  /** Name of the worker's relay; undefined if there is none. */
  relayOf(worker: string, dataCentre: string): string | undefined {
    const current = this.relays.get(worker);
    if (current !== undefined && this.usable.has(current)) return current;
    // The data centre of a worker that is not listed yet is unknown.
    const active =
      this.active.get(dataCentre) ?? [...this.active.values()].flat();
    const chosen = selectByWeightedHash(worker, active, relayWeight);
    if (chosen === undefined) this.relays.delete(worker);
    else this.relays.set(worker, chosen.name);
    return chosen?.name;
  }

  /** Forgets a worker that left. */
  remove(worker: string): void {
    this.relays.delete(worker);
  }
}

/** The strongest first; names decide between equals. */
function compareStrength(a: RelayCandidate, b: RelayCandidate): number {
  return b.processors - a.processors || (a.name < b.name ? -1 : 1);
}

/** Takes candidates in order until they have capacity for the workers. */
function takeCapacity(
  candidates: readonly RelayCandidate[],
  workers: number,
): readonly RelayCandidate[] {
  let capacity = 0;
  const chosen: RelayCandidate[] = [];
  for (const candidate of candidates) {
    if (capacity >= workers) break;
    chosen.push(candidate);
    capacity += candidate.processors * WORKERS_PER_CORE * TARGET_FILL;
  }
  return chosen;
}

function relayWeight({processors}: RelayCandidate): number {
  return processors;
}
