import {SECOND} from '../base/clock.js';
import {OpenStarts} from './open_starts.js';
import {Run} from './worker_state.js';

describe('OpenStarts', () => {
  const first = {attempt: 1} as Run;
  const second = {attempt: 2} as Run;

  it('counts a request until its response', () => {
    const starts = new OpenStarts();
    starts.onSent(first, 0);
    starts.onSent(second, 0);
    starts.onAnswered(first);
    expect(starts.mayBeExecuted(SECOND)).toBe(true);
    starts.onAnswered(second);
    expect(starts.mayBeExecuted(SECOND)).toBe(false);
  });

  it('counts a request without a response for the longest delay of a call', () => {
    // Guards against an acknowledgement while a later incarnation may execute
    // the request (TWICE), and against one that is withheld for good.
    const starts = new OpenStarts();
    starts.onSent(first, 0);
    starts.onUnanswered(first, SECOND);
    starts.onSent(first, SECOND);
    starts.onAnswered(first);
    expect(starts.mayBeExecuted(13 * SECOND - 1)).toBe(true);
    expect(starts.mayBeExecuted(13 * SECOND)).toBe(false);
  });

  it('counts a request no longer whose outcome was never told', () => {
    // Guards against acknowledgements that are withheld for good after an
    // unexpected error in the call.
    const starts = new OpenStarts();
    starts.onSent(first, SECOND);
    expect(starts.mayBeExecuted(13 * SECOND)).toBe(false);
  });
});
