import {QUEUE, SimulatedFleet, STEP} from './simulated_fleet.test_support.js';
import {Millis} from '../base/clock.js';
import {ActiveJob} from './active_job.js';

const ID = '00000000000000aa';

/** Runs 40 jobs of a queue whose estimates are four times too long. */
function fleetWithHistory(): SimulatedFleet {
  const fleet = new SimulatedFleet();
  fleet.addWorker('w1', 4000);
  fleet.taskMs = 500;
  for (let job = 1; job <= 40; job++) {
    const id = job.toString(16).padStart(16, '0');
    fleet.submit(id, [{estimateMs: 2000}]);
    fleet.run(600);
  }
  return fleet;
}

function jobOf(fleet: SimulatedFleet): ActiveJob {
  return fleet.scheduler.state.jobs.get(ID)!;
}

/**
 * Local time from which the age of a job counts that this process reads now,
 * and that was accepted `age` ms ago by the wall clock.
 */
function acceptanceTime(fleet: SimulatedFleet, age: Millis): Millis {
  const shape = {spec: '', steps: [STEP], repeats: 0, startMs: 0, periodMs: 0};
  const acceptedAt = fleet.wallClock.now() - age;
  const submission = {queue: QUEUE, acceptedAt, shape};
  const seenAt = fleet.clock.now();
  fleet.scheduler.onJob({id: ID, submission, cancelled: false, seenAt});
  return jobOf(fleet).acceptedAt;
}

describe('JobTimePredictor', () => {
  it('counts the age of a job from its acceptance by another process', () => {
    // Guards against jobs that count as new after all instances restarted, and
    // that give way again to those that arrive later.
    const fleet = fleetWithHistory();
    const now = fleet.clock.now();
    expect(acceptanceTime(fleet, 30_000)).toBe(now - 30_000);
  });

  it('does not count the age of a job by a clock that is behind', () => {
    // Guards against objectives in the future after a step of the wall clock.
    const fleet = fleetWithHistory();
    const now = fleet.clock.now();
    expect(acceptanceTime(fleet, -5000)).toBe(now);
  });

  it('predicts run times from finished runs, not from estimates', () => {
    // Guards against objectives and slack computed from wrong estimates.
    const fleet = fleetWithHistory();
    fleet.submit(ID, [{estimateMs: 2000}, {estimateMs: 2000, after: [0]}]);
    const {timePredictor} = fleet.scheduler.state;
    const [first, second] = jobOf(fleet).occurrences.get(0)!.steps;
    expect(timePredictor.expectedRunTime(first)).toBeLessThan(800);
    expect(timePredictor.criticalPath(first)).toBeCloseTo(
      2 * timePredictor.criticalPath(second),
      -1,
    );
    expect(timePredictor.latencyObjective(jobOf(fleet))).toBeCloseTo(
      QUEUE.stretch * timePredictor.criticalPath(first) + QUEUE.latencyMs,
      -1,
    );
  });

  it('predicts a longer duration for a step of many tasks', () => {
    // Guards against too much slack for a step of many tasks, which ends with
    // its slowest task.
    const fleet = fleetWithHistory();
    fleet.submit(ID, [{count: 16}, {count: 1}]);
    const {timePredictor} = fleet.scheduler.state;
    const [wide, narrow] = jobOf(fleet).occurrences.get(0)!.steps;
    expect(timePredictor.criticalPath(wide)).toBeGreaterThan(
      1.4 * timePredictor.criticalPath(narrow),
    );
  });

  it('reports a job as late once it is unlikely to meet its objective', () => {
    // Guards against giving scarce capacity to jobs that are late anyway.
    const fleet = fleetWithHistory();
    fleet.submit(ID, [{cpuMilli: 9000, estimateMs: 2000}]);
    const {timePredictor} = fleet.scheduler.state;
    const [step] = jobOf(fleet).occurrences.get(0)!.steps;
    expect(timePredictor.isLate(step, fleet.clock.now())).toBe(false);
    fleet.run(4000);
    expect(timePredictor.isLate(step, fleet.clock.now())).toBe(true);
  });

  it('adapts the prediction of a step to its finished tasks', () => {
    // Guards against predicting the other tasks of a step from the queue alone
    // after the finished ones took longer.
    const fleet = fleetWithHistory();
    fleet.taskMs = 2000;
    fleet.submit(ID, [{count: 8, cpuMilli: 1000, estimateMs: 2000}]);
    fleet.run(2400);
    const [step] = jobOf(fleet).occurrences.get(0)!.steps;
    expect(step.doneCount).toBe(4);
    const expected = fleet.scheduler.state.timePredictor.expectedRunTime(step);
    expect(expected).toBeGreaterThan(1300);
  });
});
