import {LeaseAccount} from './lease_account.js';
import {LEASE_TIMINGS} from './lease_timings.test_support.js';
import fc from 'fast-check';
import {ManualClock} from '../base/manual_clock.js';
import {Millis, SECOND} from '../base/clock.js';
import {ActiveJob, ActiveStep, ActiveTask} from './active_job.js';
import {
  CandidateWorker,
  CandidateWorkers,
  RESERVE_WAIT_IN_SHORTAGE_MS,
} from './candidate_workers.js';
import {HeadroomForecast} from './headroom.js';
import {InterferenceModel} from './interference.js';
import {JobTimePredictor} from './job_time_predictor.js';
import {PlacementCost} from './placement_cost.js';
import {QUEUE, STEP} from './simulated_fleet.test_support.js';
import {Run, RunPhase, WorkerState} from './worker_state.js';

const NOW: Millis = 100 * SECOND;
const WALL_NOW = 1_000_000;

/** Candidate without its worker; undefined if the worker has no capacity. */
type Offer = Omit<CandidateWorker, 'worker'> | undefined;

/** Costs from a function, instead of those of the workers' loads. */
class FakeCosts extends PlacementCost {
  /** Reads of a candidate's cost or interference cost. */
  reads = 0;

  constructor(private readonly offer: (worker: WorkerState) => Offer) {
    const clock = new ManualClock(NOW);
    const forecast = new HeadroomForecast(new InterferenceModel({}));
    super(clock, forecast, new JobTimePredictor(clock));
  }

  override candidate(
    _step: ActiveStep,
    worker: WorkerState,
  ): CandidateWorker | undefined {
    const offer = this.offer(worker);
    if (offer === undefined) return undefined;
    const {cost, interferenceCost, keepsReserve} = offer;
    const countRead = (): void => {
      this.reads++;
    };
    return {
      worker,
      keepsReserve,
      get cost() {
        countRead();
        return cost;
      },
      get interferenceCost() {
        countRead();
        return interferenceCost;
      },
    };
  }
}

/** Chooses workers by a search through all candidates for each task. */
class LinearSearch {
  private readonly candidates: CandidateWorker[] = [];

  constructor(
    private readonly step: ActiveStep,
    workers: Iterable<WorkerState>,
    private readonly costs: PlacementCost,
    private readonly areShortTasksWaiting: boolean,
    private readonly isLate: boolean,
  ) {
    for (const worker of workers) {
      const candidate = costs.candidate(step, worker, NOW);
      if (candidate !== undefined) this.candidates.push(candidate);
    }
  }

  get isEmpty(): boolean {
    return this.candidates.length === 0;
  }

  best(task: ActiveTask): WorkerState | undefined {
    if (!this.step.shape.perpetual) return this.cheapest(task, false);
    const withReserve = this.cheapest(task, true);
    if (withReserve !== undefined) return withReserve;
    const maxWait = this.areShortTasksWaiting
      ? RESERVE_WAIT_IN_SHORTAGE_MS
      : 1000;
    const waited = NOW - task.readySince;
    return waited > maxWait ? this.cheapest(task, false) : undefined;
  }

  refresh(worker: WorkerState): void {
    const index = this.candidates.findIndex(
      candidate => candidate.worker === worker,
    );
    if (index < 0) return;
    const candidate = this.costs.candidate(this.step, worker, NOW);
    if (candidate !== undefined) this.candidates[index] = candidate;
    else this.candidates.splice(index, 1);
  }

  private cheapest(
    task: ActiveTask,
    mustKeepReserve: boolean,
  ): WorkerState | undefined {
    const limit = this.interferenceLimit(task);
    let best: WorkerState | undefined;
    let lowestCost = Infinity;
    for (const {worker, cost, interferenceCost, keepsReserve} of this
      .candidates) {
      if (mustKeepReserve && !keepsReserve) continue;
      if (interferenceCost > limit) continue;
      if (worker.runs.has(task.name)) continue;
      const total = cost + this.taskCost(task, worker);
      if (total >= lowestCost) continue;
      lowestCost = total;
      best = worker;
    }
    return best;
  }

  private taskCost(task: ActiveTask, worker: WorkerState): number {
    const failureCost = task.failedOn === worker.id ? 2 : 0;
    if (task.crashes.length === 0) return failureCost;
    let cost = failureCost + worker.runs.size;
    const hasSuspect = [...worker.runs.values()].some(
      run => run.task.crashes.length > 0,
    );
    if (hasSuspect) cost += 5;
    return WALL_NOW - worker.born < 15 * SECOND ? cost + 5 : cost;
  }

  private interferenceLimit(task: ActiveTask): number {
    const waitedSeconds = (NOW - task.readySince) / SECOND;
    const limit = 0.1 + waitedSeconds * 0.15;
    return Math.min(limit, this.isLate ? 0.1 : 0.6);
  }
}

/** Creates a step with tasks that have been ready for the given times. */
function createStep(
  waits: readonly Millis[],
  isPerpetual: boolean,
): ActiveStep {
  const shape = {
    spec: '',
    steps: [{...STEP, perpetual: isPerpetual, count: waits.length}],
    repeats: 0,
    startMs: 0,
    periodMs: 0,
  };
  const submission = {queue: QUEUE, acceptedAt: 0, shape};
  const job = new ActiveJob('job', submission, QUEUE, 0);
  const [step] = job.addOccurrence(0, NOW).steps;
  step.tasks.forEach((task, index) => {
    task.readySince = NOW - waits[index];
  });
  return step;
}

function createWorkers(count: number): WorkerState[] {
  return Array.from({length: count}, (_, index) => {
    const worker = new WorkerState(
      `w${index}`,
      new LeaseAccount(LEASE_TIMINGS),
    );
    // Some of them have restarted lately.
    worker.born = WALL_NOW - (index % 3) * 10 * SECOND;
    return worker;
  });
}

function addRun(task: ActiveTask, worker: WorkerState): void {
  const run: Run = {
    task,
    attempt: 1,
    worker,
    born: worker.born,
    phase: RunPhase.STAGED,
    placedAt: NOW,
    attributedAt: 0,
    uncertain: false,
    confirmedAt: 0,
    stopAcceptedAt: 0,
    percent: 0,
    lastProgressAt: NOW,
    pace: 100,
    wasSlowed: false,
    gauge: 0,
  };
  worker.add(run);
}

/** A task of a scenario, which refers to workers by any number. */
interface ScenarioTask {
  readonly waitedMs: Millis;
  readonly failedOn?: number;
  readonly hasCrashed: boolean;
  readonly runsOn?: number;
  /** Whether a run is added to the chosen worker. */
  readonly isPlaced: boolean;
  /** Other workers that are refreshed. */
  readonly refreshed: readonly number[];
}

interface Scenario {
  /** Offers of each worker: the first one, and one after each refresh. */
  readonly offers: readonly (readonly Offer[])[];
  readonly tasks: readonly ScenarioTask[];
  readonly isPerpetual: boolean;
  readonly areShortTasksWaiting: boolean;
  readonly isLate: boolean;
  /** Whether the task that has waited longest comes first. */
  readonly isInOrder: boolean;
}

const TASK: fc.Arbitrary<ScenarioTask> = fc.record({
  waitedMs: fc.oneof(
    fc.constantFrom(0, 500, 1000, 2000, 3500, 4000),
    fc.integer({min: 0, max: 5000}),
  ),
  failedOn: fc.option(fc.nat(), {nil: undefined, freq: 8}),
  hasCrashed: fc.integer({min: 0, max: 9}).map(value => value === 0),
  runsOn: fc.option(fc.nat(), {nil: undefined, freq: 4}),
  isPlaced: fc.boolean(),
  refreshed: fc.array(fc.nat(), {maxLength: 2}),
});

/** Costs of few different values, so that many are equal. */
const COST = fc.oneof(
  {weight: 20, arbitrary: fc.constantFrom(0, 0.25, 0.5, 1, 3)},
  {weight: 5, arbitrary: fc.double({min: -1, max: 4, noNaN: true})},
  {weight: 1, arbitrary: fc.constant(Infinity)},
);

function scenarioWith(cost: fc.Arbitrary<number>): fc.Arbitrary<Scenario> {
  const offer: fc.Arbitrary<Offer> = fc.record({
    cost,
    interferenceCost: fc.constantFrom(0, 0, 0.1, 0.2, 0.4, 0.6, Infinity),
    keepsReserve: fc.boolean(),
  });
  const offerOrNone = fc.option(offer, {nil: undefined, freq: 8});
  const offers = fc.array(offerOrNone, {minLength: 1, maxLength: 5});
  return fc.record({
    offers: fc.array(offers, {maxLength: 20}),
    tasks: fc.array(TASK, {minLength: 1, maxLength: 30}),
    isPerpetual: fc.boolean(),
    areShortTasksWaiting: fc.boolean(),
    isLate: fc.boolean(),
    isInOrder: fc.boolean(),
  });
}

/** Compares each choice of a scenario with that of a search. */
function compareChoices(scenario: Scenario): void {
  const {isPerpetual, areShortTasksWaiting, isLate} = scenario;
  const plans = scenario.isInOrder
    ? [...scenario.tasks].sort((a, b) => b.waitedMs - a.waitedMs)
    : scenario.tasks;
  const step = createStep(
    plans.map(({waitedMs}) => waitedMs),
    isPerpetual,
  );
  const workers = createWorkers(scenario.offers.length);
  const workerAt = (number: number): WorkerState | undefined =>
    workers[number % workers.length];
  const refreshes = new Map(workers.map(worker => [worker, 0]));
  const costs = new FakeCosts(worker => {
    const offers = scenario.offers[workers.indexOf(worker)];
    return offers[refreshes.get(worker)! % offers.length];
  });
  step.tasks.forEach((task, index) => {
    const {failedOn, hasCrashed, runsOn} = plans[index];
    if (failedOn !== undefined) task.failedOn = workerAt(failedOn)?.id ?? '';
    if (hasCrashed) task.crashes = [1];
    const runWorker = runsOn === undefined ? undefined : workerAt(runsOn);
    if (runWorker !== undefined) addRun(task, runWorker);
  });
  const candidates = new CandidateWorkers(
    step,
    workers,
    costs,
    NOW,
    WALL_NOW,
    areShortTasksWaiting,
    isLate,
  );
  const search = new LinearSearch(
    step,
    workers,
    costs,
    areShortTasksWaiting,
    isLate,
  );
  step.tasks.forEach((task, index) => {
    const {isPlaced, refreshed} = plans[index];
    const chosen = candidates.best(task);
    expect(chosen?.id).toBe(search.best(task)?.id);
    const changed = refreshed.map(workerAt);
    if (isPlaced && chosen !== undefined) {
      addRun(task, chosen);
      changed.push(chosen);
    }
    for (const worker of changed) {
      if (worker === undefined) continue;
      refreshes.set(worker, refreshes.get(worker)! + 1);
      candidates.refresh(worker);
      search.refresh(worker);
    }
    expect(candidates.isEmpty).toBe(search.isEmpty);
  });
}

const WORKERS = 625;
const TASKS = 1000;

/** Reads of costs when tasks with the given waiting times are placed. */
function countReads(
  waits: readonly Millis[],
  offer: (worker: WorkerState, index: number) => Offer,
): number {
  const step = createStep(waits, false);
  const workers = createWorkers(WORKERS);
  const indexes = new Map(workers.map((worker, index) => [worker, index]));
  const costs = new FakeCosts(worker => offer(worker, indexes.get(worker)!));
  const candidates = new CandidateWorkers(
    step,
    workers,
    costs,
    NOW,
    WALL_NOW,
    false,
    false,
  );
  for (const task of step.tasks) {
    const worker = candidates.best(task);
    if (worker === undefined) continue;
    addRun(task, worker);
    candidates.refresh(worker);
  }
  return costs.reads;
}

describe('CandidateWorkers', () => {
  it('chooses the same workers as a search through all candidates', () => {
    // Guards against another choice, also among equal costs, by any mix of
    // limits, reserves, failures, crashes and changes of workers.
    fc.assert(fc.property(scenarioWith(COST), compareChoices), {numRuns: 2000});
  });

  it('chooses the same workers if costs are not numbers', () => {
    // Guards against a heap in which such a cost, as of a task and a worker
    // without processors, hides other candidates.
    const cost = fc.oneof(
      {weight: 9, arbitrary: COST},
      {weight: 1, arbitrary: fc.constant(NaN)},
    );
    fc.assert(fc.property(scenarioWith(cost), compareChoices), {numRuns: 500});
  });

  describe('with 1,000 tasks and 625 workers', () => {
    /**
     * Reads of costs if each worker and each task is added to a heap and
     * removed from it once: up to three comparisons a level, two reads each.
     */
    const MAX_READS = 6 * (WORKERS + TASKS) * Math.log2(WORKERS);

    /** Reads of both costs of all candidates for each task. */
    const MAX_SEARCH_READS = 2 * WORKERS * TASKS;

    /** Costs that grow with each run; every worker is chosen in turn. */
    function loadCost({runs}: WorkerState, index: number): number {
      return runs.size + ((index * 7) % WORKERS) / WORKERS;
    }

    /** Four of five workers are cheap, but exceed the limit of most tasks. */
    function interferingOffer(worker: WorkerState, index: number): Offer {
      const interferes = index % 5 !== 0;
      return {
        cost: loadCost(worker, index) + (interferes ? 0 : 1000),
        interferenceCost: interferes ? 0.11 + (index % 40) / 100 : 0,
        keepsReserve: true,
      };
    }

    it('looks at few candidates a task', () => {
      // Guards against a scan whose time grows with starts times workers.
      const waits = Array.from({length: TASKS}, () => 0);
      const reads = countReads(waits, (worker, index) => ({
        cost: loadCost(worker, index),
        interferenceCost: 0,
        keepsReserve: index % 2 === 0,
      }));
      expect(reads).toBeLessThan(MAX_READS);
    });

    it('looks at few candidates a task if most exceed its limit', () => {
      // Guards against each task going anew through those above its limit.
      const waits = Array.from({length: TASKS}, () => 0);
      expect(countReads(waits, interferingOffer)).toBeLessThan(MAX_READS);
    });

    it('looks at few candidates a task if none is up to its limit', () => {
      // Guards against the same when all tasks have to wait.
      const waits = Array.from({length: TASKS}, () => 0);
      const reads = countReads(waits, (worker, index) => ({
        cost: loadCost(worker, index),
        interferenceCost: 1,
        keepsReserve: true,
      }));
      expect(reads).toBeLessThan(MAX_READS);
    });

    it('looks at few candidates a task if the tasks became ready in turn', () => {
      // Guards against the same with a limit of its own for each task.
      const waits = Array.from({length: TASKS}, (_, index) => 4000 - 4 * index);
      expect(countReads(waits, interferingOffer)).toBeLessThan(MAX_READS);
    });

    it('looks at no more than all candidates if the limit rises', () => {
      // Guards against candidates that are moved back and forth between a low
      // and a high limit at a higher cost than that of a search.
      const waits = Array.from({length: TASKS}, (_, index) =>
        index % 2 === 0 ? 0 : 4000,
      );
      expect(countReads(waits, interferingOffer)).toBeLessThan(
        MAX_SEARCH_READS,
      );
    });
  });
});
