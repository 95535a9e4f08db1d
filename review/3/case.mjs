// 600 small tasks end on a worker while it is cut off for 4.5 s.
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  CannotRunError,
  HAS_TROUBLE,
  runCase,
  sleep,
  until,
} from '../deployment.mjs';

const TASKS = 600;
const CUT_MS = 4500;
const JOB = '5c0e7a21d94b36f8';

const indexOf = task => Number(task.split('.')[3]);

await runCase(
  {
    rule: 'TWICE',
    folder: dirname(fileURLToPath(import.meta.url)),
    fronts: 3,
    workers: 6,
    // The ends are spread over 2.4 s.
    durationMs: task => 8000 + 4 * indexOf(task),
  },
  async deployment => {
    const {judge, workers} = deployment;
    await deployment.submit(JOB, {
      spec: 'cut the panels',
      steps: [{count: TASKS, cpu: 100, 'mem-mb': 100, 'estimate-ms': 8000}],
    });
    if (!(await until(() => judge.runs.length >= TASKS, 7000))) {
      throw new CannotRunError('the tasks were not started in time');
    }
    const fullest = workers.reduce((a, b) =>
      a.runs.size > b.runs.size ? a : b,
    );
    judge.log('fullest', {worker: fullest.id, runs: fullest.runs.size});
    if (fullest.runs.size < TASKS * 0.95) {
      throw new CannotRunError('the tasks were spread over the workers');
    }
    // Just before the first of them ends.
    const first = Math.min(...judge.runs.map(run => run.startedAt)) + 8000;
    await sleep(Math.max(0, first - 200 - judge.now));
    if (HAS_TROUBLE) {
      judge.log('cut', {worker: fullest.id});
      fullest.proxy.cut();
    }
    await sleep(CUT_MS);
    if (HAS_TROUBLE) {
      judge.log('heal', {worker: fullest.id, ends: fullest.ends.length});
      fullest.proxy.heal();
    }
    await until(
      async () => (await deployment.state(JOB)) === 'complete',
      30_000,
      500,
    );
    await sleep(2000);
    return judge.twice();
  },
);
