/** Exit codes of `jasminegaugectl`. Scripts rely on the numbers. */
export const ExitCode = {
  SUCCESS: 0,
  /** The daemon refused the request; nothing was changed. */
  REFUSED: 1,
  /** The arguments or the input file are invalid. */
  BAD_INPUT: 2,
  /** No daemon responds at the address, or the response to a read was lost. */
  NO_DAEMON: 3,
  /** The change may or may not have been made. */
  UNKNOWN_OUTCOME: 4,
  /** The ticket was accepted, but some entry instance does not report it yet. */
  NOT_FULLY_IN_FORCE: 5,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
