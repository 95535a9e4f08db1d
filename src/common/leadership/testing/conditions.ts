import {Millis} from '../../base/clock.js';
import {MemberId} from '../../stream/types.js';

/** Something that holds until a simulated time. */
class Window {
  private until: Millis = -1;

  open(until: Millis): void {
    this.until = Math.max(this.until, until);
  }

  isOpen(time: Millis): boolean {
    return time < this.until;
  }
}

/** The faults of a simulated platform and network at each time. */
export class Conditions {
  readonly logOutage = new Window();
  /** Appends may be lost, or stored while their answers are lost. */
  readonly lossyLog = new Window();
  /** Appends may arrive seconds after the writer has given up on them. */
  readonly slowLog = new Window();
  readonly listEmpty = new Window();
  readonly listOutage = new Window();
  readonly lossyNetwork = new Window();
  private readonly cuts = new Map<string, Window>();

  /** Window of a named cut, such as one direction between two members. */
  cut(name: string): Window {
    let window = this.cuts.get(name);
    if (!window) {
      window = new Window();
      this.cuts.set(name, window);
    }
    return window;
  }

  /** Name of the cut of messages from one member to another. */
  static path(from: MemberId, to: MemberId): string {
    return `${from}>${to}`;
  }

  /** Name of the cut of a member from the log. */
  static toLog(member: MemberId): string {
    return `${member}>log`;
  }

  /** Name of the cut of a member from the instance list. */
  static toList(member: MemberId): string {
    return `${member}>list`;
  }
}
