import {Millis, MINUTE} from '../base/clock.js';
import {Instance} from '../base/platform.js';
import {Epoch, MemberId, View, ViewRecord} from '../stream/types.js';

/**
 * Messages between entry instances of one data centre. The caller has to drop
 * messages from other data centres, because an epoch is an offset in the stream
 * of one data centre and may equal an epoch of another.
 */
export type LeadershipPeerMessage =
  /** The leader of the view of `epoch` asks the receiver for a grant. */
  | {readonly kind: 'grant-request'; epoch: Epoch; nonce: number}
  /** Answers the grant request with the same `nonce`. */
  | {readonly kind: 'grant'; epoch: Epoch; nonce: number}
  /** Asks the leader of the view of `epoch` to add the sender to it. */
  | {readonly kind: 'join'; epoch: Epoch}
  /**
   * Asks a member to give up its part in the view of `epoch`. Null asks
   * whether the receiver holds any view.
   */
  | {readonly kind: 'consent-request'; epoch: Epoch | null}
  /**
   * The sender takes no part in the view of `epoch` from now on. Null means
   * that it holds no view; several new instances may still append a first view,
   * and the first record in the log comes into force.
   */
  | {readonly kind: 'consent'; epoch: Epoch | null}
  /**
   * The sender holds this view; replaces a consent or a grant as the answer.
   */
  | {readonly kind: 'view-held'; view: View}
  /**
   * The leader of the view of `epoch` stops; the receiver may take over at
   * once.
   */
  | {readonly kind: 'resign'; epoch: Epoch};

/** Input of the leadership core. */
export type LeadershipMessage =
  | {readonly kind: 'tick'}
  /** A view record was read and came into force. */
  | {readonly kind: 'view-read'; view: View}
  /** A view record that this instance appended was read and is void. */
  | {readonly kind: 'view-void'; record: ViewRecord}
  /**
   * The reader has reached the end of the stream with the response to a read
   * request that was sent at `sentAt`.
   */
  | {readonly kind: 'caught-up'; readonly sentAt: Millis}
  /** Whether the log responds. */
  | {readonly kind: 'log'; available: boolean}
  | {
      readonly kind: 'peer';
      readonly from: MemberId;
      readonly message: LeadershipPeerMessage;
    }
  /**
   * A peer connection to `member`, of the same data centre, was opened, so
   * earlier processes of its instance id have ended.
   */
  | {readonly kind: 'peer-up'; readonly member: MemberId}
  | {readonly kind: 'peer-down'; readonly member: MemberId}
  /** A newer instance list was received for a request sent at `sentAt`. */
  | {
      readonly kind: 'instances';
      readonly instances: readonly Instance[];
      readonly sentAt: Millis;
    }
  /**
   * All instances that tickets currently declare gone. `id#start` stands for
   * that process and earlier ones of the id, `id` for every process of it.
   */
  | {readonly kind: 'declared-gone'; readonly ids: readonly string[]}
  /** Graceful shutdown: leave the view, or hand it over as its leader. */
  | {readonly kind: 'resign'};

/** Output of the leadership core. */
export type LeadershipAction =
  | {
      readonly kind: 'send';
      readonly to: MemberId;
      readonly message: LeadershipPeerMessage;
    }
  /** Append a view record; the stream writer adds its identity. */
  | {
      readonly kind: 'append-view';
      readonly base: Epoch | null;
      readonly leader: MemberId;
      readonly members: readonly MemberId[];
    }
  /**
   * This instance leads `view`; each action still requires `mayAct`.
   * `continued` means that it also led the previous view, so that no other
   * instance has led in between.
   */
  | {readonly kind: 'lead'; readonly view: View; readonly continued: boolean}
  /** Another instance leads `view`; undefined if the leader is unknown. */
  | {readonly kind: 'follow'; readonly view: View | undefined};

/** Durations of the leadership protocol, in milliseconds. */
export interface LeadershipTiming {
  /** How long a grant lasts at the member that gave it. */
  readonly leaseMs: Millis;
  /** Interval of the grant requests of a leader that holds the lease. */
  readonly renewMs: Millis;
  /**
   * Time without a grant request after which a member suspects the leader, and
   * time without a grant after which the leader removes a member.
   */
  readonly suspectMs: Millis;
  /** Fraction of a duration by which two clocks may measure it differently. */
  readonly driftFraction: number;
  /**
   * Interval at which a leader appends its view again, so that the records
   * that the log retains include a view. Has to be well below the retention
   * time of the log.
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
