import {RejectionCause} from '../../../common/batch/admission/retry_after.js';
import {QUEUE} from '../../../common/batch/simulated_fleet.test_support.js';
import {AppendResult} from '../../../common/batch/store.js';
import {BatchConfiguration} from '../../../common/batch/types.js';
import {Rejections} from './rejections.js';
import {SimulatedIntakes} from './simulated_intakes.test_support.js';

// Lets the simulated timers of Jest drive the promises as well.
jest.mock('node:timers/promises', () => ({
  setTimeout: (ms: number) => new Promise(resolve => setTimeout(resolve, ms)),
}));

const CONFIGURATION: BatchConfiguration = {
  version: 1,
  queues: [QUEUE],
  pools: [],
  maxBodyBytes: 1,
};

describe('Rejections', () => {
  const clock = {now: () => Date.now()};
  let fleet: SimulatedIntakes;
  let configuration: BatchConfiguration | undefined;
  let rejections: Rejections;

  beforeEach(() => {
    jest.useFakeTimers();
    fleet = new SimulatedIntakes(['a', 'b'], 2, clock);
    configuration = CONFIGURATION;
    const {writer, forwarder, pace} = fleet.get('a0');
    rejections = new Rejections({
      clock,
      writer,
      forwarder,
      pace,
      intakeTail: {syncedAt: clock.now(), consecutiveFailures: 0},
      configuration: () => configuration,
      admission: {releaseTimeMs: () => 0},
    });
  });
  afterEach(() => jest.useRealTimers());

  async function submit(id: string): Promise<void> {
    void fleet.get('a0').submit(id);
    await jest.advanceTimersByTimeAsync(1000);
  }

  it('tells an outage of the store from one of this instance', async () => {
    // Guards against callers who wait for a store that serves the others, and
    // callers who use up their attempts while it serves nobody.
    fleet.get('a0').storeResult = AppendResult.REJECTED;
    await submit('1');
    expect(rejections.describe('1', 0)).toMatchObject({
      cause: RejectionCause.INSTANCE,
      retryAfterS: 1,
    });
    for (const intake of fleet.intakes.values()) {
      intake.storeResult = AppendResult.REJECTED;
    }
    for (const id of ['2', '3', '4']) await submit(id);
    const {cause, retryAfterS, outageAgeMs, neighbour} = rejections.describe(
      '4',
      0,
    );
    expect(cause).toBe(RejectionCause.STORE_DOWN);
    expect(retryAfterS).toBeGreaterThan(1);
    expect(outageAgeMs).toBeGreaterThanOrEqual(4000);
    expect(neighbour).toBeDefined();
  });

  it('names a missing configuration as the cause', () => {
    // Guards against an outage that is looked for in the store.
    configuration = undefined;
    const {cause} = rejections.describe('1', undefined);
    expect(cause).toBe(RejectionCause.NO_CONFIGURATION);
  });
});
