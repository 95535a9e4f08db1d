import fc from 'fast-check';
import {Millis} from '../base/clock.js';
import {View} from '../stream/types.js';
import {Fault, faults, schedule} from './testing/faults.js';
import {World} from './testing/world.js';

const FAULTS_MS: Millis = 30_000;
const LONGEST_FAULT_MS: Millis = 12_000;
const RECOVERY_MS: Millis = 90_000;

const IDS = ['e1', 'e2', 'e3'];

function simulate(seed: number, scenario: readonly Fault[]): World {
  const world = new World(seed);
  for (const id of IDS) world.start(id);
  for (const fault of scenario) schedule(world, fault);
  world.runUntil(FAULTS_MS + LONGEST_FAULT_MS + 1000);
  return world;
}

/**
 * Reads the log up to an offset by the rules of the design page, written apart from the
 * reader. Returns the last view and the batches in force.
 */
function fold(world: World, end: number) {
  const seen = new Set<string>();
  const batches: number[] = [];
  let view: View | undefined;
  for (const {offset, data} of world.log.slice(0, end)) {
    const identity = `${data.writer}/${data.sequence}`;
    if (seen.has(identity)) continue;
    seen.add(identity);
    if (data.kind === 'batch') {
      if (data.epoch === view?.epoch) batches.push(offset);
    } else if (data.base === (view ? view.epoch : null)) {
      view = {epoch: offset, leader: data.leader, members: data.members};
    }
  }
  return {view, batches};
}

describe('Leadership in a simulated data centre', () => {
  it.each([1, 2, 3])('has one leader at a time under faults (%d)', seed => {
    fc.assert(
      fc.property(
        fc.integer(),
        faults(FAULTS_MS, LONGEST_FAULT_MS),
        (worldSeed, scenario) => {
          const world = simulate(worldSeed, scenario);
          const end = world.time;
          if (!world.runUntilLed(end + RECOVERY_MS)) {
            throw new Error(`nobody leads\n${world.trace.join('\n')}`);
          }
          world.runUntil(world.time + 5000);
          expect(world.acting()).toHaveLength(1);
          for (const process of world.processes.values()) {
            const {view, batches} = fold(world, process.reader.nextOffset);
            expect(process.reader.view).toEqual(view);
            expect(process.batches).toEqual(batches);
          }
        },
      ),
      {seed, numRuns: 40, endOnFailure: true},
    );
  });
});
