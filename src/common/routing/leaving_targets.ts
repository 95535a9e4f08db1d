import {Instance, InstanceState} from '../base/platform.js';

/**
 * Records which targets are leaving. Instance lists lag behind, so a target
 * stays marked until it appears with a higher start number.
 */
export class LeavingTargets {
  private readonly startNumbers = new Map<string, number>();

  /** Marks the target as leaving for start numbers up to `start`. */
  mark(target: string, start: number): void {
    this.startNumbers.set(
      target,
      Math.max(start, this.startNumbers.get(target) ?? start),
    );
  }

  /** Marks the target if the instance list shows it as leaving. */
  observe(instance: Instance): void {
    if (instance.state === InstanceState.LEAVING) {
      this.mark(instance.id, instance.start);
    }
  }

  has(instance: Instance): boolean {
    const start = this.startNumbers.get(instance.id);
    return start !== undefined && instance.start <= start;
  }
}
