import {Millis} from '../base/clock.js';
import {SchedulerRecord} from './job_records.js';

/**
 * Time for which earlier schedulers may still grant leases when a new one takes
 * over. One that resigned grants none; those before it, which may have been cut
 * off and not know of it, may go on.
 * @param predecessor last record of the scheduler before; undefined if unknown.
 * @param authorityMs time for which a scheduler may grant leases after an append.
 */
export function earlierAuthority(
  predecessor: SchedulerRecord | undefined,
  authorityMs: Millis,
): Millis {
  if (predecessor?.resigned !== true) return authorityMs;
  return predecessor.earlierAuthorityMs ?? 0;
}
