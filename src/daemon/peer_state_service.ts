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

/** Period at which an instance sends its state to its peers. */
const SEND_PERIOD_MS: Millis = SECOND / 2;

/** A state with its sender. */
export interface ReceivedState {
  readonly peer: Peer;
  readonly state: PeerState;
}

/** A peer with the last state that it sent; undefined before the first. */
export interface KnownPeer {
  readonly peer: Peer;
  readonly state: PeerState | undefined;
}

/** Sends the state of this instance to its peers and keeps their last ones. */
export class PeerStateService implements Disposable {
  private readonly store = new DisposableStore();
  private readonly lastStates = new Map<MemberId, PeerState>();
  private readonly leavingEmitter = this.store.add(new Emitter<string>());
  private readonly stateEmitter = this.store.add(new Emitter<ReceivedState>());
  private readonly timer: NodeJS.Timeout;

  /** Fires for each state received from a peer. */
  readonly onState: Event<ReceivedState> = this.stateEmitter.event;

  /** Fires with the id of each target that a peer reports as leaving. */
  readonly onTargetLeaving: Event<string> = this.leavingEmitter.event;

  constructor(
    private readonly mesh: PeerMesh,
    private readonly buildOwnState: () => PeerState,
  ) {
    this.store.add(
      mesh.onMessage(({peer, message}) => {
        if (message.kind !== 'state') return;
        this.lastStates.set(peer.member, message);
        this.stateEmitter.fire({peer, state: message});
        for (const target of message.leaving) this.leavingEmitter.fire(target);
      }),
    );
    this.store.add(mesh.onPeerUp(peer => this.sendTo(peer)));
    this.store.add(
      mesh.onPeerDown(({member}) => this.lastStates.delete(member)),
    );
    this.timer = setInterval(() => this.broadcast(), SEND_PERIOD_MS);
  }

  /** Sends the state to all peers without waiting for the period. */
  broadcast(): void {
    this.mesh.broadcast(this.buildOwnState());
  }

  /** All peers with an open link. */
  get peers(): readonly KnownPeer[] {
    return this.mesh.peers.map(peer => ({
      peer,
      state: this.lastStates.get(peer.member),
    }));
  }

  /** The peer that leads `dataCentre`; of several, the one of latest epoch. */
  findLeader(dataCentre: string): MemberId | undefined {
    let latest: {member: MemberId; epoch: number} | undefined;
    for (const {peer, state} of this.peers) {
      const epoch = state?.leads ?? null;
      if (peer.dataCentre !== dataCentre || epoch === null) continue;
      if (latest === undefined || epoch > latest.epoch) {
        latest = {member: peer.member, epoch};
      }
    }
    return latest?.member;
  }

  dispose(): void {
    clearInterval(this.timer);
    this.store.dispose();
  }

  private sendTo({member}: Peer): void {
    this.mesh.send(member, this.buildOwnState());
  }
}
