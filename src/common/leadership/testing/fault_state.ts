import {Millis} from '../../base/clock.js';
import {MemberId} from '../../stream/types.js';

/** A fault that is active until a simulated time. */
class FaultWindow {
  private until: Millis = -1;

  /** Keeps the fault active at least until the given time. */
  open(until: Millis): void {
    this.until = Math.max(this.until, until);
  }

  isOpen(time: Millis): boolean {
    return time < this.until;
  }
}

/** The active faults of the simulated platform and network. */
export class FaultState {
  /** The log answers neither appends nor reads. */
  readonly logOutage = new FaultWindow();
  /** Appends may be lost, or stored without a response to the writer. */
  readonly lossyLog = new FaultWindow();
  /** Appends may be stored seconds after the writer has timed out. */
  readonly slowLog = new FaultWindow();
  /** The platform returns an empty instance list. */
  readonly listEmpty = new FaultWindow();
  /** Requests for the instance list fail. */
  readonly listOutage = new FaultWindow();
  /** Peer messages may be lost. */
  readonly lossyNetwork = new FaultWindow();
  private readonly cuts = new Map<string, FaultWindow>();

  /**
   * The fault that cuts a link; `name` is a result of one of the methods below.
   */
  cut(name: string): FaultWindow {
    let window = this.cuts.get(name);
    if (!window) {
      window = new FaultWindow();
      this.cuts.set(name, window);
    }
    return window;
  }

  /** Name of the link for messages from one member to another. */
  static link(from: MemberId, to: MemberId): string {
    return `${from}>${to}`;
  }

  /** Name of the link from a member to the log. */
  static logLink(member: MemberId): string {
    return `${member}>log`;
  }

  /** Name of the link from a member to the instance list. */
  static listLink(member: MemberId): string {
    return `${member}>list`;
  }
}
