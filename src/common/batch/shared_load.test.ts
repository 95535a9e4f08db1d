import {HeadroomForecast} from './headroom.js';
import {InterferenceModel} from './interference.js';
import {PlacementCost} from './placement_cost.js';
import {SharedLoads} from './shared_load.js';
import {SimulatedFleet} from './simulated_fleet.test_support.js';
import {WorkerState} from './worker_state.js';

const SERVING = {perpetual: true, image: 'shop', targetMs: 100};
const BEST_EFFORT = {fills: true, image: 'render'};

function id(number: number): string {
  return number.toString(16).padStart(16, '0');
}

/** Counts forecasts of serving runs, which are the expensive part of a scan. */
class CountingForecast extends HeadroomForecast {
  predictions = 0;

  override predict(...args: Parameters<HeadroomForecast['predict']>): number {
    this.predictions++;
    return super.predict(...args);
  }
}

describe('SharedLoads', () => {
  let fleet: SimulatedFleet;
  let forecast: CountingForecast;
  let worker: WorkerState;

  beforeEach(() => {
    fleet = new SimulatedFleet();
    fleet.taskMs = 60_000;
    fleet.addWorker('w1', 8000);
    fleet.submit(id(1), [{...SERVING, count: 2}]);
    fleet.run(3000);
    forecast = new CountingForecast(new InterferenceModel({}));
    worker = fleet.scheduler.state.workers.get('w1')!;
  });

  it('forecasts a worker once for all steps of a scan', () => {
    // Guards against a scan of a long queue that leaves workers idle: each step
    // forecast all serving runs of all workers anew.
    const {state} = fleet.scheduler;
    const costs = new PlacementCost(state.clock, forecast, state.timePredictor);
    for (let job = 10; job < 60; job++) fleet.submit(id(job), [BEST_EFFORT]);
    const now = fleet.clock.now();
    for (const job of state.jobs.values()) {
      const [step] = job.occurrences.get(0)!.steps;
      if (step.shape.fills) costs.candidate(step, worker, now);
    }
    expect(forecast.predictions).toBe(2);
  });

  it('forecasts a worker anew when its runs change', () => {
    // Guards against tasks placed by a load that does not count the last ones.
    const loads = new SharedLoads(forecast);
    const now = fleet.clock.now();
    const before = loads.of(worker, now).usedCpuMilli;
    const [run] = worker.runs.values();
    worker.remove(run);
    expect(loads.of(worker, now).usedCpuMilli).toBeLessThan(before);
  });

  it('forecasts a worker anew after a while', () => {
    // Guards against decisions by reports that later ones have replaced.
    const loads = new SharedLoads(forecast);
    const now = fleet.clock.now();
    const [run] = worker.runs.values();
    run.gauge = 10;
    const [before] = loads.of(worker, now).headroomByImage.get('shop')!;
    run.gauge = 400;
    const [after] = loads.of(worker, now + 200).headroomByImage.get('shop')!;
    expect(after).toBeLessThan(before);
  });
});
