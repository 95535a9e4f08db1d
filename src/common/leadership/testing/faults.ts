import fc from 'fast-check';
import {Millis} from '../../base/clock.js';
import {Conditions} from './conditions.js';
import {SimulatedProcess} from './simulated_process.js';
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

type Apply = (world: World, fault: Fault) => void;

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

/** Numbers beyond those of the processes stand for the one that may act. */
function pick(world: World, number: number): SimulatedProcess | undefined {
  const processes = [...world.processes.values()];
  return processes[number] ?? world.acting()[0] ?? processes[0];
}

function cut(world: World, name: string, fault: Fault): void {
  world.conditions.cut(name).open(world.time + fault.duration);
}

/** Ends a process; another starts later under the same id or a new one. */
function replace(
  world: World,
  process: SimulatedProcess,
  wait: Millis,
  newId = process.id,
): void {
  if (process.ended) return;
  world.kill(process);
  world.queue.after(wait, () => world.start(newId));
}

const APPLY = {
  pause: (world, fault) => {
    const process = pick(world, fault.first);
    if (process) world.pause(process, fault.duration);
  },
  'cut-path': (world, fault) => {
    const from = pick(world, fault.first);
    const to = pick(world, fault.second);
    if (from && to) cut(world, Conditions.path(from.member, to.member), fault);
  },
  'cut-peers': (world, fault) => {
    const one = pick(world, fault.first);
    if (!one) return;
    for (const other of world.processes.values()) {
      cut(world, Conditions.path(one.member, other.member), fault);
      cut(world, Conditions.path(other.member, one.member), fault);
    }
  },
  'cut-log': (world, fault) => {
    const one = pick(world, fault.first);
    if (one) cut(world, Conditions.toLog(one.member), fault);
  },
  'cut-list': (world, fault) => {
    const one = pick(world, fault.first);
    if (one) cut(world, Conditions.toList(one.member), fault);
  },
  'log-outage': window('logOutage'),
  'lossy-log': window('lossyLog'),
  'slow-log': window('slowLog'),
  'list-empty': window('listEmpty'),
  'list-outage': window('listOutage'),
  'lossy-network': window('lossyNetwork'),
  replace: (world, fault) => {
    const one = pick(world, fault.first);
    if (one) replace(world, one, fault.duration);
  },
  'replace-new-id': (world, fault) => {
    const one = pick(world, fault.first);
    if (one) replace(world, one, fault.duration, world.newId());
  },
  'replace-all': world => {
    for (const one of [...world.processes.values()]) {
      replace(world, one, REPLACEMENT_MS);
    }
  },
  'replace-all-new-ids': world => {
    for (const one of [...world.processes.values()]) {
      replace(world, one, REPLACEMENT_MS, world.newId());
    }
  },
  resign: (world, fault) => {
    const one = pick(world, fault.first);
    one?.receive({kind: 'resign'});
    world.queue.after(fault.duration, () => {
      if (one) replace(world, one, REPLACEMENT_MS);
    });
  },
  /** A ticket declares a process gone that has ended. */
  'ticket-gone': (world, fault) => {
    const one = pick(world, fault.first);
    if (!one) return;
    replace(world, one, fault.duration, world.newId());
    world.declareGone(one.member);
  },
} satisfies Record<string, Apply>;

/** Applies a fault to a world at its time. */
export function schedule(world: World, fault: Fault): void {
  world.queue.after(fault.at, () => {
    world.note(`fault ${JSON.stringify(fault)}`);
    APPLY[fault.kind](world, fault);
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
