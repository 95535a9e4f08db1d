import {BinaryHeap} from '../base/binary_heap.js';
import {CandidateWorker} from './candidate_workers.js';

/** A candidate of a heap. */
export interface CandidateEntry {
  readonly candidate: CandidateWorker;
  /** Position in the order of the workers, the first of which wins a tie. */
  readonly index: number;
  /** Whether the candidate has been replaced or removed. */
  isStale: boolean;
}

/** Whether `a` has a lower cost than `b`, or the same and comes first. */
export function isCheaper(a: CandidateEntry, b: CandidateEntry): boolean {
  const costA = a.candidate.cost;
  const costB = b.candidate.cost;
  return costA < costB || (costA === costB && a.index < b.index);
}

/**
 * Finds the cheapest candidate up to a limit of the interference cost. It drops
 * the candidates above the limit that it meets, as the tasks of a step are
 * tried in the order in which they became ready: the next limit is the same or
 * lower. A higher limit may need a candidate that was dropped.
 */
export class CandidateHeap {
  private readonly heap: BinaryHeap<CandidateEntry>;
  /** Lowest interference cost of the candidates that were dropped. */
  private lowestDropped = Infinity;

  /** Creates a heap of those `entries` that don't exceed the first limit. */
  constructor(entries: readonly CandidateEntry[], limit: number) {
    this.heap = new BinaryHeap(
      isCheaper,
      entries.filter(entry => this.isWithin(limit, entry)),
    );
  }

  /** Whether no candidate up to a limit was dropped. */
  isCompleteUpTo(limit: number): boolean {
    return limit < this.lowestDropped;
  }

  /** Adds a candidate. */
  add(entry: CandidateEntry): void {
    this.heap.push(entry);
  }

  /**
   * Returns the cheapest candidate up to a limit that has no run of the task;
   * undefined if there is none.
   */
  cheapest(taskName: string, limit: number): CandidateEntry | undefined {
    const withRun: CandidateEntry[] = [];
    let entry = this.first(limit);
    while (entry?.candidate.worker.runs.has(taskName)) {
      this.heap.pop();
      withRun.push(entry);
      entry = this.first(limit);
    }
    for (const excluded of withRun) this.heap.push(excluded);
    // An infinite cost excludes a worker.
    return entry?.candidate.cost === Infinity ? undefined : entry;
  }

  /** Drops candidates until the first one is current and within the limit. */
  private first(limit: number): CandidateEntry | undefined {
    for (;;) {
      const entry = this.heap.peek();
      if (entry === undefined) return undefined;
      if (!entry.isStale && this.isWithin(limit, entry)) return entry;
      this.heap.pop();
    }
  }

  /** Whether a candidate is up to a limit; it has to be dropped if not. */
  private isWithin(limit: number, {candidate}: CandidateEntry): boolean {
    const {interferenceCost} = candidate;
    if (interferenceCost <= limit) return true;
    this.lowestDropped = Math.min(this.lowestDropped, interferenceCost);
    return false;
  }
}
