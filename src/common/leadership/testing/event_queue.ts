import {BinaryHeap} from '../../base/binary_heap.js';
import {Millis} from '../../base/clock.js';

interface ScheduledEvent {
  readonly time: Millis;
  /** Orders events of the same time by when they were scheduled. */
  readonly order: number;
  readonly run: () => void;
}

function precedes(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.time < b.time || (a.time === b.time && a.order < b.order);
}

/** Runs events in the order of their simulated times. */
export class EventQueue {
  /** Current simulated time. */
  time: Millis = 0;
  private nextOrder = 0;
  private readonly events = new BinaryHeap<ScheduledEvent>(precedes);

  /** Runs `run` after `delay` milliseconds of simulated time. */
  after(delay: Millis, run: () => void): void {
    this.events.push({time: this.time + delay, order: this.nextOrder++, run});
  }

  /** Runs all events up to `end` and calls `check` after each. */
  runUntil(end: Millis, check: () => void): void {
    for (;;) {
      const event = this.events.peek();
      if (event === undefined || event.time > end) break;
      this.events.pop();
      this.time = event.time;
      event.run();
      check();
    }
    this.time = end;
  }
}
