// Ordinary jobs come at an ordinary rate, each batch job with an image of its
// own. After some time nothing is started any more.
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {HAS_TROUBLE, runCase, sleep} from '../deployment.mjs';

const LASTING_JOBS = 36;
const BATCH_JOBS = 200;
/** Images of the batch jobs in the deployment of the users. */
const USUAL_IMAGES = 9;
const PERIOD_MS = 180;
const TASKS = 12;
const TASK_CPU = 1000;
const TASK_MEMORY_MB = 1000;
const LASTING_CPU = 2000;
const TASK_MS = 1500;
const FINISH_MS = 14_000;
/** Time for which a job may have nothing running. */
const IDLE_MS = 3000;

const isLasting = task => task.startsWith('f');

function imageOf(name, build) {
  return `order-desk/${name}:2026-12-05-build-${1000 + build}`;
}

/**
 * Whether there is room for a task twice over, and under half of the processors
 * are in use.
 */
function hasCapacity(workers) {
  let used = 0;
  let total = 0;
  let hasRoom = false;
  for (const {runs, capacity} of workers) {
    let cpu = 0;
    for (const task of runs.keys()) {
      cpu += isLasting(task) ? LASTING_CPU : TASK_CPU;
    }
    used += cpu;
    total += capacity.cpu;
    const memory = capacity['mem-mb'] - runs.size * TASK_MEMORY_MB;
    hasRoom ||=
      capacity.cpu - cpu >= 2 * TASK_CPU && memory >= 2 * TASK_MEMORY_MB;
  }
  return hasRoom && used < total / 2;
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
            cpu: LASTING_CPU,
            'mem-mb': TASK_MEMORY_MB,
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
            count: TASKS,
            cpu: TASK_CPU,
            'mem-mb': TASK_MEMORY_MB,
            'estimate-ms': TASK_MS,
            fills: true,
            image: imageOf('nest-batch', HAS_TROUBLE ? i : i % USUAL_IMAGES),
          },
        ],
      });
      await sleep(PERIOD_MS);
    }
    await sleep(FINISH_MS - IDLE_MS);
    // The rule's conditions have to hold all the time.
    let isCapacityFree = true;
    const from = judge.now;
    while (judge.now < from + IDLE_MS + 200) {
      isCapacityFree &&= hasCapacity(deployment.workers);
      await sleep(50);
    }
    const breaks = [];
    for (const id of ids) {
      const state = await deployment.state(id);
      const runs = judge.runs.filter(({task}) => task.startsWith(id));
      const done = new Set(
        runs.filter(({how}) => how === 'done').map(({task}) => task),
      );
      // The turn of all tasks has come: they are one step.
      const waiting = TASKS - done.size;
      const wasIdle = runs.every(({endedAt}) => endedAt < from);
      if (state === 'complete' || waiting === 0) continue;
      if (!wasIdle || !isCapacityFree) continue;
      breaks.push(
        `${id} is shown as ${state}: ${waiting} tasks wait, none runs for over ${IDLE_MS} ms`,
      );
    }
    return breaks;
  },
);
