import {LogLimits} from './log_limits.js';

/** Limits of the logs in tests. */
export const LOG_LIMITS: LogLimits = {
  recordBytes: 262_143,
  keyBytes: 255,
  appendBytes: 2_097_152,
  overheadBytes: 5,
};
