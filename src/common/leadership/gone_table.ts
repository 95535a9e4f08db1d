import {Millis, MINUTE} from '../base/clock.js';
import {Instance, InstanceRole} from '../base/platform.js';
import {MemberId} from '../stream/types.js';
import {memberId, memberParts} from './member.js';

/** Newer lists from which an instance has to be absent to count as gone. */
const ABSENT_LISTS = 3;

/**
 * Time without being listed after which a member that no list has shown counts
 * as gone. Far longer than the lag of the list, which is a few seconds.
 */
const UNLISTED_MS = MINUTE;

/** Processes that are remembered; several days of replacements. */
const MAX_PROCESSES = 4096;

/** Lists in a row that did not show a process. */
interface Absence {
  lists: number;
  readonly since: Millis;
  /** Whether a list has shown it before. */
  readonly wasListed: boolean;
}

/**
 * Knows which processes have ended: by the platform's instance list, by a
 * ticket, or by a later start number of the same id (two processes of one id
 * would share a port).
 */
export class GoneTable {
  /** Processes by member id; undefined when the newest list shows it. */
  private readonly absences = new Map<MemberId, Absence | undefined>();
  private readonly latestStart = new Map<string, number>();
  private declared = new Set<string>();
  private entryInstances: readonly MemberId[] | undefined;

  /**
   * @param absentMs least time between the first list without an instance and
   *   the list that makes it gone. It has to be at least the lease: a leader
   *   that is paused and then dropped has lost its lease by that time.
   */
  constructor(
    private readonly self: MemberId,
    private readonly dataCentre: string,
    private readonly absentMs: Millis,
  ) {}

  /**
   * Entry instances of the data centre in the newest list that contains this
   * instance; undefined before the first such list.
   */
  get listed(): readonly MemberId[] | undefined {
    return this.entryInstances;
  }

  /** Notes a list. An empty one, or one without this instance, tells little. */
  readList(instances: readonly Instance[], now: Millis): void {
    if (instances.length === 0) return;
    const shown = this.shownEntries(instances);
    this.noteMembers([this.self], now);
    this.noteAbsent(this.self, shown, now);
    if (!shown.has(this.self)) return;
    this.entryInstances = [...shown];
    for (const member of this.absences.keys()) {
      if (member !== this.self) this.noteAbsent(member, shown, now);
    }
    for (const member of shown) this.absences.set(member, undefined);
    this.forgetOldest();
  }

  /** Notes the members of a view; they may be missing in the list so far. */
  noteMembers(members: readonly MemberId[], now: Millis): void {
    for (const member of members) {
      this.noteStart(member);
      if (!this.absences.has(member)) {
        this.absences.set(member, {lists: 0, since: now, wasListed: false});
      }
    }
  }

  /** Notes that a process exists or existed: earlier starts have ended. */
  noteStart(member: MemberId): void {
    const {id, start} = memberParts(member);
    if (Number.isNaN(start)) return;
    const latest = this.latestStart.get(id);
    if (latest === undefined || start > latest) {
      this.latestStart.set(id, start);
    }
  }

  /** Replaces the set of instances that tickets declare gone. */
  declare(ids: readonly string[]): void {
    this.declared = new Set(ids);
  }

  /** Whether the process has provably ended or is declared gone. */
  isGone(member: MemberId, now: Millis): boolean {
    if (this.isReplaced(member) || this.isDeclared(member)) return true;
    const absence = this.absences.get(member);
    return (
      absence !== undefined &&
      absence.lists >= ABSENT_LISTS &&
      now - absence.since >= (absence.wasListed ? this.absentMs : UNLISTED_MS)
    );
  }

  /**
   * Whether this instance itself is treated as gone by others, now or soon.
   * One list without it, or half the time of an unlisted member, is enough, so
   * that it stops before others act on it.
   */
  isSelfDropped(now: Millis): boolean {
    if (this.isReplaced(this.self) || this.isDeclared(this.self)) return true;
    const absence = this.absences.get(this.self);
    if (!absence || absence.lists === 0) return false;
    return absence.wasListed || now - absence.since >= UNLISTED_MS / 2;
  }

  private shownEntries(instances: readonly Instance[]): Set<MemberId> {
    const shown = new Set<MemberId>();
    for (const instance of instances) {
      if (instance.role !== InstanceRole.ENTRY) continue;
      const member = memberId(instance.id, instance.start);
      this.noteStart(member);
      if (instance.dataCentre === this.dataCentre) shown.add(member);
    }
    return shown;
  }

  private noteAbsent(
    member: MemberId,
    shown: ReadonlySet<MemberId>,
    now: Millis,
  ): void {
    if (shown.has(member) || !this.absences.has(member)) return;
    const absence = this.absences.get(member);
    if (absence) {
      absence.lists++;
    } else {
      this.absences.set(member, {lists: 1, since: now, wasListed: true});
    }
  }

  private forgetOldest(): void {
    for (const [member, absence] of this.absences) {
      if (this.absences.size <= MAX_PROCESSES) return;
      if (absence) this.absences.delete(member);
    }
  }

  private isReplaced(member: MemberId): boolean {
    const {id, start} = memberParts(member);
    return (this.latestStart.get(id) ?? start) > start;
  }

  private isDeclared(member: MemberId): boolean {
    const {id, start} = memberParts(member);
    if (this.declared.has(id)) return true;
    for (const name of this.declared) {
      const declared = memberParts(name);
      if (declared.id === id && declared.start >= start) return true;
    }
    return false;
  }
}
