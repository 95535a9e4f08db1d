/** A client's connection, with the memory of the jobs that it submitted. */
export interface JobCaller {
  /** Address of the client. */
  readonly source: string;
  /** Estimated memory of its jobs that are not forgotten, in bytes. */
  heldBytes: number;
}

/** Memory of a job, and on whose account it is. */
export interface JobHolding {
  readonly queue: string;
  /** Address of the client that submitted the job; empty if it is unknown. */
  readonly source: string;
  /** Estimated memory, in bytes. */
  readonly bytes: number;
  /** Undefined for a job that another instance has accepted. */
  readonly caller?: JobCaller;
}

/**
 * Estimated memory of all jobs that an instance knows or is storing, in total,
 * by queue and by the address of the client.
 */
export class JobMemory {
  /** Estimated memory of all jobs, in bytes. */
  total = 0;
  private readonly holdings = new Map<string, JobHolding>();
  private readonly byQueue = new Map<string, number>();
  private readonly bySource = new Map<string, number>();

  /** @param onRelease called with the bytes that are free again. */
  constructor(private readonly onRelease: (bytes: number) => void = () => {}) {}

  ofQueue(queue: string): number {
    return this.byQueue.get(queue) ?? 0;
  }

  ofSource(source: string): number {
    return this.bySource.get(source) ?? 0;
  }

  has(id: string): boolean {
    return this.holdings.has(id);
  }

  /** Estimated memory of a job, in bytes; 0 if it is not counted. */
  bytesOf(id: string): number {
    return this.holdings.get(id)?.bytes ?? 0;
  }

  /** Counts a job; one that is counted already stays as it is. */
  hold(id: string, holding: JobHolding): void {
    if (this.holdings.has(id)) return;
    this.holdings.set(id, holding);
    this.add(holding, holding.bytes);
  }

  /** Changes the memory of a job that is counted. */
  resize(id: string, bytes: number): void {
    const holding = this.holdings.get(id);
    if (holding === undefined || holding.bytes === bytes) return;
    this.holdings.set(id, {...holding, bytes});
    this.add(holding, bytes - holding.bytes);
  }

  /** Counts a job no more. */
  release(id: string): void {
    const holding = this.holdings.get(id);
    if (holding === undefined) return;
    this.holdings.delete(id);
    this.add(holding, -holding.bytes);
  }

  private add({queue, source, caller}: JobHolding, bytes: number): void {
    this.total += bytes;
    addTo(this.byQueue, queue, bytes);
    addTo(this.bySource, source, bytes);
    if (caller !== undefined) caller.heldBytes += bytes;
    if (bytes < 0) this.onRelease(-bytes);
  }
}

/** Adds to a sum, and drops it when it is 0. */
function addTo(sums: Map<string, number>, key: string, bytes: number): void {
  const sum = (sums.get(key) ?? 0) + bytes;
  if (sum === 0) sums.delete(key);
  else sums.set(key, sum);
}
