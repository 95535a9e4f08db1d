import {Instance, InstanceRole} from '../common/base/platform.js';
import {MemberId} from '../common/stream/types.js';
import {instanceOf} from '../node/peer_mesh.js';

/** Start number of an instance whose process has not been heard of. */
const UNKNOWN_START = 0;

/**
 * Knows the latest process of each entry instance. The platform's list counts
 * starts of instances; a daemon that is started again on the same instance is
 * a new member, so the list alone can't tell members apart.
 */
export class ProcessStarts {
  private readonly starts = new Map<string, number>();

  /** Notes a process; returns whether it is a later one of its instance. */
  note(member: MemberId): boolean {
    const id = instanceOf(member);
    const start = Number(member.slice(id.length + 1));
    if (Number.isNaN(start) || start <= (this.starts.get(id) ?? -1)) {
      return false;
    }
    this.starts.set(id, start);
    return true;
  }

  /** Puts the start numbers of processes into a list of instances. */
  apply(instances: readonly Instance[]): readonly Instance[] {
    return instances.map(instance =>
      instance.role === InstanceRole.ENTRY
        ? {...instance, start: this.starts.get(instance.id) ?? UNKNOWN_START}
        : instance,
    );
  }
}
