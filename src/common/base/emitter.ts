import {Disposable, disposableFrom} from './disposable.js';

/** Subscribes a listener; disposing the result ends the subscription. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Publishes values to the listeners that subscribed through `event`. */
export class Emitter<T> implements Disposable {
  private readonly listeners = new Set<(value: T) => void>();

  readonly event: Event<T> = listener => {
    this.listeners.add(listener);
    return disposableFrom(() => this.listeners.delete(listener));
  };

  /** Calls every listener with `value`, in order of subscription. */
  fire(value: T): void {
    for (const listener of [...this.listeners]) {
      listener(value);
    }
  }

  dispose(): void {
    this.listeners.clear();
  }
}
