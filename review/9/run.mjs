// The only worker with room fails all that it starts, for a few seconds; then
// it is sound again, and a task that lasts has no other worker.
import process from 'node:process';
import {dirname, join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase} from '../stand-ins-2/deployment.mjs';
import {Record} from '../stand-ins-2/record.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ZONES = ['waikato-a', 'waikato-b', 'waikato-c'];

/** One worker of twelve is 0.083 of them; 0.085 fail what they start at most. */
const WORKERS = 12;
const CPU = 64_000;
/** Lasting tasks that fill the other workers, and the one that is watched. */
const FILLING_TASKS = 33;
const LASTING_CPU = 21_000;
/** Short jobs of one task each, which need more than the others leave. */
const SHORT_JOBS = 16;
const SHORT_CPU = 2000;
const SHORT_MS = 1000;
/** A worker fails what it starts for 6.5 s at most. */
const GREY_MS = 6500;

/**
 * Times of the rule: after the last run, calm before, and without a run. The
 * disruption counts as near for `contact-ms` after its end.
 */
const AFTER_RUN_MS = 6000;
const CONTACT_MS = 3000;
const CALM_BEFORE_MS = 4000;
const WITHOUT_RUN_MS = 3000;
const END_MS = 40_000;

const record = new Record(
  join(dirname(fileURLToPath(import.meta.url)), 'record.txt'),
);

await runCase(record, async deployment => {
  await deployment.startStore();
  const lasting = new Set();
  const durationOf = task =>
    lasting.has(task.split('.')[0]) ? Infinity : SHORT_MS;
  for (let index = 0; index < WORKERS; index++) {
    await deployment.addWorker({
      zone: ZONES[index % ZONES.length],
      rack: `r${index % 2}`,
      cpu: CPU,
      durationOf,
    });
  }
  for (const zone of ZONES) {
    await deployment.addMachine(`front-${zone}-1`, zone, ZONES);
  }
  if (!(await deployment.waitUntilReady())) throw new Error('not ready');
  await sleep(2000);

  const {machines, workers} = deployment;
  const step = {'mem-mb': 1000, 'estimate-ms': SHORT_MS};
  const lastingStep = {...step, cpu: LASTING_CPU, perpetual: true};
  await submit(deployment, {...lastingStep, count: FILLING_TASKS}, lasting);
  const isFull = () =>
    workers.filter(({runs}) => runs.size === 3).length === WORKERS - 1;
  for (let wait = 0; wait < 150 && !isFull(); wait++) await sleep(100);
  if (!isFull()) throw new Error('the other workers are not full');
  await sleep(2000);
  const worker = workers.find(({runs}) => runs.size === 0);
  if (worker === undefined) throw new Error('no worker is empty');

  const greyFrom = record.now();
  if (HAS_TROUBLE) {
    worker.failsAll = true;
    record.add(`worker ${worker.id} fails all that it starts from now on`);
  }
  const watched = await submit(deployment, {...lastingStep, count: 1}, lasting);
  const task = `${watched}.0.0.0`;
  const runningOn = () => workers.find(({runs}) => runs.has(task));
  for (let wait = 0; wait < 50 && !runningOn(); wait++) await sleep(100);
  if (!runningOn()) throw new Error('the watched task does not start');
  await sleep(600);
  await Promise.all(
    Array.from({length: SHORT_JOBS}, (_, index) =>
      submit(
        deployment,
        {...step, cpu: SHORT_CPU, count: 1},
        undefined,
        machines[index % machines.length],
      ),
    ),
  );

  let greyUntil = greyFrom;
  let idleSince;
  let lastRunAt = record.now();
  let longestMs = 0;
  while (record.now() < greyFrom + END_MS) {
    await sleep(20);
    const now = record.now();
    if (worker.failsAll && now - greyFrom >= GREY_MS) {
      worker.failsAll = false;
      greyUntil = now;
      record.add(`worker ${worker.id} is sound again`);
    }
    if (runningOn()) {
      if (idleSince !== undefined) record.add(`${task} runs again`);
      lastRunAt = now;
      idleSince = undefined;
      continue;
    }
    if (worker.failsAll) continue;
    // What the rule counts: from 6 s after the last run, with the 4 s before
    // calm, and while there is capacity for the task twice over.
    const isDue =
      now >= lastRunAt + AFTER_RUN_MS &&
      now >= greyUntil + CONTACT_MS + CALM_BEFORE_MS;
    if (!isDue || freeCpu(workers) < 2 * LASTING_CPU) {
      idleSince = undefined;
      continue;
    }
    idleSince ??= now;
    longestMs = Math.max(longestMs, now - idleSince);
  }
  record.add(
    `${task}: ${longestMs.toFixed(0)} ms without a run that the rule counts`,
  );
  if (longestMs <= WITHOUT_RUN_MS) return undefined;
  return (
    `LOST: a task that lasts has nothing running for ${longestMs.toFixed(0)} ` +
    `ms from 6 s after its last run, all calm, with room for it twice over ` +
    `on worker ${worker.id}`
  );

  /** Most unreserved processors of one worker. */
  function freeCpu(all) {
    const cpuOf = name =>
      lasting.has(name.split('.')[0]) ? LASTING_CPU : SHORT_CPU;
    const free = all.map(
      ({runs, cpu}) =>
        cpu - [...runs.keys()].reduce((sum, name) => sum + cpuOf(name), 0),
    );
    return Math.max(...free);
  }
});

/** Hands a job of one step in; its id is noted before it can start. */
async function submit(deployment, step, ids, first) {
  const {machines} = deployment;
  const order = first
    ? [first, ...machines.filter(machine => machine !== first)]
    : machines;
  const id = await deployment.submit(order, [step], known => ids?.add(known));
  if (id === undefined) throw new Error('a job is not accepted');
  return id;
}
