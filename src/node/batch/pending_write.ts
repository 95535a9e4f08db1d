import {Clock, Millis} from '../../common/base/clock.js';
import {KeyedRecord} from '../../common/batch/store.js';

/** Outcome of a write to the intake topic. */
export const IntakeResult = {
  /** Stored for certain. */
  STORED: 'stored',
  /** Definitely not stored. */
  REJECTED: 'rejected',
  /** Definitely not stored, and never accepted, as it is too large. */
  REFUSED: 'refused',
  /** May be stored now, later or never; the same record can be sent again. */
  UNKNOWN: 'unknown',
} as const;
export type IntakeResult = (typeof IntakeResult)[keyof typeof IntakeResult];

/**
 * A record that a caller waits to be stored. The caller gets a result by the
 * deadline, even while an append is in flight.
 */
export class PendingWrite {
  /** Whether an append in flight or of unknown outcome may store the record. */
  mayBeStored = false;
  private isSettled = false;
  private readonly timer: NodeJS.Timeout;

  /** @param deadline local time by which the result is passed to `onResult`. */
  constructor(
    readonly record: KeyedRecord,
    deadline: Millis,
    clock: Clock,
    private readonly onResult: (result: IntakeResult) => void,
  ) {
    const remainingMs = Math.max(0, deadline - clock.now());
    this.timer = setTimeout(() => this.onDeadline(), remainingMs);
  }

  get isPending(): boolean {
    return !this.isSettled;
  }

  /** Passes a result to the caller, unless it has one already. */
  settle(result: IntakeResult): void {
    if (this.isSettled) return;
    this.isSettled = true;
    clearTimeout(this.timer);
    this.onResult(result);
  }

  private onDeadline(): void {
    const {UNKNOWN, REJECTED} = IntakeResult;
    this.settle(this.mayBeStored ? UNKNOWN : REJECTED);
  }
}
