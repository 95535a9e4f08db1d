#!/usr/bin/env node
import meow from 'meow';
import {createLogger} from '../node/logger.js';
import {Daemon} from './daemon.js';
import {loadSettings} from './settings.js';

const ExitCode = {DONE: 0, FAILED: 1, BAD_SETTINGS: 2} as const;

const cli = meow(
  `
  Runs one entry instance of jasminegauge.

  Usage
    $ jasminegauge --settings FILE

  Options
    --settings  Settings in YAML; see docs/SETTINGS.md
    --version   Print the version
    --help      Print this text

  Exit codes
    0  stopped as asked (SIGTERM or SIGINT)
    1  could not start, for example because a port is in use
    2  the settings are faulty
`,
  {importMeta: import.meta, flags: {settings: {type: 'string'}}},
);

async function run(file: string): Promise<void> {
  const loaded = loadSettings(file, process.env);
  if (loaded.isLeft()) {
    process.stderr.write(`${loaded.extract().message}\n`);
    process.exit(ExitCode.BAD_SETTINGS);
  }
  const settings = loaded.unsafeCoerce();
  const logger = createLogger(settings.log.level);
  const daemon = new Daemon(settings, logger);
  const stop = () => void daemon.stop().then(() => process.exit(ExitCode.DONE));
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  try {
    await daemon.start();
  } catch (error) {
    logger.withTag('daemon').error('The daemon could not start.', {
      reason: (error as Error).message,
      remedy: 'Free the port or name another in the settings.',
    });
    process.exit(ExitCode.FAILED);
  }
}

if (cli.flags.settings === undefined) {
  process.stderr.write('Name a settings file with --settings FILE.\n');
  process.exit(ExitCode.BAD_SETTINGS);
}
await run(cli.flags.settings);
