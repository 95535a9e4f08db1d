/** Joins the items that are added in one turn of the event loop. */
export class FrameBatch<T> {
  private items: T[] = [];

  /**
   * @param send called with all items of a turn.
   * @param isReady whether items can be sent; if not, they wait for `flush`.
   */
  constructor(
    private readonly send: (items: readonly T[]) => void,
    private readonly isReady: () => boolean = () => true,
  ) {}

  add(item: T): void {
    this.items.push(item);
    if (this.items.length === 1) setImmediate(() => this.flush());
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
