import {Millis} from '../../common/base/clock.js';

/** Joins the items that are added within a short time into one frame. */
export class FrameBatch<T> {
  private items: T[] = [];

  /**
   * @param send called with all items of a frame.
   * @param delayMs time for which a frame is collected; 0 for one turn of the
   *     event loop.
   * @param isReady whether items can be sent; if not, they wait for `flush`.
   */
  constructor(
    private readonly send: (items: readonly T[]) => void,
    private readonly delayMs: Millis = 0,
    private readonly isReady: () => boolean = () => true,
  ) {}

  add(item: T): void {
    this.items.push(item);
    if (this.items.length > 1) return;
    if (this.delayMs > 0) setTimeout(() => this.flush(), this.delayMs);
    else setImmediate(() => this.flush());
  }

  /** Removes and returns the items that were not sent yet. */
  take(): readonly T[] {
    return this.items.splice(0);
  }

  /** Sends the waiting items. */
  flush(): void {
    if (this.items.length > 0 && this.isReady()) this.send(this.take());
  }
}
