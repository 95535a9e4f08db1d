import {Urgency} from '../tickets/types.js';
import {Fairness} from './fairness.js';
import {JobId} from './types.js';

/** The fields of a job that determine its place in the queue. */
export interface QueuedJob {
  readonly id: JobId;
  readonly team: string;
  readonly urgency: Urgency;
  /** Unix time of the submission. */
  readonly submittedMs: number;
}

/** Urgencies, most urgent first. */
const URGENCIES: readonly Urgency[] = [
  Urgency.URGENT,
  Urgency.NORMAL,
  Urgency.LOW,
];

/**
 * Most jobs of one team and urgency that are offered before the team is
 * skipped. More than one, so that a large job does not block the jobs behind
 * it; bounded, so that a decision takes a limited time.
 */
const LOOKAHEAD_JOBS = 16;

/** Orders jobs by submission time, then by id. */
function compareJobs(a: QueuedJob, b: QueuedJob): number {
  if (a.submittedMs !== b.submittedMs) return a.submittedMs - b.submittedMs;
  return a.id < b.id ? -1 : a.id > b.id ? 1 : 0;
}

/** Index of the first job that is not ordered before `job`. */
function insertionIndex(jobs: readonly QueuedJob[], job: QueuedJob): number {
  let low = 0;
  let high = jobs.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (compareJobs(jobs[middle], job) < 0) low = middle + 1;
    else high = middle;
  }
  return low;
}

/**
 * Queue of jobs in the order of urgency, share of the team and submission time.
 * There is one sorted list for each urgency and team, so that the cost of a
 * decision grows with the number of teams, not with the number of jobs.
 */
export class JobQueue<J extends QueuedJob> {
  private readonly jobsByUrgency = new Map<Urgency, Map<string, J[]>>(
    URGENCIES.map(urgency => [urgency, new Map<string, J[]>()]),
  );
  private jobCount = 0;

  /** Number of queued jobs. */
  get size(): number {
    return this.jobCount;
  }

  has(job: J): boolean {
    const jobs = this.jobsByUrgency.get(job.urgency)?.get(job.team) ?? [];
    return jobs[insertionIndex(jobs, job)]?.id === job.id;
  }

  add(job: J): void {
    const teams = this.jobsByUrgency.get(job.urgency);
    if (teams === undefined) return;
    let jobs = teams.get(job.team);
    if (jobs === undefined) {
      jobs = [];
      teams.set(job.team, jobs);
    }
    const index = insertionIndex(jobs, job);
    if (jobs[index]?.id === job.id) return;
    jobs.splice(index, 0, job);
    this.jobCount++;
  }

  remove(job: J): void {
    const teams = this.jobsByUrgency.get(job.urgency);
    const jobs = teams?.get(job.team);
    if (jobs === undefined) return;
    const index = insertionIndex(jobs, job);
    if (jobs[index]?.id !== job.id) return;
    jobs.splice(index, 1);
    if (jobs.length === 0) teams?.delete(job.team);
    this.jobCount--;
  }

  /**
   * Offers jobs in order until no offered job can be placed.
   *
   * @param place returns whether it placed the job; a placed job is removed.
   */
  placeJobs(fairness: Fairness, place: (job: J) => boolean): void {
    for (const urgency of URGENCIES) {
      this.placeJobsOf(
        this.jobsByUrgency.get(urgency) ?? new Map(),
        fairness,
        place,
      );
    }
  }

  /** Places jobs of one urgency, from the team with the lowest share first. */
  private placeJobsOf(
    teams: Map<string, J[]>,
    fairness: Fairness,
    place: (job: J) => boolean,
  ): void {
    // Shares of the teams that may have a job that can be placed.
    const shares = new Map<string, number>();
    for (const team of teams.keys()) shares.set(team, fairness.shareOf(team));
    while (shares.size > 0) {
      const team = teamWithLowestShare(shares);
      const placed = this.placeFirst(teams.get(team) ?? [], place);
      if (placed === undefined) {
        shares.delete(team);
      } else {
        this.remove(placed);
        if (teams.has(team)) shares.set(team, fairness.shareOf(team));
        else shares.delete(team);
      }
    }
  }

  /** Places the first of the jobs that can be placed. */
  private placeFirst(
    jobs: readonly J[],
    place: (job: J) => boolean,
  ): J | undefined {
    const end = Math.min(jobs.length, LOOKAHEAD_JOBS);
    for (let i = 0; i < end; i++) {
      if (place(jobs[i])) return jobs[i];
    }
    return undefined;
  }
}

function teamWithLowestShare(shares: ReadonlyMap<string, number>): string {
  let best = '';
  let bestShare = Infinity;
  for (const [team, share] of shares) {
    if (best === '' || share < bestShare) {
      best = team;
      bestShare = share;
    }
  }
  return best;
}
