import fc from 'fast-check';
import {Millis} from '../../base/clock.js';
import {FaultState} from './fault_state.js';
import {SimulatedProcess} from './simulated_process.js';
import {SimulatedDataCentre} from './simulated_data_centre.js';

/** A fault of a test scenario. */
export interface Fault {
  readonly kind: keyof typeof FAULT_HANDLERS;
  /** Delay from `scheduleFault` to the start of the fault. */
  readonly at: Millis;
  /** How long the fault lasts, or the delay until a replacement starts. */
  readonly duration: Millis;
  /** Numbers of the affected processes; see `selectProcess`. */
  readonly first: number;
  readonly second: number;
}

type ApplyFault = (sim: SimulatedDataCentre, fault: Fault) => void;

/**
 * Highest process number of a fault. With three processes half of the numbers
 * select the lease holder.
 */
const MAX_PROCESS_NUMBER = 5;

/** Time between the end of a process and the start of its replacement. */
const REPLACEMENT_DELAY_MS: Millis = 700;

/** Returns a function that activates a fault of the platform or network. */
const openWindow =
  (
    name: keyof FaultState &
      (
        | 'logOutage'
        | 'lossyLog'
        | 'slowLog'
        | 'listEmpty'
        | 'listOutage'
        | 'lossyNetwork'
      ),
  ): ApplyFault =>
  (sim, fault) =>
    sim.faultState[name].open(sim.time + fault.duration);

/**
 * Returns the process with a number. Numbers without a process select the lease
 * holder.
 */
function selectProcess(
  sim: SimulatedDataCentre,
  number: number,
): SimulatedProcess | undefined {
  const processes = [...sim.processes.values()];
  return processes[number] ?? sim.leaseHolders()[0] ?? processes[0];
}

/** Cuts the link `name` for the duration of the fault. */
function cut(sim: SimulatedDataCentre, name: string, fault: Fault): void {
  sim.faultState.cut(name).open(sim.time + fault.duration);
}

/** Ends a process and starts a replacement with the same or a new id later. */
function replaceProcess(
  sim: SimulatedDataCentre,
  process: SimulatedProcess,
  delayMs: Millis,
  newId = process.id,
): void {
  if (process.ended) return;
  sim.kill(process);
  sim.queue.after(delayMs, () => sim.start(newId));
}

/** How each kind of fault changes the simulation. */
const FAULT_HANDLERS = {
  pause: (sim, fault) => {
    const process = selectProcess(sim, fault.first);
    if (process) sim.pause(process, fault.duration);
  },
  'cut-path': (sim, fault) => {
    const from = selectProcess(sim, fault.first);
    const to = selectProcess(sim, fault.second);
    if (from && to) cut(sim, FaultState.link(from.member, to.member), fault);
  },
  'cut-peers': (sim, fault) => {
    const process = selectProcess(sim, fault.first);
    if (!process) return;
    for (const other of sim.processes.values()) {
      cut(sim, FaultState.link(process.member, other.member), fault);
      cut(sim, FaultState.link(other.member, process.member), fault);
    }
  },
  'cut-log': (sim, fault) => {
    const process = selectProcess(sim, fault.first);
    if (process) cut(sim, FaultState.logLink(process.member), fault);
  },
  'cut-list': (sim, fault) => {
    const process = selectProcess(sim, fault.first);
    if (process) cut(sim, FaultState.listLink(process.member), fault);
  },
  'log-outage': openWindow('logOutage'),
  'lossy-log': openWindow('lossyLog'),
  'slow-log': openWindow('slowLog'),
  'list-empty': openWindow('listEmpty'),
  'list-outage': openWindow('listOutage'),
  'lossy-network': openWindow('lossyNetwork'),
  replace: (sim, fault) => {
    const process = selectProcess(sim, fault.first);
    if (process) replaceProcess(sim, process, fault.duration);
  },
  'replace-new-id': (sim, fault) => {
    const process = selectProcess(sim, fault.first);
    if (process) replaceProcess(sim, process, fault.duration, sim.newId());
  },
  'replace-all': sim => {
    for (const process of [...sim.processes.values()]) {
      replaceProcess(sim, process, REPLACEMENT_DELAY_MS);
    }
  },
  'replace-all-new-ids': sim => {
    for (const process of [...sim.processes.values()]) {
      replaceProcess(sim, process, REPLACEMENT_DELAY_MS, sim.newId());
    }
  },
  resign: (sim, fault) => {
    const process = selectProcess(sim, fault.first);
    process?.receive({kind: 'resign'});
    sim.queue.after(fault.duration, () => {
      if (process) replaceProcess(sim, process, REPLACEMENT_DELAY_MS);
    });
  },
  /** The process ends and a ticket declares it gone. */
  'ticket-gone': (sim, fault) => {
    const process = selectProcess(sim, fault.first);
    if (!process) return;
    replaceProcess(sim, process, fault.duration, sim.newId());
    sim.declareGone(process.member);
  },
} satisfies Record<string, ApplyFault>;

/** Schedules a fault at `fault.at` milliseconds from now. */
export function scheduleFault(sim: SimulatedDataCentre, fault: Fault): void {
  sim.queue.after(fault.at, () => {
    sim.addTrace(`fault ${JSON.stringify(fault)}`);
    FAULT_HANDLERS[fault.kind](sim, fault);
  });
}

/** Lists of faults that start within `endMs` and last up to `longestMs`. */
export function arbitraryFaults(
  endMs: Millis,
  longestMs: Millis,
): fc.Arbitrary<Fault[]> {
  const fault = fc.record({
    kind: fc.constantFrom(
      ...(Object.keys(FAULT_HANDLERS) as Array<Fault['kind']>),
    ),
    at: fc.integer({min: 0, max: endMs}),
    duration: fc.integer({min: 200, max: longestMs}),
    first: fc.nat(MAX_PROCESS_NUMBER),
    second: fc.nat(MAX_PROCESS_NUMBER),
  });
  return fc.array(fault, {minLength: 1, maxLength: 14});
}
