import {Millis, SECOND} from '../base/clock.js';
import {JobPhase} from './job_records.js';
import {QUEUE, SimulatedFleet} from './simulated_fleet.test_support.js';
import {SimulatedWorker} from './simulated_worker.test_support.js';
import {StepShape, WorkerPhase} from './types.js';

const JOB = '00000000000000aa';
const TASK = `${JOB}.0.0.0`;

/** Time within which a worker without a response is reached another way. */
const SILENCE_MS: Millis = 2.2 * SECOND;

describe('a worker that becomes unsuitable for a run that was placed', () => {
  let fleet: SimulatedFleet;
  let first: SimulatedWorker;

  beforeEach(() => {
    fleet = new SimulatedFleet();
    first = fleet.addWorker('w1');
    fleet.run(500);
  });

  /** Submits a job whose start gets no response, and has no effect. */
  function submitUnanswered(step: Partial<StepShape> = {}): void {
    fleet.submit(JOB, [step]);
    first.isUnreachable = true;
    fleet.run(100);
    const run = fleet.scheduler.state.workers.get('w1')!.runs.get(TASK);
    expect(run?.uncertain).toBe(true);
  }

  /** Workers and their starts after the first one is reached again. */
  function startsAfterSilence(): [string, string[]][] {
    fleet.run(SILENCE_MS);
    first.isUnreachable = false;
    fleet.run(SECOND);
    return [...fleet.workers.values()].map(({id, starts}) => [id, starts]);
  }

  it('gets no repeated start once it drains', () => {
    // Guards against a start later than callers allow after a worker has begun
    // to drain, as it is repeated over another instance when the first one
    // freezes (DRAIN).
    submitUnanswered();
    first.phase = WorkerPhase.DRAINING;
    fleet.addWorker('w2');
    expect(startsAfterSilence()).toEqual([
      ['w1', []],
      ['w2', [TASK]],
    ]);
    expect(first.stops).toEqual([TASK]);
  });

  it('gets no repeated start once its service is not that of the queue', () => {
    // Guards against a start on a worker of a service to which no configuration
    // sends the queue any more (ROUTE).
    submitUnanswered();
    const {configuration} = fleet.scheduler.state;
    fleet.scheduler.onConfiguration({
      ...configuration,
      version: 2,
      queues: [{...QUEUE, service: 'other'}],
    });
    expect(startsAfterSilence()).toEqual([['w1', []]]);
  });

  it('gets no repeated start once it has lost the required label', () => {
    // Guards against a start on a worker that is back as one of another kind
    // under its id (ROUTE).
    submitUnanswered({requiredLabel: 'rack-1'});
    first.rack = 'rack-2';
    first.restart();
    expect(startsAfterSilence()).toEqual([['w1', []]]);
  });

  it('keeps a run that an unanswered start has begun', () => {
    // Guards against work that is stopped and done again elsewhere although it
    // ends before the worker leaves.
    first.dropsStartResponses = true;
    fleet.submit(JOB, [{estimateMs: 1000}]);
    fleet.run(50);
    first.phase = WorkerPhase.DRAINING;
    fleet.addWorker('w2');
    fleet.run(3 * SECOND);
    expect(first.starts).toEqual([TASK]);
    expect(first.stops).toEqual([]);
    expect(fleet.view.phase(JOB)).toBe(JobPhase.COMPLETE);
  });

  it('gets no first start once it drains', () => {
    // Guards against a start on a draining worker after the record of its
    // placement was stored late (DRAIN).
    fleet.submit(JOB, [{}]);
    const {scheduler} = fleet;
    const batch = scheduler.takeBatch();
    expect(batch.commands).toHaveLength(1);
    first.phase = WorkerPhase.DRAINING;
    fleet.addWorker('w2');
    fleet.run(3 * SECOND);
    scheduler.onBatchStored(batch, []);
    for (const command of batch.commands) fleet.execute(command);
    expect(first.starts).toEqual([]);
    fleet.run(SECOND);
    expect(fleet.workers.get('w2')!.starts).toEqual([TASK]);
  });

  it('gets no start of a gang, whose other members are stopped', () => {
    // Guards against members that wait in vain for one that is not started, and
    // end alone (GANG).
    fleet.taskMs = 20 * SECOND;
    const second = fleet.addWorker('w2');
    fleet.run(500);
    const gang = {gang: true, count: 2, cpuMilli: 3000};
    fleet.submit(JOB, [gang]);
    first.isUnreachable = true;
    fleet.run(200);
    expect(second.runs.size).toBe(1);
    first.phase = WorkerPhase.DRAINING;
    fleet.run(SILENCE_MS);
    first.isUnreachable = false;
    fleet.run(SECOND);
    expect([first.starts, second.runs.size]).toEqual([[], 0]);
  });
});
