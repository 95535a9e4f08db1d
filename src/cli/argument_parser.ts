import meow from 'meow';
import {ArgumentParser} from './types.js';

/** Parses arguments with meow. Throws if a flag is given twice. */
export const parseArguments: ArgumentParser = (argv, flagTypes) => {
  const flags = Object.fromEntries(
    Object.entries(flagTypes).map(([name, type]) => [name, {type}]),
  );
  const parsed = meow({
    importMeta: import.meta,
    argv: [...argv],
    flags,
    // The help text depends on the command; run.ts prints help and version.
    autoHelp: false,
    autoVersion: false,
    // Without this, meow sets boolean flags that are not given to false.
    booleanDefault: undefined,
  });
  return {
    input: parsed.input.map(String),
    flags: Object.fromEntries(
      Object.entries(parsed.flags).filter(([, value]) => value !== undefined),
    ),
    version: parsed.pkg.version ?? 'unknown',
  };
};
