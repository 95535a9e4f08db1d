import {Millis} from '../common/base/clock.js';
import {Disposable} from '../common/base/disposable.js';
import {refuse, RefusalKind, refuseUnknown} from '../common/base/refusal.js';
import {MemberId} from '../common/stream/types.js';
import {PeerAnswer, PeerRequest} from './peer_messages.js';
import {Peer, PeerMesh} from './peer_mesh.js';

/** Executes a request of a peer. */
export type PeerRequestHandler = (request: PeerRequest) => Promise<PeerAnswer>;

interface PendingRequest {
  readonly member: MemberId;
  readonly resolve: (answer: PeerAnswer) => void;
  readonly timer: NodeJS.Timeout;
}

const NOT_SENT: PeerAnswer = {
  ok: false,
  refusal: refuse(
    RefusalKind.PEER_UNAVAILABLE,
    'The instance that has to serve this could not be reached.',
    'Try again.',
    1000,
  ),
};

const UNKNOWN_OUTCOME: PeerAnswer = {
  ok: false,
  refusal: refuseUnknown(
    RefusalKind.UNKNOWN_OUTCOME,
    'The instance that has to serve this did not answer.',
    'Ask again with the same key; it will not run twice.',
  ),
};

/** Sends requests over peer links and answers those of peers. */
export class PeerRequests implements Disposable {
  private readonly pending = new Map<number, PendingRequest>();
  private lastId = 0;

  constructor(
    private readonly mesh: PeerMesh,
    private readonly handler: PeerRequestHandler,
  ) {
    mesh.onMessage(({peer, message}) => {
      if (message.kind === 'request') {
        void this.answerRequest(peer, message.id, message.body);
      } else if (message.kind === 'answer') {
        this.settle(message.id, peer.member, message.body);
      }
    });
    mesh.onPeerDown(peer => this.failPending(peer.member));
  }

  /**
   * Sends a request to a member and waits for the answer. The outcome is
   * unknown if none arrives within `timeoutMs` or the link closes; a request
   * that could not be sent was not executed.
   */
  send(
    member: MemberId,
    body: PeerRequest,
    timeoutMs: Millis,
  ): Promise<PeerAnswer> {
    const id = ++this.lastId;
    return new Promise(resolve => {
      if (!this.mesh.send(member, {kind: 'request', id, body})) {
        resolve(NOT_SENT);
        return;
      }
      const timer = setTimeout(
        () => this.settle(id, member, UNKNOWN_OUTCOME),
        timeoutMs,
      );
      this.pending.set(id, {member, resolve, timer});
    });
  }

  dispose(): void {
    for (const [id, {member}] of [...this.pending]) {
      this.settle(id, member, UNKNOWN_OUTCOME);
    }
  }

  private async answerRequest(
    peer: Peer,
    id: number,
    request: PeerRequest,
  ): Promise<void> {
    const body = await this.handler(request);
    this.mesh.send(peer.member, {kind: 'answer', id, body});
  }

  /** Resolves a request; ignores an answer from another member. */
  private settle(id: number, member: MemberId, answer: PeerAnswer): void {
    const request = this.pending.get(id);
    if (request === undefined || request.member !== member) return;
    this.pending.delete(id);
    clearTimeout(request.timer);
    request.resolve(answer);
  }

  private failPending(member: MemberId): void {
    for (const [id, request] of [...this.pending]) {
      if (request.member === member) this.settle(id, member, UNKNOWN_OUTCOME);
    }
  }
}
