// A worker reports that it drains, and is cut off at that time for 4.2 s.
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  CannotRunError,
  HAS_TROUBLE,
  runCase,
  sleep,
  until,
} from '../deployment.mjs';

const TASKS = 4;
const TASK_MS = 1000;
/** Before the scheduler can stop what runs there. */
const CUT_DELAY_MS = 20;
const CUT_MS = 4200;
const JOB = '3f00d1e2a3b4c596';

await runCase(
  {
    rule: 'TWICE',
    folder: dirname(fileURLToPath(import.meta.url)),
    fronts: 3,
    // One of them is a share of 0.0625, the site's limit is 0.065.
    workers: 16,
    durationMs: () => TASK_MS,
  },
  async deployment => {
    const {judge, workers} = deployment;
    await deployment.submit(JOB, {
      spec: 'cut the panels',
      steps: [
        {count: TASKS, cpu: 6000, 'mem-mb': 13_000, 'estimate-ms': TASK_MS},
      ],
    });
    if (!(await until(() => judge.runs.length === TASKS, 5000))) {
      throw new CannotRunError('the tasks were not started');
    }
    await sleep(150);
    const worker = workers.reduce((a, b) =>
      a.runs.size > b.runs.size ? a : b,
    );
    judge.log('drains', {worker: worker.id, runs: worker.runs.size});
    worker.state = 'draining';
    worker.beat();
    await sleep(CUT_DELAY_MS);
    if (HAS_TROUBLE) {
      // Cut off from all machines; it runs on.
      judge.log('cut', {worker: worker.id, runs: worker.runs.size});
      worker.reachesStore = false;
      worker.proxy.cut();
    }
    await sleep(CUT_MS);
    if (HAS_TROUBLE) {
      judge.log('heal', {worker: worker.id, ends: worker.ends.length});
      worker.reachesStore = true;
      worker.proxy.heal();
      worker.beat();
    }
    await until(
      async () => (await deployment.state(JOB)) === 'complete',
      20_000,
      500,
    );
    await sleep(4000);
    return judge.twice();
  },
);
