/** A binary heap, whose top is the first of its elements in a given order. */
export class BinaryHeap<T> {
  private readonly items: T[];

  /** Creates a heap of `items` in linear time. */
  constructor(
    /** Whether `a` comes before `b`. */
    private readonly precedes: (a: T, b: T) => boolean,
    items: Iterable<T> = [],
  ) {
    this.items = [...items];
    for (let index = (this.items.length >> 1) - 1; index >= 0; index--) {
      this.siftDown(index);
    }
  }

  /** Returns the first element, which stays in the heap. */
  peek(): T | undefined {
    return this.items[0];
  }

  /** Adds an element. */
  push(item: T): void {
    const {items} = this;
    let index = items.length;
    items.push(item);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.precedes(item, items[parent])) break;
      items[index] = items[parent];
      index = parent;
    }
    items[index] = item;
  }

  /** Removes and returns the first element. */
  pop(): T | undefined {
    const {items} = this;
    const top = items[0];
    const last = items.pop();
    if (last !== undefined && items.length > 0) {
      items[0] = last;
      this.siftDown(0);
    }
    return top;
  }

  /** Moves an element down until none of its children precedes it. */
  private siftDown(start: number): void {
    const {items} = this;
    const item = items[start];
    let index = start;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= items.length) break;
      const right = child + 1;
      if (right < items.length && this.precedes(items[right], items[child])) {
        child = right;
      }
      if (!this.precedes(items[child], item)) break;
      items[index] = items[child];
      index = child;
    }
    items[index] = item;
  }
}
