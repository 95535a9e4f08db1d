import {Instance, InstanceRole} from '../common/base/platform.js';
import {MemberId} from '../common/stream/types.js';
import {instanceIdOf} from '../node/peer_mesh.js';

/** Start number of an instance none of whose processes has been seen. */
const UNKNOWN_START = 0;

/**
 * Tracks the start number of the latest known process of each entry instance.
 * The platform's list counts starts of instances. A daemon that is restarted on
 * the same instance is a new member, so the list can't tell members apart.
 */
export class ProcessStartNumbers {
  private readonly latestStarts = new Map<string, number>();

  /** Records a process; returns true if it is later than those recorded. */
  record(member: MemberId): boolean {
    const id = instanceIdOf(member);
    const start = Number(member.slice(id.length + 1));
    if (Number.isNaN(start) || start <= (this.latestStarts.get(id) ?? -1)) {
      return false;
    }
    this.latestStarts.set(id, start);
    return true;
  }

  /** Replaces the start numbers of entry instances with recorded ones. */
  applyTo(instances: readonly Instance[]): readonly Instance[] {
    return instances.map(instance =>
      instance.role === InstanceRole.ENTRY
        ? {
            ...instance,
            start: this.latestStarts.get(instance.id) ?? UNKNOWN_START,
          }
        : instance,
    );
  }
}
