import {
  EMPTY_SIZE,
  Size,
  addSizes,
  dominantShare,
  fits,
  subtractSizes,
} from '../base/size.js';
import {TeamConfiguration} from '../tickets/types.js';

/**
 * Tracks the capacity that is allocated to each team. The quota of a team is a
 * hard upper bound. Teams are served in the order of their dominant share
 * divided by their weight, as in weighted dominant resource fairness, but the
 * share is one of the team's quota, not of the total capacity.
 */
export class Fairness {
  private readonly allocated = new Map<string, Size>();
  private teams: Readonly<Record<string, TeamConfiguration>> = {};

  /** Sets the quotas and weights in force. */
  setTeams(teams: Readonly<Record<string, TeamConfiguration>>): void {
    this.teams = teams;
  }

  /** Quota of a team; undefined if no ticket configures the team. */
  quotaOf(team: string): Size | undefined {
    return this.team(team)?.quota;
  }

  /** Sum of the sizes that are allocated to a team's tasks. */
  allocatedTo(team: string): Size {
    return this.allocated.get(team) ?? EMPTY_SIZE;
  }

  /** Whether another task of this size stays within the team's quota. */
  fitsQuota(team: string, size: Size): boolean {
    const quota = this.quotaOf(team);
    return (
      quota !== undefined && fits(addSizes(this.allocatedTo(team), size), quota)
    );
  }

  add(team: string, size: Size): void {
    this.allocated.set(team, addSizes(this.allocatedTo(team), size));
  }

  remove(team: string, size: Size): void {
    this.allocated.set(team, subtractSizes(this.allocatedTo(team), size));
  }

  /**
   * Dominant share of the quota divided by the weight; the team with the lowest
   * share is served first.
   */
  shareOf(team: string): number {
    const configuration = this.team(team);
    if (configuration === undefined) return Infinity;
    const share = dominantShare(this.allocatedTo(team), configuration.quota);
    return configuration.weight > 0 ? share / configuration.weight : Infinity;
  }

  private team(team: string): TeamConfiguration | undefined {
    return Object.hasOwn(this.teams, team) ? this.teams[team] : undefined;
  }
}
