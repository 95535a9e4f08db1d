import {Millis, SECOND} from '../base/clock.js';
import {SimulatedFleet} from './simulated_fleet.test_support.js';
import {SimulatedWorker} from './simulated_worker.test_support.js';

const JOB = '00000000000000aa';

/** Time from the end of a run until a worker without open starts discards it. */
const ACKNOWLEDGEMENT_MS: Millis = 200;

describe('the acknowledgement of an end', () => {
  let fleet: SimulatedFleet;
  let worker: SimulatedWorker;

  beforeEach(() => {
    fleet = new SimulatedFleet();
    worker = fleet.addWorker('w1');
    fleet.run(500);
  });

  function runUntilEnd(count = 1): void {
    while (worker.ends.length < count) fleet.run(50);
  }

  it('follows at once if all start requests were answered', () => {
    // Guards against ends that stay listed on a calm fleet.
    fleet.submit(JOB, [{}]);
    runUntilEnd();
    fleet.run(ACKNOWLEDGEMENT_MS);
    expect(worker.ends).toEqual([]);
  });

  it('waits until no unanswered start request can be executed', () => {
    // Guards against a later incarnation that executes such a request of a task
    // that is done (TWICE), and against ends that are never acknowledged.
    worker.dropsStartResponses = true;
    fleet.submit(JOB, [{}]);
    fleet.run(50);
    worker.dropsStartResponses = false;
    runUntilEnd();
    fleet.run(10 * SECOND);
    expect(worker.ends.length).toBe(1);
    fleet.run(2 * SECOND);
    expect(worker.ends).toEqual([]);
  });

  it('does not wait if the list of ends is cut', () => {
    // Guards against ends that are not read for 12 s, as earlier ones fill the
    // list.
    worker.maxListedEnds = 2;
    worker.dropsStartResponses = true;
    fleet.submit(JOB, [{count: 3}]);
    fleet.run(50);
    worker.dropsStartResponses = false;
    runUntilEnd(3);
    fleet.run(2 * ACKNOWLEDGEMENT_MS);
    expect(worker.ends.length).toBeLessThan(2);
  });
});
