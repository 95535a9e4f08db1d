import {
  RenewalResponse,
  WorkerCallResult,
  WorkerCalls,
  WorkerResponse,
} from '../src/common/batch/worker_calls.js';
import {WorkerRelay} from '../src/node/batch/worker_relay.js';

/** Shortest hold of a renewal, and the number of holds of 1 ms steps, in ms. */
const MIN_HOLD_MS = 50;
const HOLD_STEPS = 100;

const START = Date.now();
const ACCEPTED: WorkerResponse = {result: WorkerCallResult.ACCEPTED};
let renewals = 0;

/** Idle workers; each renewal is held for a while, as in a long poll. */
const idleWorkers: WorkerCalls = {
  start: () => Promise.resolve(ACCEPTED),
  stop: () => Promise.resolve(ACCEPTED),
  pace: () => Promise.resolve(ACCEPTED),
  renew: () =>
    new Promise<RenewalResponse>(resolve => {
      const holdMs = MIN_HOLD_MS + (renewals++ % HOLD_STEPS);
      setTimeout(() => {
        const clockMs = Date.now();
        const report = {
          born: START,
          clockMs,
          running: [],
          ends: [],
          hasMoreEnds: false,
        };
        resolve({result: WorkerCallResult.ACCEPTED, clockMs, report});
      }, holdMs);
    }),
};

// Runs a relay in a separate process, so that its CPU time is not measured.
// Usage: relay_host.js HOST:PORT. Prints a line once it was told to listen.
new WorkerRelay(idleWorkers, {decide: () => {}}).listen(process.argv[2]);
process.stdout.write('listening\n');
// Exits with the parent process, whose end closes stdin.
process.stdin.resume();
process.stdin.on('end', () => process.exit(0));
