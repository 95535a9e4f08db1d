import {Millis, SECOND} from '../../base/clock.js';
import {unitHash} from '../../base/rendezvous.js';
import {InstanceRecord} from '../job_records.js';

/**
 * Neighbours of one data centre that an instance uses at a time. Few, so that
 * it keeps few connections; the writes are spread over them.
 */
const NEIGHBOURS_IN_USE = 3;

/**
 * Time for which a neighbour that the store turns away is not used. Outages last
 * 3 to 9 s, so longer ones would outlast them.
 */
const REJECTING_MS: Millis = 1 * SECOND;

/** Time for which a neighbour that doesn't answer is not used; it doubles. */
const UNREACHABLE_MS: Millis = 2 * SECOND;
const MAX_UNREACHABLE_MS: Millis = 16 * SECOND;

/** Another instance that accepts writes and look-ups. */
export interface Neighbour {
  readonly name: string;
  /** `host:port` of its relay listener. */
  readonly address: string;
  readonly dataCentre: string;
}

/** What an attempt showed about a neighbour that did not serve it. */
export const NeighbourFault = {
  REJECTING: 'rejecting',
  UNREACHABLE: 'unreachable',
} as const;
export type NeighbourFault =
  (typeof NeighbourFault)[keyof typeof NeighbourFault];

const UNUSED_MS: Readonly<Record<NeighbourFault, (faults: number) => Millis>> =
  {
    [NeighbourFault.REJECTING]: () => REJECTING_MS,
    [NeighbourFault.UNREACHABLE]: faults =>
      Math.min(MAX_UNREACHABLE_MS, UNREACHABLE_MS * 2 ** (faults - 1)),
  };

/** A neighbour that did not serve the last attempt. */
interface FailedNeighbour {
  /** Faults in a row. */
  readonly faults: number;
  /** Local time from which it is used again. */
  readonly unusedUntil: Millis;
}

/**
 * Chooses the neighbours to which an instance forwards. Each instance ranks the
 * others by a hash of both names, so that instances that fail together load
 * different neighbours.
 */
export class Neighbours {
  /** Neighbours that have failed, by name. */
  private readonly failed = new Map<string, FailedNeighbour>();

  constructor(
    private readonly name: string,
    private readonly dataCentre: string,
  ) {}

  /**
   * Chooses the neighbour for the next attempt; undefined if there is none.
   * After a failed attempt in a data centre the others come first, as the store
   * may turn away a whole data centre.
   * @param key spreads the writes over the neighbours in use.
   */
  choose(
    instances: ReadonlyMap<string, InstanceRecord>,
    key: string,
    tried: readonly Neighbour[],
    now: Millis,
  ): Neighbour | undefined {
    const groups = new Map<string, Neighbour[]>();
    for (const neighbour of this.usable(instances, tried, now)) {
      const group = groups.get(neighbour.dataCentre) ?? [];
      groups.set(neighbour.dataCentre, [...group, neighbour]);
    }
    const attemptsIn = (dataCentre: string) =>
      tried.filter(other => other.dataCentre === dataCentre).length;
    const nearest = lowest([...groups.keys()], dataCentre => {
      const distance =
        dataCentre === this.dataCentre ? 0 : this.rank(dataCentre);
      return attemptsIn(dataCentre) + distance;
    });
    if (nearest === undefined) return undefined;
    const ranked = groups
      .get(nearest)!
      .map(neighbour => ({neighbour, rank: this.rank(neighbour.name)}))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, NEIGHBOURS_IN_USE);
    return lowest(ranked, ({neighbour}) => unitHash(`${key} ${neighbour.name}`))
      ?.neighbour;
  }

  /** Called when a neighbour did not serve an attempt. */
  onFault(name: string, fault: NeighbourFault, now: Millis): void {
    const faults = (this.failed.get(name)?.faults ?? 0) + 1;
    const unusedMs = UNUSED_MS[fault](faults);
    this.failed.set(name, {faults, unusedUntil: now + unusedMs});
  }

  /** Called when a neighbour has served an attempt. */
  onServed(name: string): void {
    this.failed.delete(name);
  }

  /** Whether a neighbour did not fail lately. */
  isUsable(name: string, now: Millis): boolean {
    return now >= (this.failed.get(name)?.unusedUntil ?? -Infinity);
  }

  private *usable(
    instances: ReadonlyMap<string, InstanceRecord>,
    tried: readonly Neighbour[],
    now: Millis,
  ): Generator<Neighbour> {
    for (const name of this.failed.keys()) {
      if (!instances.has(name)) this.failed.delete(name);
    }
    for (const [name, {relayAddress: address, dataCentre}] of instances) {
      if (name === this.name || address === undefined) continue;
      if (!this.isUsable(name, now)) continue;
      if (tried.some(other => other.name === name)) continue;
      yield {name, address, dataCentre: dataCentre ?? ''};
    }
  }

  /** Rank of an instance or a data centre for this instance, from 0 to 1. */
  private rank(name: string): number {
    return unitHash(`${this.name} ${name}`);
  }
}

/** Returns the item with the lowest value; undefined if there are none. */
function lowest<T>(
  items: readonly T[],
  valueOf: (item: T) => number,
): T | undefined {
  let best: T | undefined;
  let bestValue = Infinity;
  for (const item of items) {
    const value = valueOf(item);
    if (value >= bestValue) continue;
    best = item;
    bestValue = value;
  }
  return best;
}
