import {InterferenceModel} from './interference.js';
import {SimulatedFleet} from './simulated_fleet.test_support.js';
import {SimulatedWorker} from './simulated_worker.test_support.js';
import {StepShape} from './types.js';

const SERVING: Partial<StepShape> = {
  perpetual: true,
  image: 'shop',
  targetMs: 100,
  cpuMilli: 1000,
};

const BEST_EFFORT: Partial<StepShape> = {
  fills: true,
  image: 'render',
  cpuMilli: 500,
  checkpoints: true,
};

function id(number: number): string {
  return number.toString(16).padStart(16, '0');
}

/** Sets the tail latency that the worker's serving runs report. */
function reportTail(worker: SimulatedWorker, tailMs: number): void {
  for (const run of worker.runs.values()) {
    if (run.percent === 100) run.gauge = tailMs;
  }
}

describe('serving and best-effort tasks on the same workers', () => {
  let fleet: SimulatedFleet;

  beforeEach(() => {
    fleet = new SimulatedFleet();
    fleet.taskMs = 60_000;
  });

  it('slows best-effort runs colocated with a run over its target', () => {
    // Guards against a tail latency that stays high due to interference.
    const worker = fleet.addWorker('w1', 4000);
    fleet.submit(id(1), [SERVING]);
    fleet.submit(id(2), [BEST_EFFORT]);
    fleet.run(1000);
    reportTail(worker, 300);
    fleet.run(1000);
    expect(worker.paces.length).toBeGreaterThan(0);
    expect(Math.min(...worker.paces)).toBeLessThan(60);
  });

  it('controls paces on a worker without an entry in the list', () => {
    // Guards against a crash of the scheduler on reports of such a worker.
    // Entries expire while the store is unavailable.
    const worker = fleet.addWorker('w1', 4000);
    fleet.submit(id(1), [SERVING]);
    fleet.submit(id(2), [BEST_EFFORT]);
    fleet.run(1000);
    worker.isListed = false;
    reportTail(worker, 300);
    fleet.run(5000);
    expect(Math.min(...worker.paces)).toBe(0);
  });

  it('halts all best-effort runs before 4 s over the target', () => {
    // Guards against a model that attributes the loss to no image. A serving
    // task must not be over its target for 4 s.
    const worker = fleet.addWorker('w1', 4000);
    fleet.submit(id(1), [SERVING]);
    fleet.submit(id(2), [{...BEST_EFFORT, checkpoints: false, cpuMilli: 10}]);
    fleet.run(1000);
    reportTail(worker, 300);
    fleet.run(3500);
    expect(worker.paces[worker.paces.length - 1]).toBe(0);
  });

  it('restores the pace when the tail latency is low again', () => {
    // Guards against best-effort runs that stay slow without a reason.
    const worker = fleet.addWorker('w1', 4000);
    fleet.submit(id(1), [SERVING]);
    fleet.submit(id(2), [{...BEST_EFFORT, checkpoints: false}]);
    fleet.run(1000);
    reportTail(worker, 130);
    fleet.run(700);
    reportTail(worker, 20);
    fleet.run(2000);
    expect(worker.paces[worker.paces.length - 1]).toBe(100);
  });

  it('prefers workers without interference for best-effort tasks', () => {
    // Guards against slowing requests although another worker is free.
    const shared = fleet.addWorker('w1', 4000);
    fleet.submit(id(1), [SERVING]);
    fleet.run(300);
    reportTail(shared, 95);
    const free = fleet.addWorker('w2', 4000);
    fleet.run(200);
    fleet.submit(id(2), [{...BEST_EFFORT, count: 4}]);
    fleet.run(200);
    expect(free.starts).toHaveLength(4);
  });

  it('places no best-effort task on a worker with a run over its target', () => {
    // Guards against treating a worker as free because its halted runs use no
    // processors. Each new run worked at full pace until the next report.
    const worker = fleet.addWorker('w1', 4000);
    fleet.submit(id(1), [SERVING]);
    fleet.submit(id(2), [{...BEST_EFFORT, checkpoints: false}]);
    fleet.run(1000);
    reportTail(worker, 300);
    fleet.run(1800);
    const before = worker.starts.length;
    for (let job = 3; job < 9; job++) {
      fleet.submit(id(job), [{...BEST_EFFORT, checkpoints: false}]);
      fleet.run(200);
    }
    expect(worker.starts).toHaveLength(before);
  });

  it('places best-effort tasks again after a serving run recovered', () => {
    // Guards against excluding a worker forever: the time over the target was
    // only updated while best-effort runs were on the worker, so it never ended
    // once all of them had moved away.
    const worker = fleet.addWorker('w1', 4000);
    fleet.submit(id(1), [SERVING]);
    fleet.submit(id(2), [{...BEST_EFFORT, checkpoints: false}]);
    fleet.run(1000);
    reportTail(worker, 300);
    fleet.run(1800);
    fleet.cancel(id(2));
    fleet.run(500);
    reportTail(worker, 20);
    fleet.run(500);
    fleet.submit(id(3), [BEST_EFFORT]);
    fleet.run(500);
    expect(worker.runs.has(`${id(3)}.0.0.0`)).toBe(true);
  });

  it('limits the best-effort load of a worker', () => {
    // Guards against slowing all tasks of a worker without idle processors.
    const worker = fleet.addWorker('w1', 4000);
    fleet.submit(id(1), [{...BEST_EFFORT, cpuMilli: 1000, count: 10}]);
    fleet.run(500);
    expect(worker.starts).toHaveLength(4);
  });

  it('keeps tolerant workers free for tasks that interfere', () => {
    // Guards against harmless tasks on the only workers where interfering tasks
    // can run.
    const firstWorker = fleet.addWorker('w1', 4000);
    const secondWorker = fleet.addWorker('w2', 4000);
    fleet.submit(id(1), [{...SERVING, cpuMilli: 2500}]);
    fleet.submit(id(2), [{...SERVING, cpuMilli: 2500, image: 'calm'}]);
    fleet.run(300);
    const sensitive = firstWorker.starts[0].startsWith(id(1))
      ? firstWorker
      : secondWorker;
    const tolerant = sensitive === firstWorker ? secondWorker : firstWorker;
    for (let round = 0; round < 6; round++) {
      reportTail(sensitive, 40);
      reportTail(tolerant, 40);
      fleet.submit(id(10 + round), [
        {...BEST_EFFORT, image: 'heavy', count: 2},
      ]);
      fleet.run(900);
      const hasHeavyTask = [...sensitive.runs.keys()].some(task =>
        task.startsWith(id(10 + round)),
      );
      reportTail(sensitive, hasHeavyTask ? 90 : 40);
      fleet.run(900);
      fleet.cancel(id(10 + round));
      fleet.run(400);
    }
    reportTail(sensitive, 40);
    reportTail(tolerant, 40);
    fleet.run(1500);
    const before = sensitive.starts.length;
    fleet.submit(id(50), [{...BEST_EFFORT, image: 'light', count: 1}]);
    fleet.run(300);
    expect(sensitive.starts.length).toBe(before + 1);
  });

  it('keeps processors free for the current load of serving tasks', () => {
    // Guards against using all processors, which multiplies tail latencies.
    const worker = fleet.addWorker('w1', 4000);
    fleet.submit(id(1), [{...SERVING, cpuMilli: 3200}]);
    fleet.run(300);
    reportTail(worker, 55);
    fleet.run(2000);
    fleet.submit(id(2), [{...BEST_EFFORT, image: 'light', count: 8}]);
    fleet.run(300);
    // A headroom of 1.8 means a load of two thirds: 2.1 of 4 processors.
    expect(worker.starts.length - 1).toBeLessThanOrEqual(4);
  });

  it('starts a perpetual task on a worker without a reserve', () => {
    // Guards against a perpetual task that waits forever for a worker that
    // keeps a reserve.
    fleet.addWorker('w1', 4000);
    fleet.addWorker('w2', 4000);
    fleet.submit(id(1), [{...SERVING, cpuMilli: 3500, count: 2}]);
    fleet.run(2000);
    expect(fleet.running()).toHaveLength(2);
  });

  it('places serving tasks of one image together', () => {
    // Guards against a mix of images in which no worker tolerates best-effort
    // tasks.
    const first = fleet.addWorker('w1', 8000);
    const second = fleet.addWorker('w2', 8000);
    for (let job = 0; job < 4; job++) {
      const image = job % 2 === 0 ? 'shop' : 'blog';
      fleet.submit(id(job), [{...SERVING, image, count: 2}]);
      fleet.run(100);
    }
    const images = [first, second].map(
      worker =>
        new Set(worker.starts.map(task => Number.parseInt(task, 16) % 2)).size,
    );
    expect(images).toEqual([1, 1]);
  });
});

describe('best-effort jobs that interfere with every serving task', () => {
  it('start one task each while most processors are unreserved', () => {
    // Guards against jobs that wait forever for a worker without interference
    // once they are late.
    const fleet = new SimulatedFleet();
    fleet.taskMs = 60_000;
    const worker = fleet.addWorker('w1', 4000);
    fleet.submit(id(1), [SERVING]);
    fleet.run(500);
    reportTail(worker, 90);
    fleet.run(3000);
    for (const job of [2, 3, 4]) {
      fleet.submit(id(job), [{...BEST_EFFORT, cpuMilli: 3000, count: 3}]);
    }
    fleet.run(3000);
    const jobs = fleet.running().map(([task]) => task.slice(0, 16));
    for (const job of [2, 3, 4]) expect(jobs).toContain(id(job));
  });
});

describe('a burst of jobs that exceeds the capacity', () => {
  it('starts jobs that can meet their objective before late ones', () => {
    // Guards against earliest deadline first, which makes all jobs late once
    // some are late.
    const fleet = new SimulatedFleet();
    const worker = fleet.addWorker('w1', 1000);
    for (let job = 1; job <= 12; job++) fleet.submit(id(job), [{}]);
    fleet.run(6500);
    fleet.submit(id(100), [{}]);
    fleet.run(1200);
    const position = worker.starts.indexOf(`${id(100)}.0.0.0`);
    expect(position).toBeGreaterThan(0);
    expect(position).toBeLessThan(9);
  });
});

describe('an overloaded fleet', () => {
  it('starts small jobs before a large one', () => {
    // Guards against least slack first, which divided the capacity among jobs
    // that all ended too late.
    const fleet = new SimulatedFleet();
    const worker = fleet.addWorker('w1', 2000);
    fleet.submit(id(1), [{count: 2}]);
    fleet.run(200);
    fleet.submit(id(2), [{count: 10, estimateMs: 500}]);
    fleet.submit(id(3), [{count: 2, estimateMs: 1500}]);
    fleet.run(1000);
    const next = worker.starts.slice(2, 4).map(task => task.slice(0, 16));
    expect(next).toEqual([id(3), id(3)]);
  });

  it('completes a large late job while small jobs keep arriving', () => {
    // Guards against starving large jobs: late ones are served by age.
    const fleet = new SimulatedFleet();
    fleet.addWorker('w1', 2000);
    fleet.submit(id(1), [{count: 12}]);
    for (let job = 2; job <= 6; job++) fleet.submit(id(job), [{count: 2}]);
    for (let job = 7; job <= 31; job++) {
      fleet.run(1000);
      fleet.submit(id(job), [{}]);
    }
    expect(fleet.scheduler.state.jobs.has(id(1))).toBe(false);
  });
});

describe('a fleet with little capacity besides perpetual tasks', () => {
  it('keeps a reserve for short tasks while some wait', () => {
    // Guards against perpetual tasks that take all capacity after a second.
    // Short tasks with a deadline of seconds waited for tens of seconds.
    const fleet = new SimulatedFleet();
    fleet.addWorker('w1', 4000);
    fleet.addWorker('w2', 4000);
    fleet.taskMs = 500;
    fleet.submit(id(1), [{...SERVING, cpuMilli: 3000, count: 2}]);
    fleet.run(2000);
    fleet.submit(id(2), [{count: 8}]);
    fleet.run(500);
    fleet.submit(id(3), [{...SERVING, cpuMilli: 900}]);
    fleet.run(2500);
    expect(fleet.running().map(([task]) => task.slice(0, 16))).not.toContain(
      id(3),
    );
    fleet.run(6000);
    expect(fleet.running().map(([task]) => task.slice(0, 16))).toContain(id(3));
  });

  it('starts a perpetual task within six seconds of a shortage', () => {
    // Guards against a short task that can't start and delays perpetual tasks
    // forever.
    const fleet = new SimulatedFleet();
    fleet.addWorker('w1', 4000);
    fleet.addWorker('w2', 4000);
    fleet.submit(id(1), [{...SERVING, cpuMilli: 3000, count: 2}]);
    fleet.run(2000);
    fleet.submit(id(2), [{cpuMilli: 3500}]);
    fleet.submit(id(3), [{...SERVING, cpuMilli: 900}]);
    fleet.run(6000);
    expect(fleet.running().map(([task]) => task.slice(0, 16))).toContain(id(3));
  });
});

describe('the interference model', () => {
  it('starts with a moderate weight', () => {
    // Guards against either ignoring or avoiding all pairs without samples.
    expect(new InterferenceModel().weight('a', 'b')).toBe(3);
  });
});
