import {Millis} from '../base/clock.js';
import {InstanceRecord, SchedulerRecord} from './job_records.js';

/** Fraction by which the clocks of two instances may differ in speed. */
const MAX_CLOCK_DIFFERENCE = 0.02;

/** A scheduler's term as an instance has read it from the log. */
export interface TermReading {
  /** Last record of the term. */
  readonly record: SchedulerRecord;
  /** Local time at which it was read. */
  readonly readAt: Millis;
}

/**
 * Local time by which no scheduler before a term may grant leases any more.
 * Authority lasts for a fixed time from before a heartbeat is sent, and so no
 * longer than that after the heartbeat was read.
 * @param now local time, after the predecessor was fenced in all topics.
 * @param predecessor term before it; undefined if it is unknown.
 * @param endedBy local time by which the predecessor's process had certainly
 *     ended; Infinity if that is not known.
 * @param authorityMs time for which a scheduler may grant leases after an append.
 */
export function earlierAuthorityEnd(
  now: Millis,
  predecessor: TermReading | undefined,
  endedBy: Millis,
  authorityMs: Millis,
): Millis {
  if (predecessor === undefined) return now + authorityMs;
  const {record, readAt} = predecessor;
  // One that resigned grants no more leases; those before it, which may have
  // been cut off and not know of it, may go on.
  if (record.resigned) return endAfter(readAt, record.earlierAuthorityMs ?? 0);
  // Other appends confirmed the authority in earlier versions.
  const ownEnd =
    record.authorityMs === undefined
      ? now + authorityMs
      : endAfter(readAt, record.authorityMs);
  const endBefore = endAfter(readAt, record.earlierAuthorityMs ?? authorityMs);
  return Math.min(ownEnd, Math.max(endedBy, endBefore));
}

/** Local time by which a time is over that another instance measures. */
function endAfter(from: Millis, duration: Millis): Millis {
  return from + duration * (1 + MAX_CLOCK_DIFFERENCE);
}

/** What tells processes apart. */
export interface ProcessIdentity {
  /** Name of the instance. */
  readonly instance: string;
  /** Distinguishes restarts of an instance. */
  readonly incarnation: string;
  /** `host:port` that no other process of its machine has. */
  readonly address?: string;
}

/**
 * Whether a process takes the place of another one, which has ended: it has the
 * same name and address. The same process counts as well: it knows that its own
 * term has ended.
 */
export function replacesProcess(
  own: ProcessIdentity,
  other: ProcessIdentity,
): boolean {
  if (own.instance !== other.instance) return false;
  if (own.incarnation === other.incarnation) return true;
  return own.address !== undefined && own.address === other.address;
}

/** Whether an instance has told that the process of a scheduler has ended. */
export function isToldAsEnded(
  {instance, incarnation}: SchedulerRecord,
  instances: ReadonlyMap<string, InstanceRecord>,
): boolean {
  const ended = instances.get(instance)?.endedIncarnations;
  return ended?.includes(incarnation) ?? false;
}
