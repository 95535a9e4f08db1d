// A machine of the system freezes while the scheduler calls workers through it;
// some of these workers begin to drain meanwhile.
import process from 'node:process';
import {dirname, join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase} from '../stand-ins-2/deployment.mjs';
import {Record} from '../stand-ins-2/record.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ZONES = ['waikato-a', 'waikato-b', 'waikato-c'];
const MACHINES = {'waikato-a': 3, 'waikato-b': 3, 'waikato-c': 2};

const WORKERS = 66;
/** Share of the workers that drain in a round: 4 of 66 is 0.061. */
const DRAINING = 4;
/** What a draining worker still serves, at the least and here. */
const DRAIN_MS = 2000;
const SERVES_MS = 8000;
/** A machine freezes for 4 s. */
const FREEZE_MS = 4000;
const TASK_MS = 1500;
/** The same once more each time, after a calm pause. */
const ROUNDS = 3;
const PAUSE_MS = 8000;

const record = new Record(
  join(dirname(fileURLToPath(import.meta.url)), 'record.txt'),
);

await runCase(record, async deployment => {
  await deployment.startStore();
  const late = [];
  let isFrozen = false;
  let onFirstStart = () => {};
  const onStart = (worker, task, run) => {
    onFirstStart();
    if (worker.drainedAt === undefined) return;
    const after = record.now() - worker.drainedAt;
    // Once the frozen machine goes on, a start may be its own; it is not in
    // touch then.
    if (after <= DRAIN_MS || (HAS_TROUBLE && !isFrozen)) return;
    late.push(after);
    record.add(
      `late: ${worker.id} starts ${task} run ${run.attempt} ` +
        `${after.toFixed(0)} ms after the store accepted that it drains`,
    );
  };
  // The machines first, so that all of them are known when the scheduler
  // chooses through which it calls a worker.
  for (const zone of ZONES) {
    for (let number = 1; number <= MACHINES[zone]; number++) {
      await deployment.addMachine(`front-${zone}-${number}`, zone, ZONES);
    }
  }
  if (!(await deployment.waitUntilReady())) throw new Error('not ready');
  for (let index = 0; index < WORKERS; index++) {
    await deployment.addWorker({
      zone: ZONES[index % ZONES.length],
      rack: `r${Math.floor(index / 11)}`,
      cpu: 64_000,
      durationOf: () => TASK_MS,
      onStart,
    });
  }
  await sleep(6000);

  const {scheduler} = deployment;
  if (scheduler === undefined) throw new Error('there is no scheduler');
  record.add(`the scheduler is ${scheduler.name}`);
  const zone = ZONES.find(name => name !== scheduler.zone);
  for (let round = 0; round < ROUNDS; round++) {
    if (round > 0) await sleep(PAUSE_MS);
    await playRound(round);
    if (deployment.scheduler !== scheduler) {
      throw new Error('the scheduler has changed');
    }
  }
  if (late.length === 0) return undefined;
  return (
    `DRAIN: ${late.length} starts on draining workers later than ` +
    `${DRAIN_MS} ms after the store accepted that they drain, the last ` +
    `${Math.max(...late).toFixed(0)} ms after`
  );

  async function playRound(round) {
    // The scheduler calls the workers of a zone through the first other machine
    // there, and through the next one after that has failed.
    const machines = deployment.machines.filter(
      machine => machine.zone === zone,
    );
    const frozen = machines[round % 2];
    const calm = deployment.machines.filter(machine => machine !== frozen);
    const draining = deployment.workers
      .filter(worker => worker.zone === zone && worker.state === 'ready')
      .slice(0, DRAINING);
    if (HAS_TROUBLE) {
      frozen.signal('SIGSTOP');
      isFrozen = true;
      record.add(`${frozen.name} freezes`);
    }
    const frozenAt = record.now();
    // The workers begin to drain as the job's first task starts.
    onFirstStart = () => {
      onFirstStart = () => {};
      for (const worker of draining) worker.drain(SERVES_MS);
    };
    const step = {
      count: 2 * deployment.workers.filter(({isDown}) => !isDown).length,
      cpu: 24_000,
      'mem-mb': 13_000,
      'estimate-ms': TASK_MS,
    };
    const id = await deployment.submit(calm, [step]);
    if (id === undefined) throw new Error('the job is not accepted');
    await sleep(frozenAt + FREEZE_MS - record.now());
    if (HAS_TROUBLE) {
      isFrozen = false;
      frozen.signal('SIGCONT');
      record.add(`${frozen.name} goes on`);
    }
    await sleep(SERVES_MS - FREEZE_MS);
    for (const worker of draining) {
      if (worker.drainedAt === undefined) throw new Error('nothing started');
      record.add(`worker ${worker.id} leaves`);
      deployment.store.write('keyed.servers', worker.id, undefined);
      await worker.crash();
    }
  }
});
