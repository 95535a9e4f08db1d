import fc from 'fast-check';
import {Millis} from '../base/clock.js';
import {Fault, faults, schedule} from './testing/faults.js';
import {World} from './testing/world.js';

const FAULTS_MS: Millis = 30_000;
const LONGEST_FAULT_MS: Millis = 12_000;
const RECOVERY_MS: Millis = 90_000;

const IDS = ['e1', 'e2', 'e3'];

function simulate(seed: number, scenario: readonly Fault[]): World {
  const world = new World(seed);
  for (const id of IDS) world.start(id);
  for (const fault of scenario) schedule(world, fault, IDS);
  world.runUntil(FAULTS_MS + LONGEST_FAULT_MS + 1000);
  return world;
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
        },
      ),
      {seed, numRuns: 40, endOnFailure: true},
    );
  });
});
