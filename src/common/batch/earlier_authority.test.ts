import {Millis} from '../base/clock.js';
import {earlierAuthority} from './earlier_authority.js';
import {SchedulerRecord} from './job_records.js';

const AUTHORITY_MS: Millis = 5000;

const PREDECESSOR: SchedulerRecord = {
  epoch: 2,
  instance: 'e2',
  incarnation: 'x',
  resigned: false,
};

describe('earlierAuthority', () => {
  // Guards against a second run of a task whose worker still gets leases from a
  // scheduler that was cut off: its successor took over and resigned at once,
  // and the next one took the resignation for the end of all leases.
  it.each([
    ['is whole after an unknown predecessor', undefined, AUTHORITY_MS],
    ['is whole after one that was replaced', PREDECESSOR, AUTHORITY_MS],
    [
      'is what a resigned predecessor has left of those before it',
      {...PREDECESSOR, resigned: true, earlierAuthorityMs: 4200},
      4200,
    ],
    [
      'is over after one that resigned late',
      {...PREDECESSOR, resigned: true, earlierAuthorityMs: 0},
      0,
    ],
  ])('%s', (_name, predecessor, expected) => {
    expect(earlierAuthority(predecessor, AUTHORITY_MS)).toBe(expected);
  });
});
