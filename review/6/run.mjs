// Tasks that last take the room of one data centre while jobs of two steps run
// there; the other data centres are empty.
import process from 'node:process';
import {dirname, join} from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase} from '../stand-ins-2/deployment.mjs';
import {Record} from '../stand-ins-2/record.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ZONES = ['waikato-a', 'waikato-b', 'waikato-c'];
/** The data centre that the tasks that last need, by the label of its rack. */
const FULL_ZONE = ZONES[0];

/** More workers than one scheduler on such a machine takes. */
const WORKERS_PER_ZONE = 44;
const CPU_SHARE = 0.324;
const CPU = 64_000;
const LASTING_CPU = 20_000;
/** Steps of lasting tasks have 12 tasks of 20 cores on the site at most. */
const LASTING_JOBS = 15;
const LASTING_TASKS = 12;
const JOBS = 12;
const STEP_CPU = 19_000;
const STEP_MS = [4300, 1500];

/** `finish_s`, and the time without a run that the rule allows after it. */
const FINISH_MS = 14_000;
const WITHOUT_RUN_MS = 3000;
const END_MS = 45_000;

const record = new Record(
  join(dirname(fileURLToPath(import.meta.url)), 'record.txt'),
);

await runCase(record, async deployment => {
  await deployment.startStore();
  for (const zone of ZONES) {
    await deployment.addMachine(`front-${zone}-1`, zone, ZONES, CPU_SHARE);
    await deployment.addMachine(`front-${zone}-2`, zone, ZONES, CPU_SHARE);
  }
  if (!(await deployment.waitUntilReady())) throw new Error('not ready');
  const lasting = new Set();
  const startedIn = new Map();
  for (let index = 0; index < WORKERS_PER_ZONE * ZONES.length; index++) {
    const zone = ZONES[index % ZONES.length];
    await deployment.addWorker({
      zone,
      rack: `rack-${zone}`,
      cpu: CPU,
      durationOf: task => {
        const [job, , step] = task.split('.');
        return lasting.has(job) ? Infinity : STEP_MS[Number(step)];
      },
      onStart: (worker, task) => startedIn.set(task, worker.zone),
    });
  }
  const {machines, workers} = deployment;
  const isDivided = () =>
    new Set(
      machines.flatMap(({decisions}) =>
        decisions
          .filter(({decision}) => decision === 'term-begins')
          .map(({shard}) => shard),
      ),
    ).size > ZONES.length;
  for (let wait = 0; wait < 200 && !isDivided(); wait++) await sleep(100);
  if (!isDivided()) throw new Error('the fleet is not divided');
  await sleep(3000);

  const step = {count: 1, cpu: STEP_CPU, 'mem-mb': 1000};
  const jobs = [];
  for (let index = 0; index < JOBS; index++) {
    const id = await deployment.submit(machines, [
      {...step, 'estimate-ms': STEP_MS[0]},
      {...step, 'estimate-ms': STEP_MS[1], after: [0]},
    ]);
    if (id === undefined) throw new Error('a job is not accepted');
    jobs.push(id);
  }
  const haveStarted = () => jobs.every(id => startedIn.has(`${id}.0.0.0`));
  for (let wait = 0; wait < 60 && !haveStarted(); wait++) await sleep(50);
  if (!haveStarted()) throw new Error('the first steps do not start');
  const watched = jobs.filter(id => startedIn.get(`${id}.0.0.0`) === FULL_ZONE);
  record.add(`${watched.length} of ${JOBS} jobs start in ${FULL_ZONE}`);
  if (watched.length === 0) throw new Error('no job starts there');
  const lastingStep = {
    count: LASTING_TASKS,
    cpu: LASTING_CPU,
    'mem-mb': 1000,
    'estimate-ms': 500,
    perpetual: true,
    'required-label': `rack-${FULL_ZONE}`,
  };
  const lastingJobs = HAS_TROUBLE ? LASTING_JOBS : 0;
  const accepted = await Promise.all(
    Array.from({length: lastingJobs}, () =>
      deployment.submit(machines, [lastingStep], known => lasting.add(known)),
    ),
  );
  if (accepted.includes(undefined)) throw new Error('a job is not accepted');
  const trafficEndsAt = record.now();

  const cpuOf = task =>
    lasting.has(task.split('.')[0]) ? LASTING_CPU : STEP_CPU;
  const used = worker =>
    [...worker.runs.keys()].reduce((sum, task) => sum + cpuOf(task), 0);
  const hasRun = id =>
    workers.some(({runs}) => [...runs.keys()].some(t => t.startsWith(id)));
  const idleSince = new Map();
  const longest = new Map();
  while (record.now() < END_MS) {
    await sleep(100);
    const now = record.now();
    const inUse = workers.reduce((sum, worker) => sum + used(worker), 0);
    const share = inUse / (workers.length * CPU);
    const room = workers.filter(worker => CPU - used(worker) >= 2 * STEP_CPU);
    const isDue =
      now >= trafficEndsAt + FINISH_MS && share < 0.5 && room.length >= 1;
    for (const id of watched) {
      // Whether its second step is still to come.
      if (!isDue || startedIn.has(`${id}.0.1.0`) || hasRun(id)) {
        idleSince.delete(id);
        continue;
      }
      if (!idleSince.has(id)) idleSince.set(id, now);
      longest.set(id, Math.max(longest.get(id) ?? 0, now - idleSince.get(id)));
    }
    if (Math.round(now / 100) % 50 === 0) {
      record.add(
        `${(100 * share).toFixed(0)} % of the processors are in use, ` +
          `${room.length} workers have room for a second step`,
      );
    }
  }
  const states = [];
  for (const id of watched)
    states.push(await deployment.state(machines[0], id));
  const late = [...longest].filter(([, ms]) => ms > WITHOUT_RUN_MS);
  if (late.length === 0) return undefined;
  return (
    `LOST: ${late.length} accepted jobs have nothing running for up to ` +
    `${Math.max(...late.map(([, ms]) => ms)).toFixed(0)} ms from finish_s ` +
    `after the traffic on, with room on other workers; shown as ${states}`
  );
});
