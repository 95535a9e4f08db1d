import {Clock, Millis, SECOND} from '../../common/base/clock.js';
import {InstanceRecord} from '../../common/batch/job_records.js';
import {
  needsRelays,
  RelayCandidate,
  RelayPlan,
} from '../../common/batch/relay_plan.js';
import {DecisionLog} from '../../common/batch/scheduler_state.js';
import {StartRequest, WorkerListing} from '../../common/batch/types.js';
import {
  LeaseRenewal,
  RenewalResponse,
  WorkerAddress,
  WorkerCalls,
  WorkerResponse,
} from '../../common/batch/worker_calls.js';
import {LinkClosedListener} from './relay_link.js';
import {RelayCall, RelayCallKind} from './relay_messages.js';

/** First and longest time for which a relay that failed is not used. */
const FIRST_EXCLUSION_MS: Millis = 2 * SECOND;
const MAX_EXCLUSION_MS: Millis = 30 * SECOND;

/**
 * Workers of a data centre are counted in steps, so that the plan is not made
 * anew for each worker that comes or goes.
 */
const WORKER_COUNT_STEP = 10;

/** The part of a relay link that this module uses. */
export interface CallLink {
  call(worker: WorkerAddress, call: RelayCall): Promise<RenewalResponse>;
  close(): void;
}

/** Opens a link to the relay at an address. */
export type LinkOpener = (
  address: string,
  onClosed: LinkClosedListener,
) => CallLink;

/** Settings and collaborators of the calls. */
export interface RelayedCallsOptions {
  /** Name and processors, in cores, of this instance. */
  readonly name: string;
  readonly processors: number;
  /** Calls workers from this instance. */
  readonly direct: WorkerCalls;
  readonly openLink: LinkOpener;
  readonly clock: Clock;
  readonly decisions: DecisionLog;
}

/** Time until which a relay is not used, and how long the next one is. */
interface Exclusion {
  readonly until: Millis;
  readonly nextMs: Millis;
}

/** A link with the local time at which it was opened. */
interface OpenedLink {
  readonly link: CallLink;
  readonly openedAt: Millis;
}

/**
 * Calls workers from this instance while it has the processors for all of them,
 * and through relays on other instances otherwise.
 */
export class RelayedWorkerCalls implements WorkerCalls {
  private readonly plan = new RelayPlan();
  private readonly links = new Map<string, OpenedLink>();
  private readonly exclusions = new Map<string, Exclusion>();
  private instances: ReadonlyMap<string, InstanceRecord> = new Map();
  private workerCounts: ReadonlyMap<string, number> = new Map();
  private usesRelays = false;
  /** What the plan was made from; it is made anew when this changes. */
  private planKey = '';

  constructor(private readonly options: RelayedCallsOptions) {}

  /** Sets the instances that may be relays and the workers to be called. */
  setFleet(
    instances: ReadonlyMap<string, InstanceRecord>,
    workers: ReadonlyMap<string, WorkerListing>,
  ): void {
    const {processors, decisions} = this.options;
    this.instances = instances;
    this.workerCounts = countByDataCentre(workers.values());
    // Once in use, relays are kept for the term: a change costs a connection
    // for each worker.
    if (!this.usesRelays && needsRelays(processors, workers.size)) {
      this.usesRelays = true;
      decisions.decide('relays-used', {workers: workers.size, processors});
    }
    this.updatePlan();
  }

  /** Closes all links, after the end of a term. */
  release(): void {
    this.usesRelays = false;
    this.planKey = '';
    for (const [name, {link}] of [...this.links]) {
      this.links.delete(name);
      link.close();
    }
  }

  start(
    worker: WorkerAddress,
    request: StartRequest,
    leaseUntil: Millis,
    token: number,
  ): Promise<WorkerResponse> {
    const kind = RelayCallKind.START;
    return (
      this.relay(worker, {kind, request, leaseUntil, token}) ??
      this.options.direct.start(worker, request, leaseUntil, token)
    );
  }

  stop(
    worker: WorkerAddress,
    task: string,
    attempt: number,
    token: number,
  ): Promise<WorkerResponse> {
    const kind = RelayCallKind.STOP;
    return (
      this.relay(worker, {kind, task, attempt, token}) ??
      this.options.direct.stop(worker, task, attempt, token)
    );
  }

  renew(
    worker: WorkerAddress,
    renewal: LeaseRenewal,
  ): Promise<RenewalResponse> {
    return (
      this.relay(worker, {kind: RelayCallKind.RENEW, renewal}) ??
      this.options.direct.renew(worker, renewal)
    );
  }

  pace(
    worker: WorkerAddress,
    task: string,
    attempt: number,
    percent: number,
    token: number,
  ): Promise<WorkerResponse> {
    const kind = RelayCallKind.PACE;
    return (
      this.relay(worker, {kind, task, attempt, percent, token}) ??
      this.options.direct.pace(worker, task, attempt, percent, token)
    );
  }

  /** Passes a call to the worker's relay; undefined if it has none. */
  private relay(
    worker: WorkerAddress,
    call: RelayCall,
  ): Promise<RenewalResponse> | undefined {
    if (!this.usesRelays) return undefined;
    const name = this.plan.relayOf(worker.id, worker.dataCentre ?? '');
    if (name === undefined) return undefined;
    return this.linkTo(name).call(worker, call);
  }

  private linkTo(name: string): CallLink {
    const known = this.links.get(name);
    if (known !== undefined) return known.link;
    const address = this.instances.get(name)!.relayAddress!;
    const link: CallLink = this.options.openLink(address, reason =>
      this.onLinkClosed(name, link, reason),
    );
    this.links.set(name, {link, openedAt: this.options.clock.now()});
    return link;
  }

  private onLinkClosed(name: string, link: CallLink, reason: string): void {
    const known = this.links.get(name);
    if (known?.link !== link) return;
    this.links.delete(name);
    const now = this.options.clock.now();
    const wasStable = now - known.openedAt > MAX_EXCLUSION_MS;
    const previous = wasStable ? undefined : this.exclusions.get(name);
    const excludedMs = previous?.nextMs ?? FIRST_EXCLUSION_MS;
    const nextMs = Math.min(2 * excludedMs, MAX_EXCLUSION_MS);
    this.exclusions.set(name, {until: now + excludedMs, nextMs});
    this.options.decisions.decide('relay-lost', {relay: name, reason});
    this.updatePlan();
  }

  private updatePlan(): void {
    const candidates = this.candidates();
    const names = candidates.map(({name}) => name).join();
    const key = `${names} ${[...this.workerCounts].join(' ')}`;
    if (key === this.planKey) return;
    this.planKey = key;
    this.plan.update(candidates, this.workerCounts);
  }

  private candidates(): RelayCandidate[] {
    const now = this.options.clock.now();
    const candidates: RelayCandidate[] = [];
    for (const [name, record] of this.instances) {
      const {relayAddress, dataCentre = '', processors} = record;
      if (relayAddress === undefined || name === this.options.name) continue;
      if ((this.exclusions.get(name)?.until ?? 0) > now) continue;
      candidates.push({name, dataCentre, processors});
    }
    return candidates;
  }
}

/** Numbers of workers by data centre, rounded up to a step. */
function countByDataCentre(
  workers: Iterable<WorkerListing>,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const {dataCentre} of workers) {
    counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
  }
  for (const [dataCentre, count] of counts) {
    const steps = Math.ceil(count / WORKER_COUNT_STEP);
    counts.set(dataCentre, steps * WORKER_COUNT_STEP);
  }
  return counts;
}
