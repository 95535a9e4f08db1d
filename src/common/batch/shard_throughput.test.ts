import {CostPart, CostsByPart} from './cost_meter.js';
import {JobPhase} from './job_records.js';
import {layoutFor, ShardLayout} from './shard_layout.js';
import {QUEUE, SimulatedFleet} from './simulated_fleet.test_support.js';

const DATA_CENTRES = ['a', 'b', 'c', 'd', 'e'];

/** Workers in each data centre, and processors that carry 40 workers. */
const WORKERS_PER_DATA_CENTRE = 20;
const PROCESSORS = 0.1;

const JOBS = 100;
const TASKS_PER_JOB = 6;

/** A fleet with a scheduler for each shard of a layout. */
class DividedFleet {
  private readonly fleets = new Map<string, SimulatedFleet>();
  private readonly ids: string[] = [];

  constructor(private readonly layout: ShardLayout) {
    for (const dataCentre of DATA_CENTRES) {
      const fleet = this.fleetOf(layout.shardOf(dataCentre));
      for (let index = 0; index < WORKERS_PER_DATA_CENTRE; index++) {
        fleet.addWorker(`${dataCentre}-${index}`);
      }
    }
  }

  private fleetOf(shard: string): SimulatedFleet {
    const fleet = this.fleets.get(shard) ?? new SimulatedFleet([QUEUE], shard);
    this.fleets.set(shard, fleet);
    return fleet;
  }

  /** Submits jobs at an even rate and runs until they have ended. */
  run(): void {
    for (let index = 0; index < JOBS; index++) {
      const id = `job-${index}`;
      this.ids.push(id);
      const shard = this.layout.shardOfJob(id);
      this.fleetOf(shard).submit(id, [{count: TASKS_PER_JOB}]);
      for (const fleet of this.fleets.values()) fleet.run(100);
    }
    for (const fleet of this.fleets.values()) fleet.run(5000);
  }

  /** Number of jobs that are complete. */
  get completed(): number {
    return this.ids.filter(id => {
      const {view} = this.fleetOf(this.layout.shardOfJob(id));
      return view.phase(id) === JobPhase.COMPLETE;
    }).length;
  }

  /** Operations of the scheduler that has the most of a part. */
  most(part: keyof CostsByPart): number {
    const counts = [...this.fleets.values()].map(
      ({scheduler}) => scheduler.state.costs.snapshot()[part].operations,
    );
    return Math.max(...counts);
  }

  /** Starts of the workers of the shard that has the most. */
  get mostStarts(): number {
    const counts = [...this.fleets.values()].map(fleet =>
      [...fleet.workers.values()].reduce(
        (sum, {starts}) => sum + starts.length,
        0,
      ),
    );
    return Math.max(...counts);
  }
}

describe('schedulers of a large fleet', () => {
  it('share the work of reports and starts', () => {
    // Guards against a scheduler that handles the reports and starts of the
    // whole fleet and fills its core (LOST and SHORT on tuapapa-sched-large).
    const dataCentres = DATA_CENTRES.flatMap(name =>
      new Array<string>(WORKERS_PER_DATA_CENTRE).fill(name),
    );
    const divided = new DividedFleet(layoutFor(dataCentres, PROCESSORS));
    const undivided = new DividedFleet(ShardLayout.UNDIVIDED);
    for (const fleet of [divided, undivided]) {
      fleet.run();
      expect(fleet.completed).toBe(JOBS);
    }
    const share = 1 / DATA_CENTRES.length;
    const reports = CostPart.REPORTS;
    expect(divided.most(reports)).toBe(undivided.most(reports) * share);
    expect(undivided.mostStarts).toBe(JOBS * TASKS_PER_JOB);
    // Owners follow from a hash of the id, so the shares differ by chance.
    expect(divided.mostStarts).toBeLessThan(2 * JOBS * TASKS_PER_JOB * share);
  });
});
