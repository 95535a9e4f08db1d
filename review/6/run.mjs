// Three workers crash, one after the other, each while it runs the same task.
import process from 'node:process';
import {dirname, join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase} from '../stand-ins-2/deployment.mjs';
import {Record} from '../stand-ins-2/record.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ZONES = ['waikato-a', 'waikato-b', 'waikato-c'];

/** One worker of eight is 0.125 of them; a crash takes 0.14 at most. */
const WORKERS = 8;
const CRASHES = 3;
/** A worker is down for 4.5 s at most. */
const DOWN_MS = 1500;

const TASK_MS = 4000;
const CRASH_AFTER_MS = 1000;
const END_OF_DAY_MS = 70_000;

const record = new Record(
  join(dirname(fileURLToPath(import.meta.url)), 'record.txt'),
);

await runCase(record, async deployment => {
  await deployment.startStore();
  let watched;
  let crashes = 0;
  const ends = [];
  const crash = async worker => {
    await sleep(CRASH_AFTER_MS);
    await worker.crash();
    await sleep(DOWN_MS);
    await worker.restart();
  };
  for (let index = 0; index < WORKERS; index++) {
    await deployment.addWorker({
      zone: ZONES[index % ZONES.length],
      rack: `r${index % 4}`,
      cpu: 64_000,
      durationOf: () => TASK_MS,
      onStart: (worker, task) => {
        if (!HAS_TROUBLE || watched === undefined) return;
        if (!task.startsWith(watched) || crashes >= CRASHES) return;
        crashes++;
        void crash(worker);
      },
      onEnd: (_worker, task, _run, how) => {
        if (watched !== undefined && task.startsWith(watched)) ends.push(how);
      },
    });
  }
  for (const zone of ZONES) {
    await deployment.addMachine(`front-${zone}-1`, zone, ZONES);
  }
  if (!(await deployment.waitUntilReady())) throw new Error('not ready');
  await sleep(2000);

  const {machines} = deployment;
  const step = {cpu: 4000, 'mem-mb': 1024, 'estimate-ms': TASK_MS};
  // Others hand in work as well.
  const other = await deployment.submit(machines, [{...step, count: 6}]);
  // The task is known by its id before it can start.
  const id = await deployment.submit(machines, [{...step, count: 1}], known => {
    watched = known;
  });
  if (other === undefined || id === undefined) {
    throw new Error('a job is not accepted');
  }

  let state;
  while (record.now() < END_OF_DAY_MS) {
    await sleep(1000);
    state = await deployment.state(machines[1], id);
    if (state === 'failed' || state === 'complete') break;
  }
  const failures = ends.filter(how => how === 'failed').length;
  record.add(`runs of the task ended: ${ends.join(', ')}; job shown: ${state}`);
  if (HAS_TROUBLE && crashes === 0) throw new Error('nothing crashed');
  if (state === 'failed' && failures === 0) {
    return (
      `LOST: accepted job ${id} is shown as failed, and no run of it ended ` +
      `failed (${ends.join(', ')}); its queue allows 4 failed attempts`
    );
  }
  if (state !== 'complete') {
    return `LOST: accepted job ${id} is ${state} at the end`;
  }
  return undefined;
});
