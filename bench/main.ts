import meow from 'meow';
import {runCapacityBenchmark} from './capacity.js';
import {EntryBenchmarkOptions, runEntryBenchmark} from './entry.js';

const cli = meow(
  `
  Usage
    $ npm run bench -- <command> [options]

  Commands
    entry     added latency and throughput of the request path on loopback
    capacity  slopes of processor time, memory and bytes by size

  Options
    --json FILE        write the figures to FILE as JSON
    --seconds N        measuring time of each step (default 2)
    --concurrency N,…  requests at the same time (default 1,4,16,64,256,512)
    --part NAME,…      parts of the capacity benchmark (default all)
`,
  {
    importMeta: import.meta,
    flags: {
      json: {type: 'string'},
      seconds: {type: 'number', default: 2},
      part: {type: 'string', default: ''},
      concurrency: {type: 'string', default: '1,4,16,64,256,512'},
    },
  },
);

/** Most seconds of one step, so that a run ends in minutes at most. */
const MAX_STEP_SECONDS = 30;

/** Most requests at the same time. */
const MAX_CONCURRENCY = 2000;

function entryOptions(): EntryBenchmarkOptions {
  const {json, seconds, concurrency} = cli.flags;
  const levels = concurrency.split(',').map(Number);
  const valid = (n: number) => Number.isInteger(n) && n > 0;
  if (!levels.every(n => valid(n) && n <= MAX_CONCURRENCY)) {
    throw new Error(
      `--concurrency needs whole numbers from 1 to ${MAX_CONCURRENCY}.`,
    );
  }
  if (!(seconds > 0 && seconds <= MAX_STEP_SECONDS)) {
    throw new Error(`--seconds needs a number up to ${MAX_STEP_SECONDS}.`);
  }
  return {json, stepMs: seconds * 1000, concurrency: levels};
}

/** The benchmarks by name. */
const COMMANDS: Readonly<Record<string, () => Promise<void>>> = {
  entry: () => runEntryBenchmark(entryOptions()),
  capacity: () =>
    runCapacityBenchmark({
      json: cli.flags.json,
      parts: cli.flags.part.split(',').filter(part => part !== ''),
    }),
};

const [name = ''] = cli.input;
if (!Object.hasOwn(COMMANDS, name)) {
  console.error(
    `Unknown benchmark "${name}". Known: ${Object.keys(COMMANDS).join(', ')}.`,
  );
  process.exitCode = 2;
} else {
  try {
    await COMMANDS[name]();
  } catch (error) {
    console.error((error as Error).message);
    process.exitCode = 2;
  }
}
