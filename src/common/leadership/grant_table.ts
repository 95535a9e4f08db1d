import {Millis} from '../base/clock.js';
import {MemberId} from '../stream/types.js';

/**
 * The grants that a leader holds. At the leader a grant starts when its request
 * was sent, which is never later than the start of the grant at the member.
 */
export class GrantTable {
  /** Send time by nonce of each request whose grant would still be valid. */
  private readonly requestSentAt = new Map<number, Millis>();
  /** Send time of the newest request that each member has granted. */
  private readonly grantStart = new Map<MemberId, Millis>();
  /** When the last grant of each member arrived. */
  private readonly receivedAt = new Map<MemberId, Millis>();

  /**
   * @param leaseMs how long a grant is valid at the leader; the drift allowance
   *   is already subtracted.
   * @param random returns numbers from 0 (inclusive) to 1 (exclusive).
   */
  constructor(
    private readonly leaseMs: Millis,
    private readonly random: () => number,
  ) {}

  /** Records a round of requests sent now and returns its nonce. */
  startRound(now: Millis): number {
    for (const [nonce, sentAt] of this.requestSentAt) {
      if (sentAt + this.leaseMs <= now) this.requestSentAt.delete(nonce);
    }
    let nonce: number;
    do {
      nonce = Math.floor(this.random() * Number.MAX_SAFE_INTEGER);
      // Reusing a nonce would let the grant of an older request start now.
    } while (this.requestSentAt.has(nonce));
    this.requestSentAt.set(nonce, now);
    return nonce;
  }

  /**
   * Records a grant; ignores an unknown nonce and one of an expired request.
   */
  onGrant(member: MemberId, nonce: number, now: Millis): void {
    const sentAt = this.requestSentAt.get(nonce);
    if (sentAt === undefined) return;
    const previous = this.grantStart.get(member) ?? -Infinity;
    this.grantStart.set(member, Math.max(previous, sentAt));
    this.receivedAt.set(member, now);
  }

  /**
   * End of the member's grant on the local clock; -Infinity if there is none.
   */
  expiresAt(member: MemberId): Millis {
    return (this.grantStart.get(member) ?? -Infinity) + this.leaseMs;
  }

  /** When the last grant of the member arrived; -Infinity if none has. */
  lastReceivedAt(member: MemberId): Millis {
    return this.receivedAt.get(member) ?? -Infinity;
  }

  /** Removes the grants of members that are not in `members`. */
  retainOnly(members: ReadonlySet<MemberId>): void {
    for (const member of this.grantStart.keys()) {
      if (members.has(member)) continue;
      this.grantStart.delete(member);
      this.receivedAt.delete(member);
    }
  }

  /** Removes all grants and requests. */
  clear(): void {
    this.requestSentAt.clear();
    this.grantStart.clear();
    this.receivedAt.clear();
  }
}
