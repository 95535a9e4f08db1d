import {Election, SCHEDULER_SILENCE} from './election.js';
import {SchedulerRecord} from './job_records.js';

const OTHER: SchedulerRecord = {
  epoch: 1,
  instance: 'b',
  incarnation: 'b1',
  resigned: false,
};

describe('Election', () => {
  let election: Election;

  beforeEach(() => {
    election = new Election('a1', 100, 0);
    election.onReadable(0);
  });

  it('claims a vacant office after its delay', () => {
    expect(election.dueIn(0)).toBe(100);
    expect(election.dueIn(100)).toBe(0);
  });

  it('leaves a scheduler alone that shows signs of life', () => {
    for (let now = 0; now < 10_000; now += 400) {
      election.onSign(OTHER, now);
      expect(election.dueIn(now + 399)).toBeGreaterThan(0);
    }
  });

  it('claims the office after the silence of the scheduler', () => {
    election.onSign(OTHER, 1000);
    expect(election.dueIn(1000 + SCHEDULER_SILENCE + 100)).toBe(0);
  });

  it('does not count an outage of the log as silence', () => {
    election.onSign(OTHER, 1000);
    election.onUnreadable();
    expect(election.dueIn(60_000)).toBeUndefined();
    election.onReadable(60_000);
    expect(election.dueIn(60_000)).toBe(SCHEDULER_SILENCE + 100);
  });

  it('claims at once after a resignation', () => {
    election.onSign({...OTHER, resigned: true}, 1000);
    expect(election.dueIn(1000)).toBe(100);
  });

  it('claims at once after its own claim got no answer', () => {
    election.onSign({...OTHER, incarnation: 'a1'}, 1000);
    expect(election.dueIn(1000)).toBe(100);
  });
});
