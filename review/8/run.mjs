// A worker is lost for good, and the process of the scheduler is killed at
// nearly the same time; a task that lasts ran on that worker.
import process from 'node:process';
import {dirname, join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase} from '../stand-ins-2/deployment.mjs';
import {Record} from '../stand-ins-2/record.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ZONES = ['waikato-a', 'waikato-b', 'waikato-c'];

/** One worker of eight is 0.125 of them; 0.14 are lost at most. */
const WORKERS = 8;
const CPU = 64_000;
const LASTING_CPU = 13_000;
/** Time from the loss of the worker to the kill, and until the restart. */
const KILL_AFTER_MS = 400;
const DOWN_MS = 500;
/** A worker's entry goes after three heartbeat intervals of silence. */
const ENTRY_MS = 3300;

/**
 * Times of the rule: after the last run, calm before, and without a run. The
 * disruption counts as near for `contact-ms` after its end.
 */
const AFTER_RUN_MS = 6000;
const CONTACT_MS = 3000;
const CALM_BEFORE_MS = 4000;
const WITHOUT_RUN_MS = 3000;
const END_MS = 25_000;

const record = new Record(
  join(dirname(fileURLToPath(import.meta.url)), 'record.txt'),
);

await runCase(record, async deployment => {
  await deployment.startStore();
  for (const zone of ZONES) {
    await deployment.addMachine(`front-${zone}-1`, zone, ZONES);
  }
  if (!(await deployment.waitUntilReady())) throw new Error('not ready');
  for (let index = 0; index < WORKERS; index++) {
    await deployment.addWorker({
      zone: ZONES[index % ZONES.length],
      rack: `r${index % 4}`,
      cpu: CPU,
      durationOf: () => Infinity,
    });
  }
  await sleep(3000);

  const {machines, workers} = deployment;
  const id = await deployment.submit(machines, [
    {
      count: 1,
      cpu: LASTING_CPU,
      'mem-mb': 13_000,
      'estimate-ms': 500,
      perpetual: true,
    },
  ]);
  if (id === undefined) throw new Error('the job is not accepted');
  const task = `${id}.0.0.0`;
  const runningOn = () => workers.find(({runs}) => runs.has(task));
  for (let wait = 0; wait < 100 && !runningOn(); wait++) await sleep(50);
  const worker = runningOn();
  if (worker === undefined) throw new Error('the task does not start');
  await sleep(3000);

  let lastRunAt = record.now();
  let calmFrom = record.now();
  const startedAt = record.now();
  if (HAS_TROUBLE) {
    await worker.crash();
    lastRunAt = record.now();
    await sleep(KILL_AFTER_MS);
    const {scheduler} = deployment;
    if (scheduler === undefined) throw new Error('there is no scheduler');
    scheduler.signal('SIGKILL');
    record.add(`${scheduler.name}, the scheduler, is killed`);
    await sleep(DOWN_MS);
    scheduler.start();
    record.add(`${scheduler.name} is started again`);
    calmFrom = record.now();
    removeEntryInTime(deployment, worker, lastRunAt);
  }
  let idleSince;
  let longestMs = 0;
  let wasRunning = !HAS_TROUBLE;
  while (record.now() < startedAt + END_MS) {
    await sleep(20);
    const now = record.now();
    if (runningOn()) {
      if (!wasRunning) record.add(`${task} runs again`);
      wasRunning = true;
      lastRunAt = now;
      idleSince = undefined;
      continue;
    }
    wasRunning = false;
    const isDue =
      now >= lastRunAt + AFTER_RUN_MS &&
      now >= calmFrom + CONTACT_MS + CALM_BEFORE_MS;
    // Workers with room for the task twice over; nothing else runs.
    const room = workers.filter(
      ({isDown, runs}) => !isDown && runs.size === 0 && CPU >= 2 * LASTING_CPU,
    );
    if (!isDue || room.length === 0) {
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
    `ms from 6 s after its last run, all calm for 7 s before, with seven ` +
    `empty workers`
  );
});

/** Removes the entry of a lost worker from the store in time. */
function removeEntryInTime(deployment, worker, lostAt) {
  void sleep(lostAt + ENTRY_MS - record.now()).then(() =>
    deployment.store.write('keyed.servers', worker.id, undefined),
  );
}
