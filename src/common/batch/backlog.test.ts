import {QUEUE, SimulatedFleet} from './simulated_fleet.test_support.js';

function id(number: number): string {
  return number.toString(16).padStart(16, '0');
}

describe('log of the backlog', () => {
  it('tells tasks without room from tasks held back for serving tasks', () => {
    // Guards against a backlog whose cause the log does not show.
    const fleet = new SimulatedFleet();
    fleet.taskMs = 60_000;
    const worker = fleet.addWorker('w1', 4000);
    const serving = {perpetual: true, image: 'shop', targetMs: 100};
    fleet.submit(id(1), [{...serving, cpuMilli: 2000}]);
    fleet.run(1000);
    for (const run of worker.runs.values()) run.gauge = 300;
    fleet.run(3000);
    fleet.submit(id(2), [{fills: true, image: 'render', count: 3}]);
    fleet.submit(id(3), [{cpuMilli: 3000, count: 2}]);
    fleet.run(3000);
    const entries = fleet.entries.filter(
      ({decision}) => decision === 'backlog',
    );
    const total = (field: string): number =>
      Math.max(...entries.map(({fields}) => Number(fields[field])));
    expect(total('interference')).toBe(3);
    expect(total('noRoom')).toBe(2);
    expect(entries.every(({fields}) => fields.queue === QUEUE.name)).toBe(true);
  });

  it('gives size, age and failed runs of a job that is over', () => {
    // Guards against late jobs whose cause, size or repeated runs, is unknown.
    const fleet = new SimulatedFleet();
    fleet.addWorker('w1', 4000);
    fleet.submit(id(1), [{count: 3}]);
    fleet.run(2000);
    const over = fleet.entries.find(({decision}) => decision === 'job-over');
    expect(over?.fields).toMatchObject({tasks: 3, attempts: 3, failures: 0});
    expect(over?.fields.ageMs).toBeGreaterThanOrEqual(1000);
  });
});
