// Ordinary jobs come at an ordinary rate, each batch job with an image of its
// own. After some time nothing is started any more.
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {HAS_TROUBLE, runCase, sleep} from '../lib/deployment.mjs';

const LASTING_JOBS = 36;
const BATCH_JOBS = 200;
/** Images of the batch jobs in the deployment of the users. */
const USUAL_IMAGES = 9;
const PERIOD_MS = 180;
const TASK_MS = 1500;
const FINISH_MS = 14_000;
/** Time for which a job may have nothing running. */
const IDLE_MS = 3000;

const isLasting = task => task.startsWith('f');

function imageOf(name, build) {
  return `order-desk/${name}:2026-12-05-build-${1000 + build}`;
}

await runCase(
  {
    rule: 'LOST',
    folder: dirname(fileURLToPath(import.meta.url)),
    fronts: 3,
    workers: 6,
    durationMs: task => (isLasting(task) ? Infinity : TASK_MS),
    perpetual: isLasting,
    // The tail of a task that serves, in ms; the processors of another one.
    gauge: task => (isLasting(task) ? 8 + Math.floor(3 * Math.random()) : 1000),
  },
  async deployment => {
    const {judge} = deployment;
    for (let i = 0; i < LASTING_JOBS; i++) {
      await deployment.submit(`f${String(i).padStart(15, '0')}`, {
        spec: 'watch the stock',
        steps: [
          {
            count: 1,
            cpu: 2000,
            'mem-mb': 1000,
            'estimate-ms': 500,
            perpetual: true,
            image: imageOf('stock-watch', i),
            'target-ms': 50,
            'may-miss': 1,
          },
        ],
      });
    }
    await sleep(2000);
    const ids = [];
    for (let i = 0; i < BATCH_JOBS; i++) {
      const id = `0${String(i).padStart(15, '0')}`;
      ids.push(id);
      await deployment.submit(id, {
        spec: 'nest the fabric',
        steps: [
          {
            count: 12,
            cpu: 1000,
            'mem-mb': 1000,
            'estimate-ms': TASK_MS,
            fills: true,
            image: imageOf('nest-batch', HAS_TROUBLE ? i : i % USUAL_IMAGES),
          },
        ],
      });
      await sleep(PERIOD_MS);
    }
    await sleep(FINISH_MS);
    const breaks = [];
    for (const id of ids) {
      const state = await deployment.state(id);
      if (state === 'complete') continue;
      const runs = judge.runs.filter(({task}) => task.startsWith(id));
      const lastEnd = Math.max(0, ...runs.map(run => run.endedAt ?? judge.now));
      const idleMs = Math.round(judge.now - lastEnd);
      if (idleMs < IDLE_MS) continue;
      breaks.push(
        `${id} is shown as ${state}: ${runs.length} runs, none of them for the last ${idleMs} ms`,
      );
    }
    return breaks;
  },
);
