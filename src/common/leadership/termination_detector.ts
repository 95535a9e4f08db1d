import {Millis, MINUTE} from '../base/clock.js';
import {Instance, InstanceRole} from '../base/platform.js';
import {MemberId} from '../stream/types.js';
import {formatMemberId, parseMemberId} from './member.js';

/** Consecutive lists without an instance after which it may count as gone. */
const ABSENT_LISTS_REQUIRED = 3;

/**
 * Time after which a member that has never been listed counts as gone. It is
 * far longer than the lag of the list, which is a few seconds.
 */
const NEVER_LISTED_TIMEOUT_MS = MINUTE;

/** Limit of the tracked processes; covers several days of replacements. */
const MAX_TRACKED_PROCESSES = 4096;

/** What the instance lists say about a process. */
interface ListingStatus {
  /** Whether any list has contained it. */
  readonly wasListed: boolean;
  /** Number of consecutive lists without it. */
  readonly absentLists: number;
  /**
   * When the first of those lists was received. Without such a list, and for a
   * process that was never listed, when the last list or view with it was read.
   * Lists that were requested before this time do not count.
   */
  readonly absentSince: Millis;
}

/**
 * Determines which processes have ended: from the platform's instance list,
 * from tickets, and from later start numbers of the same id, since two
 * processes of one id would share a port.
 *
 * The platform may also drop a process that is paused and list it again later.
 * Therefore only lists count that were requested after the view with the
 * process was read, and a process that was paused for longer than the lease
 * takes no part in earlier views; see `LeadershipState.detectPause`.
 */
export class TerminationDetector {
  private readonly listings = new Map<MemberId, ListingStatus>();
  /** Highest known start number of each instance id. */
  private readonly latestStarts = new Map<string, number>();
  /** Ids and member ids that tickets declare gone. */
  private declaredGone = new Set<string>();
  private newestEntries: readonly MemberId[] | undefined;
  /** When the last list that contains this instance was requested. */
  private selfListedAt: Millis = -Infinity;

  /**
   * @param minAbsentMs time from the first list without an instance until it
   *   may count as gone. It has to be at least the lease, so that a leader that
   *   was paused and then dropped has lost its lease by that time.
   */
  constructor(
    private readonly self: MemberId,
    private readonly dataCentre: string,
    private readonly minAbsentMs: Millis,
  ) {}

  /**
   * Entry instances of the data centre in the newest list that contains this
   * instance; undefined before the first such list.
   */
  get listedEntries(): readonly MemberId[] | undefined {
    return this.newestEntries;
  }

  /**
   * Records a list that was requested at `sentAt`. A list that is empty or
   * lacks this instance is no evidence that other instances are absent.
   */
  onInstanceList(
    instances: readonly Instance[],
    sentAt: Millis,
    now: Millis,
  ): void {
    if (instances.length === 0) return;
    const listed = this.recordEntries(instances);
    if (!this.listings.has(this.self)) this.resetAbsence([this.self], sentAt);
    if (listed.has(this.self)) {
      this.newestEntries = [...listed];
      this.selfListedAt = sentAt;
      for (const member of this.listings.keys()) {
        if (!listed.has(member)) this.recordAbsence(member, sentAt, now);
      }
    } else {
      this.recordAbsence(this.self, sentAt, now);
    }
    for (const member of listed) {
      const listing = {wasListed: true, absentLists: 0, absentSince: sentAt};
      this.listings.set(member, listing);
    }
    this.evictAbsent();
  }

  /**
   * Whether a list that was requested at `time` or later contains this
   * instance.
   */
  wasSelfListedSince(time: Millis): boolean {
    return this.selfListedAt >= time;
  }

  /**
   * Records the members of a view that was read. Earlier lists no longer count
   * as evidence that one of them is absent.
   */
  resetAbsence(members: readonly MemberId[], now: Millis): void {
    for (const member of members) {
      this.recordStart(member);
      const listing = this.listings.get(member);
      // A view is no evidence about the absence of this instance itself.
      if (member === this.self && listing) continue;
      const wasListed = listing?.wasListed ?? false;
      this.listings.set(member, {wasListed, absentLists: 0, absentSince: now});
    }
  }

  /**
   * Records that a process exists or existed: earlier ones of its id have
   * ended.
   */
  recordStart(member: MemberId): void {
    const {id, start} = parseMemberId(member);
    if (Number.isNaN(start)) return;
    const latest = this.latestStarts.get(id);
    if (latest !== undefined && start <= latest) return;
    this.latestStarts.set(id, start);
    if (this.latestStarts.size <= MAX_TRACKED_PROCESSES) return;
    for (const oldest of this.latestStarts.keys()) {
      this.latestStarts.delete(oldest);
      return;
    }
  }

  /** Replaces the set of instances that tickets declare gone. */
  setDeclaredGone(ids: readonly string[]): void {
    this.declaredGone = new Set(ids);
  }

  /** Whether the process has provably ended or is declared gone. */
  isGone(member: MemberId, now: Millis): boolean {
    if (this.isReplaced(member) || this.isDeclared(member)) return true;
    const listing = this.listings.get(member);
    if (!listing || listing.absentLists < ABSENT_LISTS_REQUIRED) return false;
    const requiredMs = listing.wasListed
      ? this.minAbsentMs
      : NEVER_LISTED_TIMEOUT_MS;
    return now - listing.absentSince >= requiredMs;
  }

  /**
   * Whether other instances treat this one as gone, now or soon. One list
   * without it, or half of `NEVER_LISTED_TIMEOUT_MS` if it was never listed, is
   * enough, so that it stops before the others replace it.
   */
  isSelfGone(now: Millis): boolean {
    if (this.isReplaced(this.self) || this.isDeclared(this.self)) return true;
    const listing = this.listings.get(this.self);
    if (!listing || listing.absentLists === 0) return false;
    return (
      listing.wasListed ||
      now - listing.absentSince >= NEVER_LISTED_TIMEOUT_MS / 2
    );
  }

  /**
   * Records the start numbers of all listed entry instances and returns those
   * of this data centre.
   */
  private recordEntries(instances: readonly Instance[]): Set<MemberId> {
    const listed = new Set<MemberId>();
    for (const instance of instances) {
      if (instance.role !== InstanceRole.ENTRY) continue;
      const member = formatMemberId(instance.id, instance.start);
      this.recordStart(member);
      if (instance.dataCentre === this.dataCentre) listed.add(member);
    }
    return listed;
  }

  private recordAbsence(member: MemberId, sentAt: Millis, now: Millis): void {
    const listing = this.listings.get(member);
    if (!listing || sentAt < listing.absentSince) return;
    const isFirst = listing.absentLists === 0;
    this.listings.set(member, {
      wasListed: listing.wasListed,
      absentLists: listing.absentLists + 1,
      absentSince: isFirst && listing.wasListed ? now : listing.absentSince,
    });
  }

  /** Removes the oldest absent processes beyond `MAX_TRACKED_PROCESSES`. */
  private evictAbsent(): void {
    for (const [member, listing] of this.listings) {
      if (this.listings.size <= MAX_TRACKED_PROCESSES) return;
      if (listing.absentLists > 0) this.listings.delete(member);
    }
  }

  /** Whether a later process of the same instance id is known. */
  private isReplaced(member: MemberId): boolean {
    const {id, start} = parseMemberId(member);
    return (this.latestStarts.get(id) ?? start) > start;
  }

  private isDeclared(member: MemberId): boolean {
    const {id, start} = parseMemberId(member);
    if (this.declaredGone.has(id)) return true;
    for (const gone of this.declaredGone) {
      const declared = parseMemberId(gone);
      if (declared.id === id && declared.start >= start) return true;
    }
    return false;
  }
}
