#!/usr/bin/env node
import {readFileSync} from 'node:fs';
import {createConsola} from 'consola';
import {Either} from 'purify-ts';
import {parseArguments} from './argument_parser.js';
import {run} from './run.js';
import {MessageLevel} from './types.js';

// Messages go to standard error so that standard output can be piped or parsed.
const stderrLogger = createConsola({
  stdout: process.stderr,
  stderr: process.stderr,
});

process.exitCode = await run(process.argv.slice(2), {
  env: process.env,
  parse: parseArguments,
  output: {
    print: text => process.stdout.write(`${text}\n`),
    log: (level: MessageLevel, text) => stderrLogger[level](text),
  },
  context: {
    clock: {now: () => performance.now()},
    sleep: duration => new Promise(resolve => setTimeout(resolve, duration)),
    readFile: path =>
      Either.encase(() => readFileSync(path, 'utf8')).mapLeft(
        error =>
          `The file ${path} cannot be read: ${error.message}. ` +
          'Name a readable file.',
      ),
  },
});
