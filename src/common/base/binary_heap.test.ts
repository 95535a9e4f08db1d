import fc from 'fast-check';
import {BinaryHeap} from './binary_heap.js';

/** Counts comparisons. */
class CountingOrder {
  comparisons = 0;

  readonly precedes = (a: number, b: number): boolean => {
    this.comparisons++;
    return a < b;
  };
}

function* drain<T>(heap: BinaryHeap<T>): Generator<T> {
  for (let item = heap.pop(); item !== undefined; item = heap.pop()) yield item;
}

function ascending(a: number, b: number): number {
  return a - b;
}

describe('BinaryHeap', () => {
  it('returns its elements in order', () => {
    // Guards against elements that are lost or out of order after any mix of
    // additions and removals.
    const operation = fc.option(fc.integer({min: 0, max: 20}));
    fc.assert(
      fc.property(
        fc.array(fc.integer({min: 0, max: 20})),
        fc.array(operation),
        (initial, operations) => {
          const heap = new BinaryHeap((a, b) => a < b, initial);
          const expected = [...initial].sort(ascending);
          for (const item of operations) {
            expect(heap.peek()).toBe(expected[0]);
            if (item === null) {
              expect(heap.pop()).toBe(expected.shift());
            } else {
              heap.push(item);
              expected.push(item);
              expected.sort(ascending);
            }
          }
          expect([...drain(heap)]).toEqual(expected);
        },
      ),
    );
  });

  it('is created in linear time', () => {
    // Guards against a set-up that costs more than one pass over the elements.
    const order = new CountingOrder();
    const items = Array.from({length: 1000}, (_, index) => 1000 - index);
    new BinaryHeap(order.precedes, items);
    expect(order.comparisons).toBeLessThanOrEqual(2 * items.length);
  });

  it('adds and removes an element in logarithmic time', () => {
    // Guards against a pass over all elements for each change.
    const items = Array.from({length: 1000}, (_, index) => index);
    const order = new CountingOrder();
    const heap = new BinaryHeap(order.precedes, items);
    order.comparisons = 0;
    heap.push(-1);
    heap.pop();
    expect(order.comparisons).toBeLessThanOrEqual(3 * Math.log2(items.length));
  });
});
