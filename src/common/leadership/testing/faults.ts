import fc from 'fast-check';
import {Millis} from '../../base/clock.js';
import {Conditions} from './conditions.js';
import {World} from './world.js';

/** A fault of a scenario; times are in milliseconds. */
export interface Fault {
  readonly kind: keyof typeof APPLY;
  readonly at: Millis;
  readonly duration: Millis;
  /** Numbers of the instances that it concerns; see `pick`. */
  readonly first: number;
  readonly second: number;
}

type Apply = (world: World, fault: Fault, ids: readonly string[]) => void;

/** Highest number that a fault names; half of them mean the leader. */
const MAX_NUMBER = 5;

/** Time between the end of a process and the start of its replacement. */
const REPLACEMENT_MS: Millis = 700;

const window =
  (
    name: keyof Conditions &
      (
        | 'logOutage'
        | 'lossyLog'
        | 'slowLog'
        | 'listEmpty'
        | 'listOutage'
        | 'lossyNetwork'
      ),
  ): Apply =>
  (world, fault) =>
    world.conditions[name].open(world.time + fault.duration);

/** Numbers beyond the ids stand for the one that may act. */
function pick(world: World, ids: readonly string[], number: number): string {
  if (number < ids.length) return ids[number];
  const acting = world.acting()[0]?.member;
  return ids.find(id => world.processes.get(id)?.member === acting) ?? ids[0];
}

function member(world: World, ids: readonly string[], number: number) {
  return world.processes.get(pick(world, ids, number))?.member;
}

function cut(world: World, name: string, fault: Fault): void {
  world.conditions.cut(name).open(world.time + fault.duration);
}

function replace(world: World, id: string, wait: Millis): void {
  world.kill(id);
  world.queue.after(wait, () => {
    if (!world.processes.has(id)) world.start(id);
  });
}

const APPLY = {
  pause: (world, fault, ids) =>
    world.pause(pick(world, ids, fault.first), fault.duration),
  'cut-path': (world, fault, ids) => {
    const from = member(world, ids, fault.first);
    const to = member(world, ids, fault.second);
    if (from && to) cut(world, Conditions.path(from, to), fault);
  },
  'cut-peers': (world, fault, ids) => {
    const one = member(world, ids, fault.first);
    for (const {member: other} of world.processes.values()) {
      if (!one) return;
      cut(world, Conditions.path(one, other), fault);
      cut(world, Conditions.path(other, one), fault);
    }
  },
  'cut-log': (world, fault, ids) => {
    const one = member(world, ids, fault.first);
    if (one) cut(world, Conditions.toLog(one), fault);
  },
  'log-outage': window('logOutage'),
  'lossy-log': window('lossyLog'),
  'slow-log': window('slowLog'),
  'list-empty': window('listEmpty'),
  'list-outage': window('listOutage'),
  'lossy-network': window('lossyNetwork'),
  replace: (world, fault, ids) =>
    replace(world, pick(world, ids, fault.first), fault.duration),
  'replace-all': (world, fault, ids) => {
    for (const id of ids) replace(world, id, REPLACEMENT_MS);
  },
  /** New instances have new ids, so no start number tells that they ended. */
  resign: (world, fault, ids) => {
    const id = pick(world, ids, fault.first);
    const process = world.processes.get(id);
    process?.resign();
    world.queue.after(fault.duration, () => {
      if (process && !process.ended) replace(world, id, REPLACEMENT_MS);
    });
  },
} satisfies Record<string, Apply>;

/** Applies a fault to a world at its time. */
export function schedule(
  world: World,
  fault: Fault,
  ids: readonly string[],
): void {
  world.queue.after(fault.at, () => {
    world.note(`fault ${JSON.stringify(fault)}`);
    APPLY[fault.kind](world, fault, ids);
  });
}

/** Faults that start within `endMs` and last up to `longestMs`. */
export function faults(
  endMs: Millis,
  longestMs: Millis,
): fc.Arbitrary<Fault[]> {
  const fault = fc.record({
    kind: fc.constantFrom(...(Object.keys(APPLY) as Array<Fault['kind']>)),
    at: fc.integer({min: 0, max: endMs}),
    duration: fc.integer({min: 200, max: longestMs}),
    first: fc.nat(MAX_NUMBER),
    second: fc.nat(MAX_NUMBER),
  });
  return fc.array(fault, {minLength: 1, maxLength: 14});
}
