import {fitLine, median} from './capacity_measure.js';

describe('the line through measured points', () => {
  it('finds slope and intercept of points on a line', () => {
    // Guards against swapped axes, which would invert every slope of the page.
    const points = [1, 2, 4, 8].map(size => ({size, values: [3 * size + 5]}));
    const {slope, intercept, r2} = fitLine(points);
    expect(slope).toBeCloseTo(3);
    expect(intercept).toBeCloseTo(5);
    expect(r2).toBeCloseTo(1);
  });

  it('is the least-squares line of points off a line', () => {
    // Worked out by hand: mean (1.5, 1.5), Sxx 5, Sxy 4, Syy 5.
    const values = [0, 2, 1, 3];
    const points = values.map((value, size) => ({size, values: [value]}));
    const {slope, intercept, r2} = fitLine(points);
    expect(slope).toBeCloseTo(0.8);
    expect(intercept).toBeCloseTo(0.3);
    expect(r2).toBeCloseTo(0.64);
  });

  it('uses the median, so that one disturbed run does not count', () => {
    // Guards against a mean, which one busy moment of the machine would move.
    expect(median([7, 1000, 6])).toBe(7);
    expect(median([4, 1, 2, 3])).toBe(2.5);
  });
});
