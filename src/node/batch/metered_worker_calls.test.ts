import {ManualClock} from '../../common/base/manual_clock.js';
import {CostMeter, CostPart} from '../../common/batch/cost_meter.js';
import {
  RenewalResponse,
  WorkerCallResult,
  WorkerCalls,
} from '../../common/batch/worker_calls.js';
import {MeteredWorkerCalls} from './metered_worker_calls.js';

const WORKER = {id: 'w1', address: 'w1:1'};
const REQUEST = {task: 't', attempt: 1, spec: '', checkpoint: '', ticket: ''};
const RENEWAL = {
  fencingToken: 1,
  acknowledgedEnd: 0,
  waitMs: 0,
  responseMs: 100,
};

describe('MeteredWorkerCalls', () => {
  it('adds the sending of each call to its part', async () => {
    // Guards against a kind of call that is charged to another part, and
    // against a response that is lost on the way.
    const clock = new ManualClock();
    const costs = new CostMeter(clock);
    const response = {result: WorkerCallResult.ACCEPTED, clockMs: 5};
    const send = (duration: number) => (): Promise<RenewalResponse> => {
      clock.advance(duration);
      return Promise.resolve(response);
    };
    const direct: WorkerCalls = {
      start: send(1),
      stop: send(2),
      renew: send(3),
      pace: send(4),
    };
    const calls = new MeteredWorkerCalls(direct, costs);
    const responses = await Promise.all([
      calls.start(WORKER, REQUEST, 0, 1),
      calls.stop(WORKER, 't', 1, 1),
      calls.renew(WORKER, RENEWAL),
      calls.pace(WORKER, 't', 1, 50, 1),
    ]);
    expect(responses).toEqual(Array(4).fill(response));
    const snapshot = costs.snapshot();
    expect(snapshot[CostPart.STARTS]).toEqual({ms: 1, operations: 1});
    expect(snapshot[CostPart.STOPS]).toEqual({ms: 2, operations: 1});
    expect(snapshot[CostPart.RENEWALS]).toEqual({ms: 3, operations: 1});
    expect(snapshot[CostPart.PACING]).toEqual({ms: 4, operations: 0});
  });
});
