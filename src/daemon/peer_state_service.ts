import {Millis, SECOND} from '../common/base/clock.js';
import {Disposable, DisposableStore} from '../common/base/disposable.js';
import {Emitter, Event} from '../common/base/emitter.js';
import {MemberId} from '../common/stream/types.js';
import {PeerState} from '../node/peer_messages.js';
import {Peer, PeerMesh} from '../node/peer_mesh.js';

declare module '../common/kernel/kernel.js' {
  interface Services {
    peerStates: PeerStateService;
  }
}

/** How often an instance tells its peers its state. */
const SEND_PERIOD_MS: Millis = SECOND / 2;

/** A peer with the last state it sent. */
export interface KnownPeer {
  readonly peer: Peer;
  readonly state: PeerState | undefined;
}

/** Exchanges states with peers and remembers the last of each. */
export class PeerStateService implements Disposable {
  private readonly store = new DisposableStore();
  private readonly states = new Map<MemberId, PeerState>();
  private readonly leaving = this.store.add(new Emitter<string>());
  private readonly timer: NodeJS.Timeout;

  /** Fires when a peer says that a target is leaving. */
  readonly onTargetLeaving: Event<string> = this.leaving.event;

  constructor(
    private readonly mesh: PeerMesh,
    private readonly own: () => PeerState,
  ) {
    this.store.add(
      mesh.onMessage(({peer, message}) => {
        if (message.kind !== 'state') return;
        this.states.set(peer.member, message);
        for (const target of message.leaving) this.leaving.fire(target);
      }),
    );
    this.store.add(mesh.onPeerUp(peer => this.sendTo(peer)));
    this.store.add(mesh.onPeerDown(({member}) => this.states.delete(member)));
    this.timer = setInterval(() => this.send(), SEND_PERIOD_MS);
  }

  /** Sends the state to all peers now. */
  send(): void {
    this.mesh.broadcast(this.own());
  }

  /** All peers with an open link. */
  get peers(): readonly KnownPeer[] {
    return this.mesh.peers.map(peer => ({
      peer,
      state: this.states.get(peer.member),
    }));
  }

  /** The peer that leads `dataCentre`; with several, the latest epoch. */
  leaderOf(dataCentre: string): MemberId | undefined {
    let best: {member: MemberId; epoch: number} | undefined;
    for (const {peer, state} of this.peers) {
      const epoch = state?.leads ?? null;
      if (peer.dataCentre !== dataCentre || epoch === null) continue;
      if (best === undefined || epoch > best.epoch) {
        best = {member: peer.member, epoch};
      }
    }
    return best?.member;
  }

  dispose(): void {
    clearInterval(this.timer);
    this.store.dispose();
  }

  private sendTo({member}: Peer): void {
    this.mesh.send(member, this.own());
  }
}
