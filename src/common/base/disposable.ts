/** An object that releases its resources when it is disposed. */
export interface Disposable {
  dispose(): void;
}

/** Owns disposables and disposes them in reverse order of registration. */
export class DisposableStore implements Disposable {
  private readonly children: Disposable[] = [];
  private disposed = false;

  /**
   * Takes ownership of `child` and returns it. Disposes `child` at once if the
   * store is already disposed.
   */
  add<T extends Disposable>(child: T): T {
    if (this.disposed) {
      child.dispose();
    } else {
      this.children.push(child);
    }
    return child;
  }

  dispose(): void {
    if (this.disposed) return;
    this.disposed = true;
    for (const child of this.children.reverse()) {
      child.dispose();
    }
    this.children.length = 0;
  }
}

/** Creates a disposable that calls `dispose`. */
export function disposableFrom(dispose: () => void): Disposable {
  return {dispose};
}
