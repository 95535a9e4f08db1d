/** Runs asynchronous actions one after the other. */
export class SerialExecutor {
  private last: Promise<unknown> = Promise.resolve();

  /** Runs an action after all earlier ones have ended. */
  run<T>(action: () => Promise<T>): Promise<T> {
    const result = this.last.then(action);
    // A failure concerns only the caller of its action.
    this.last = result.catch(() => undefined);
    return result;
  }
}
