import {Millis} from '../base/clock.js';
import {
  earlierAuthorityEnd,
  isToldAsEnded,
  replacesProcess,
  TermReading,
} from './earlier_authority.js';
import {SchedulerRecord} from './job_records.js';

const AUTHORITY_MS: Millis = 5000;

/** Local time of the takeover. */
const NOW: Millis = 100_000;

const RECORD: SchedulerRecord = {
  epoch: 2,
  instance: 'e2',
  incarnation: 'x',
  address: '10.0.0.2:7720',
  resigned: false,
  authorityMs: AUTHORITY_MS,
  earlierAuthorityMs: 0,
};

/** A term that began long ago and whose last record was read 1.5 s ago. */
const SILENT: TermReading = {record: RECORD, readAt: NOW - 1500};

function resigned(earlierAuthorityMs: Millis): TermReading {
  return {...SILENT, record: {...RECORD, resigned: true, earlierAuthorityMs}};
}

describe('earlierAuthorityEnd', () => {
  // Guards against a second run of a task whose worker still gets leases from a
  // scheduler that was cut off: its successor took over and resigned at once,
  // and the next one took the resignation for the end of all leases. And
  // against a task that waits for the end of leases that nobody grants (LOST).
  it.each([
    ['is whole after an unknown predecessor', undefined, Infinity, 5000],
    [
      'is whole after one of an earlier version',
      {...SILENT, record: {...RECORD, authorityMs: undefined}},
      Infinity,
      5000,
    ],
    ['counts from the last heartbeat that was read', SILENT, Infinity, 3600],
    [
      'lasts as long as the predecessor says',
      {...SILENT, record: {...RECORD, authorityMs: 8000}},
      Infinity,
      6660,
    ],
    ['ends with the process of the predecessor', SILENT, NOW, 0],
    [
      'does not end with a process that began shortly after another one',
      {...SILENT, record: {...RECORD, earlierAuthorityMs: 3000}},
      NOW,
      1560,
    ],
    [
      'does not end with a process whose term had not begun',
      {...SILENT, record: {...RECORD, earlierAuthorityMs: undefined}},
      NOW,
      3600,
    ],
    [
      'is what a resigned predecessor has left of those before it',
      resigned(4200),
      Infinity,
      2784,
    ],
    ['is over after one that resigned late', resigned(0), Infinity, -1500],
  ])('%s', (_name, predecessor, endedBy, expected) => {
    const end = earlierAuthorityEnd(NOW, predecessor, endedBy, AUTHORITY_MS);
    expect(end - NOW).toBe(expected);
  });
});

describe('replacesProcess', () => {
  const other = {instance: 'e2', incarnation: 'x', address: '10.0.0.2:7720'};

  // Guards against a scheduler that is cut off or frozen and taken for gone.
  it.each([
    ['a later process of the instance', {incarnation: 'y'}, true],
    ['the process itself', {address: undefined}, true],
    ['another instance', {instance: 'e3', incarnation: 'y'}, false],
    [
      'an instance of the same name on another machine',
      {incarnation: 'y', address: '10.0.0.9:7720'},
      false,
    ],
    [
      'an instance without an address',
      {incarnation: 'y', address: undefined},
      false,
    ],
  ])('tells %s apart', (_name, change, expected) => {
    expect(replacesProcess({...other, ...change}, other)).toBe(expected);
  });

  it('does not rest on two addresses that are missing', () => {
    // Guards against instances without relays that seem to share a machine.
    const unknown = {...other, address: undefined};
    expect(replacesProcess({...unknown, incarnation: 'y'}, unknown)).toBe(
      false,
    );
  });
});

describe('isToldAsEnded', () => {
  it('needs the name of the process that has ended', () => {
    // Guards against a late record of an earlier process, which says nothing of
    // the scheduler that followed it under the same name.
    const told = (endedIncarnations?: string[]): boolean =>
      isToldAsEnded(
        RECORD,
        new Map([['e2', {processors: 1, endedIncarnations}]]),
      );
    expect([told(['x']), told(['w']), told()]).toEqual([true, false, false]);
    expect(isToldAsEnded(RECORD, new Map())).toBe(false);
  });
});
