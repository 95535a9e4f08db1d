import {MemberId} from '../stream/types.js';

/** The parts of a member id. */
export interface ParsedMemberId {
  readonly id: string;
  /** Start number of the process; NaN when the text has none. */
  readonly start: number;
}

/** Returns the member id `id#start`. */
export function formatMemberId(id: string, start: number): MemberId {
  return `${id}#${start}`;
}

/**
 * Splits a member id at its last `#`, since the instance id may contain `#`.
 */
export function parseMemberId(member: MemberId): ParsedMemberId {
  const separator = member.lastIndexOf('#');
  const start = separator < 0 ? NaN : Number(member.slice(separator + 1));
  return Number.isSafeInteger(start) && separator < member.length - 1
    ? {id: member.slice(0, separator), start}
    : {id: member, start: NaN};
}
