import meow from 'meow';
import {ArgumentParser} from './types.js';

/** Splits arguments with meow. Throws for a flag that is given twice. */
export const parseArguments: ArgumentParser = (argv, kinds) => {
  const flags = Object.fromEntries(
    Object.entries(kinds).map(([name, type]) => [name, {type}]),
  );
  const parsed = meow({
    importMeta: import.meta,
    argv: [...argv],
    flags,
    // Help and version need to know the command; run.ts prints them.
    autoHelp: false,
    autoVersion: false,
    // A flag that is not given is absent rather than false.
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
