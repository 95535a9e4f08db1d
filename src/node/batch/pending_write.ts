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
  /** Definitely not stored: the jobs of all clients take all memory. */
  NO_MEMORY: 'no-memory',
  /** Definitely not stored: the client has its share of the memory. */
  OVER_SHARE: 'over-share',
  /** May be stored now, later or never; the same record can be sent again. */
  UNKNOWN: 'unknown',
} as const;
export type IntakeResult = (typeof IntakeResult)[keyof typeof IntakeResult];

/** Results by which a record is not stored. */
const NOT_STORED: ReadonlySet<IntakeResult> = new Set([
  IntakeResult.REJECTED,
  IntakeResult.REFUSED,
  IntakeResult.NO_MEMORY,
  IntakeResult.OVER_SHARE,
]);

/** Whether a result means that the record is not stored and never will be. */
export function isNotStored(result: IntakeResult): boolean {
  return NOT_STORED.has(result);
}

/**
 * A record that a caller waits to be stored. The caller gets a result by the
 * deadline, even while an append is in flight. Another instance may store the
 * record at the same time; it is not rejected before its outcome there is known.
 */
export class PendingWrite {
  /** Whether an append in flight or of unknown outcome may store the record. */
  mayBeStored = false;
  /** Whether another instance has the record and has not answered. */
  private isElsewhere = false;
  /** Whether another instance may store the record, as its answer was lost. */
  private mayBeStoredElsewhere = false;
  private wasInDoubt = false;
  /** Result of this instance's appends while another one has the record. */
  private ownResult: IntakeResult | undefined;
  private isSettled = false;
  private readonly timer: NodeJS.Timeout;

  /**
   * @param deadline local time by which the result is passed to `onResult`.
   * @param onDoubt called at most once, when an append gets no response.
   */
  constructor(
    readonly record: KeyedRecord,
    private readonly deadline: Millis,
    private readonly clock: Clock,
    private readonly onResult: (result: IntakeResult) => void,
    private readonly onDoubt: (write: PendingWrite) => void = () => {},
  ) {
    const remainingMs = Math.max(0, deadline - clock.now());
    this.timer = setTimeout(() => this.onDeadline(), remainingMs);
  }

  get isPending(): boolean {
    return !this.isSettled && this.ownResult === undefined;
  }

  /**
   * Whether this instance should append the record again.
   * @param appendMs expected time of the append; without as much time left, the
   *     caller gets the result before it ends.
   */
  isRetryDue(appendMs: Millis): boolean {
    const remainingMs = this.deadline - this.clock.now();
    return this.isPending && !this.isElsewhere && remainingMs > appendMs;
  }

  /** Passes a result to the caller, unless it has one already. */
  settle(result: IntakeResult): void {
    if (this.isSettled) return;
    if (isNotStored(result)) {
      if (this.isElsewhere) {
        this.ownResult = result;
        return;
      }
      if (this.mayBeStoredElsewhere) result = IntakeResult.UNKNOWN;
    }
    this.isSettled = true;
    clearTimeout(this.timer);
    this.onResult(result);
  }

  /** Called when an append of the record got no response. */
  noteDoubt(): void {
    if (this.wasInDoubt || this.isSettled) return;
    this.wasInDoubt = true;
    this.onDoubt(this);
  }

  /** Waits for the result of another instance that gets the record as well. */
  async passOn(result: Promise<IntakeResult>): Promise<void> {
    this.isElsewhere = true;
    const elsewhere = await result;
    this.isElsewhere = false;
    if (elsewhere === IntakeResult.UNKNOWN) this.mayBeStoredElsewhere = true;
    if (elsewhere === IntakeResult.STORED) this.settle(elsewhere);
    else if (this.ownResult !== undefined) this.settle(this.ownResult);
  }

  private onDeadline(): void {
    const isUnknown =
      this.mayBeStored || this.isElsewhere || this.mayBeStoredElsewhere;
    this.isElsewhere = false;
    this.settle(isUnknown ? IntakeResult.UNKNOWN : IntakeResult.REJECTED);
  }
}
