import {Millis, MINUTE} from '../base/clock.js';
import {Instance} from '../base/platform.js';
import {Epoch, MemberId, View, ViewRecord} from '../stream/types.js';

/** Messages between entry instances of one data centre. */
export type LeadershipPeerMessage =
  | {readonly kind: 'grant-request'; epoch: Epoch; nonce: number}
  | {readonly kind: 'grant'; epoch: Epoch; nonce: number}
  /** Asks the leader of the view of `epoch` to add the sender to it. */
  | {readonly kind: 'join'; epoch: Epoch}
  /** Asks a member to give up the view of `epoch`; null asks about any view. */
  | {readonly kind: 'consent-request'; epoch: Epoch | null}
  /** The sender holds no part in the view of `epoch` from now on. */
  | {readonly kind: 'consent'; epoch: Epoch | null}
  /** The sender holds this view; answers a consent request in its place. */
  | {readonly kind: 'view-held'; view: View}
  /** The leader gives up; the receiver may take over at once. */
  | {readonly kind: 'resign'; epoch: Epoch};

/** Input of the leadership core. */
export type LeadershipMessage =
  | {readonly kind: 'tick'}
  /** A view record was read and won its base. */
  | {readonly kind: 'view-read'; view: View}
  /** A view record of this writer was read and is void. */
  | {readonly kind: 'view-void'; record: ViewRecord}
  /**
   * The reader has reached the end of the stream with the answer to a request
   * that was sent at `sentAt`.
   */
  | {readonly kind: 'caught-up'; readonly sentAt: Millis}
  /** Whether the log answers. */
  | {readonly kind: 'log'; available: boolean}
  | {
      readonly kind: 'peer';
      readonly from: MemberId;
      readonly message: LeadershipPeerMessage;
    }
  /** A peer link to `member` was opened: earlier starts of its id have ended. */
  | {readonly kind: 'peer-up'; readonly member: MemberId}
  | {readonly kind: 'peer-down'; readonly member: MemberId}
  /** A newer instance list was read, with a request sent at `sentAt`. */
  | {
      readonly kind: 'instances';
      readonly instances: readonly Instance[];
      readonly sentAt: Millis;
    }
  /**
   * All instances that the tickets declare gone at present. `id#start` means
   * that process and earlier ones of the id, `id` means every process of it.
   */
  | {readonly kind: 'declared-gone'; readonly ids: readonly string[]}
  /** Graceful shutdown: hand over. */
  | {readonly kind: 'resign'};

/** Output of the leadership core. */
export type LeadershipAction =
  | {
      readonly kind: 'send';
      readonly to: MemberId;
      readonly message: LeadershipPeerMessage;
    }
  /** Append a view record; its identity is added by the stream writer. */
  | {
      readonly kind: 'append-view';
      readonly base: Epoch | null;
      readonly leader: MemberId;
      readonly members: readonly MemberId[];
    }
  /**
   * This instance leads `view`; `mayAct` still guards each action. `continued`
   * when it led the view before as well: nobody else has led in between.
   */
  | {readonly kind: 'lead'; readonly view: View; readonly continued: boolean}
  /** Another instance leads `view`, or none that is known when undefined. */
  | {readonly kind: 'follow'; readonly view: View | undefined};

/** Durations of the leadership protocol, in milliseconds. */
export interface LeadershipTiming {
  /** How long a grant lasts. */
  readonly leaseMs: Millis;
  /** How often a leader asks for grants. */
  readonly renewMs: Millis;
  /** Silence of the leader after which a member stops granting. */
  readonly suspectMs: Millis;
  /** Fraction of a duration by which two clocks may differ. */
  readonly driftFraction: number;
  /**
   * How often a leader appends its view again, so that a view is among the
   * kept records. Has to be well below the retention time of the log.
   */
  readonly viewCheckpointMs: Millis;
}

export const DEFAULT_LEADERSHIP_TIMING: LeadershipTiming = {
  leaseMs: 3000,
  renewMs: 500,
  suspectMs: 1500,
  driftFraction: 0.02,
  viewCheckpointMs: 10 * MINUTE,
};
