import {Clock, Millis, SECOND} from '../../../common/base/clock.js';
import {AppendPace} from '../../../common/batch/admission/append_pace.js';
import {chooseCollector} from '../../../common/batch/admission/collector.js';
import {ForwardingBreaker} from '../../../common/batch/admission/forwarding_breaker.js';
import {
  Neighbour,
  NeighbourFault,
  Neighbours,
} from '../../../common/batch/admission/neighbours.js';
import {InstanceRecord} from '../../../common/batch/job_records.js';
import {DecisionLog} from '../../../common/batch/scheduler_state.js';
import {KeyedRecord} from '../../../common/batch/store.js';
import {RetryBudget} from '../../../common/routing/retry_budget.js';
import {NeighbourStatus} from '../job_lookup.js';
import {IntakeResult} from '../pending_write.js';
import {NeighbourClient, NeighbourResult} from './neighbour_client.js';
import {isJobId} from './neighbour_messages.js';
import {NeighbourTransport} from './neighbour_transport.js';

/** Neighbours that one write or look-up is passed to at most. */
const MAX_ATTEMPTS = 3;

/** Further attempts for each first one, on average. */
const RETRIES_PER_REQUEST = 0.5;

/**
 * Further attempts that are possible before any first one: when the store turns
 * away a data centre, its three neighbours in use reject two writes each before
 * they are known to.
 */
const INITIAL_RETRIES = 6;

/**
 * Share of the remaining time that an attempt may take, so that another
 * neighbour can still be tried if the first is lost.
 */
const ATTEMPT_TIME_SHARE = 0.6;

/** Time below which no attempt is made; a link and a store need about 60 ms. */
const MIN_ATTEMPT_MS: Millis = 100;

/** Instances that are tried as the collector of one record. */
const MAX_COLLECTORS = 2;

/** Notices in flight at a time, and how long one may take. */
const PARALLEL_NOTICES = 8;
const NOTICE_TIMEOUT_MS: Millis = 500;

/** Longest wait for a sign of life: a link and a pause of a small process. */
const CHECK_TIMEOUT_MS: Millis = 150;

/**
 * Time up to which records that a collector did not store in time are due to the
 * slow store, and no fault of its own. The appends of several instances at the
 * begin take a store with 376 ms for each up to 2.6 s.
 */
const COLLECTOR_WORKS_MS: Millis = 3 * SECOND;

/** Time after which the last use of a collector no longer counts. */
const COLLECTOR_USED_MS: Millis = 10 * SECOND;

/** What a forwarder needs. */
export interface ForwarderDependencies {
  /** Name and data centre of this instance. */
  readonly name: string;
  readonly dataCentre: string;
  readonly transport: NeighbourTransport;
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  /** Instances of the system by name. */
  readonly instances: () => ReadonlyMap<string, InstanceRecord>;
  /** Instances that have a scheduler, in the order of the shards. */
  readonly schedulers: () => readonly string[];
  /** Learns how long the appends of other instances take. */
  readonly pace: AppendPace;
}

/** Chooses the next neighbour; undefined if there is none. */
type NeighbourChoice = (tried: readonly Neighbour[]) => Neighbour | undefined;

/** Passes writes and look-ups of this instance to neighbours. */
export class Forwarder {
  readonly breaker = new ForwardingBreaker();
  /** The last attempt at a neighbour; undefined before the first. */
  lastAttempt: {readonly neighbour: string; readonly at: Millis} | undefined;
  /** Local time at which a neighbour has served an attempt last. */
  servedAt: Millis = -Infinity;
  private readonly client: NeighbourClient;
  private readonly neighbours: Neighbours;
  /**
   * The last collector, and the local time at which it stored a record last, or
   * got its first.
   */
  private collectorSince = {name: '', at: -Infinity};
  private readonly budget = new RetryBudget(INITIAL_RETRIES);

  constructor(private readonly dependencies: ForwarderDependencies) {
    const {name, dataCentre, transport, pace, clock} = dependencies;
    this.client = new NeighbourClient(name, transport, () =>
      pace.ownMs(clock.now()),
    );
    this.neighbours = new Neighbours(name, dataCentre);
  }

  /**
   * Lets a neighbour store a record. Rejected means that nobody has stored it
   * and nobody will; after an attempt of unknown outcome it is stored or unknown.
   * @param deadline local time by which the result is returned.
   */
  store(
    record: KeyedRecord,
    deadline: Millis,
    maxAttempts = MAX_ATTEMPTS,
  ): Promise<IntakeResult> {
    const choose = this.neighbourFor(record.key);
    const attempts = this.attempts(choose, deadline, maxAttempts);
    return this.tryEach(
      attempts,
      record,
      () => this.attemptTime(deadline),
      false,
    );
  }

  /**
   * Lets the collector store a record, like `store`; if it can't be reached, the
   * instance that takes its place.
   * @param tried collectors that have been tried; those tried now are added.
   */
  collect(
    record: KeyedRecord,
    deadline: Millis,
    tried: Neighbour[],
  ): Promise<IntakeResult> {
    const attempts = this.attempts(
      () => {
        const collector = this.collector(tried);
        if (collector !== undefined) tried.push(collector);
        return collector;
      },
      deadline,
      MAX_COLLECTORS,
    );
    const remaining = () => deadline - this.dependencies.clock.now();
    return this.tryEach(attempts, record, remaining, true);
  }

  /**
   * The collector; undefined if it is this instance or if there is none.
   * @param tried instances that are left out.
   */
  collector(tried: readonly Neighbour[] = []): Neighbour | undefined {
    const {clock, instances, schedulers, name: ownName} = this.dependencies;
    const now = clock.now();
    const isUsable = (other: string) =>
      this.neighbours.isUsable(other, now) &&
      !tried.some(({name}) => name === other);
    const name = chooseCollector(instances(), schedulers(), isUsable);
    if (name === undefined || name === ownName) return undefined;
    const {relayAddress, dataCentre = ''} = instances().get(name)!;
    return {name, address: relayAddress!, dataCentre};
  }

  /**
   * Whether an instance answers, although it has not answered a write yet. If it
   * doesn't, it is not used for some time.
   */
  async isAlive({name, address}: Neighbour): Promise<boolean> {
    const isAlive = await this.client.isAlive(address, CHECK_TIMEOUT_MS);
    const {clock, decisions} = this.dependencies;
    if (isAlive) return true;
    decisions.decide('collector-silent', {instance: name});
    const {UNREACHABLE} = NeighbourFault;
    this.neighbours.onFault(name, UNREACHABLE, clock.now());
    return false;
  }

  /** Tells all instances that the store is slow. */
  async notifySlow(isConfirmed: boolean): Promise<void> {
    const {instances, name: ownName} = this.dependencies;
    const addresses = [...instances()]
      .filter(([name]) => name !== ownName)
      .flatMap(([, {relayAddress}]) => relayAddress ?? []);
    const next = addresses.values();
    const send = async () => {
      for (const address of next) {
        await this.client.notifySlow(address, isConfirmed, NOTICE_TIMEOUT_MS);
      }
    };
    await Promise.all(Array.from({length: PARALLEL_NOTICES}, send));
  }

  private async tryEach(
    attempts: Iterable<Neighbour>,
    record: KeyedRecord,
    timeoutMs: () => Millis,
    isCollector: boolean,
  ): Promise<IntakeResult> {
    const {clock, decisions, pace} = this.dependencies;
    let isUncertain = false;
    for (const neighbour of attempts) {
      const sentAt = clock.now();
      const {address, name} = neighbour;
      if (isCollector) this.noteCollector(name, sentAt);
      const response = await this.client.store(address, record, timeoutMs());
      const {result, isAnswered, appendMs} = response;
      const now = clock.now();
      decisions.decide('forward', {
        key: record.key,
        neighbour: name,
        result,
        answered: isAnswered,
        appendMs: Math.round(appendMs),
        ms: Math.round(now - sentAt),
      });
      // A slow append that was not stored may be due to the neighbour's link.
      const isSlow = appendMs >= pace.slowMs;
      const isCredible =
        result === IntakeResult.STORED || !isSlow || pace.isReportedSlow(now);
      if (appendMs > 0 && isCredible) pace.onReport(appendMs, now);
      this.noteOutcome(neighbour, response, isCollector, now);
      if (result === IntakeResult.STORED) return result;
      if (result === IntakeResult.UNKNOWN) isUncertain = true;
      else if (result === IntakeResult.REFUSED && !isUncertain) return result;
    }
    return isUncertain ? IntakeResult.UNKNOWN : IntakeResult.REJECTED;
  }

  private noteOutcome(
    {name, dataCentre}: Neighbour,
    response: NeighbourResult,
    isCollector: boolean,
    now: Millis,
  ): void {
    const {breaker, neighbours} = this;
    const isStored = response.result === IntakeResult.STORED;
    if (isStored) this.onServed(name, now);
    if (isStored && isCollector) this.collectorSince = {name, at: now};
    // The records behind the batch of a slow append are out of time.
    const isLate =
      isCollector && response.appendMs >= this.dependencies.pace.slowMs;
    const isWorking = now - this.collectorSince.at < COLLECTOR_WORKS_MS;
    const {UNREACHABLE} = NeighbourFault;
    const lateFault = isWorking || isStored ? undefined : UNREACHABLE;
    const fault = isLate ? lateFault : faultOf(response);
    if (fault !== undefined) neighbours.onFault(name, fault, now);
    if (fault === NeighbourFault.REJECTING) breaker.onRejected(dataCentre, now);
    else if (!isStored) breaker.onInconclusive();
  }

  private onServed(name: string, now: Millis): void {
    this.servedAt = now;
    this.neighbours.onServed(name);
    this.breaker.onServed();
  }

  /** Begins to measure for how long a collector has stored nothing. */
  private noteCollector(name: string, now: Millis): void {
    const {collectorSince: since} = this;
    if (since.name === name && now - since.at < COLLECTOR_USED_MS) return;
    this.collectorSince = {name, at: now};
  }

  private neighbourFor(key: string): NeighbourChoice {
    const {clock, instances} = this.dependencies;
    return tried =>
      this.neighbours.choose(instances(), key, tried, clock.now());
  }

  /**
   * Looks up a job at a neighbour; undefined if none that was asked could read
   * the log.
   * @param deadline local time by which the result is returned.
   */
  async lookUp(
    id: string,
    deadline: Millis,
  ): Promise<NeighbourStatus | undefined> {
    // Any path of a caller may get here. One that the HTTP client refuses, such
    // as one with a space, would count as a fault of the neighbour.
    if (!isJobId(id)) return undefined;
    const {client, breaker, neighbours} = this;
    const {clock, decisions} = this.dependencies;
    const choose = this.neighbourFor(id);
    for (const neighbour of this.attempts(choose, deadline, MAX_ATTEMPTS)) {
      const {address, name} = neighbour;
      const timeoutMs = this.attemptTime(deadline);
      const {response, isAnswered} = await client.lookUp(
        address,
        id,
        timeoutMs,
      );
      const isServed = response !== undefined;
      const now = clock.now();
      decisions.decide('forward-look-up', {id, neighbour: name, isServed});
      if (isServed) {
        this.onServed(name, now);
        return response;
      }
      const {REJECTING, UNREACHABLE} = NeighbourFault;
      neighbours.onFault(name, isAnswered ? REJECTING : UNREACHABLE, now);
      if (isAnswered) breaker.onRejected(neighbour.dataCentre, now);
      else breaker.onInconclusive();
    }
    return undefined;
  }

  /** Yields the neighbours to try, within the time and the retry budget. */
  private *attempts(
    choose: NeighbourChoice,
    deadline: Millis,
    maxAttempts: number,
  ): Generator<Neighbour> {
    const {clock} = this.dependencies;
    this.budget.deposit(RETRIES_PER_REQUEST);
    const tried: Neighbour[] = [];
    while (tried.length < maxAttempts) {
      const now = clock.now();
      if (deadline - now < MIN_ATTEMPT_MS) return;
      const neighbour = choose(tried);
      if (neighbour === undefined) return;
      if (tried.length > 0 && !this.budget.tryWithdraw()) return;
      if (!this.breaker.tryAcquire(now)) return;
      tried.push(neighbour);
      this.lastAttempt = {neighbour: neighbour.name, at: now};
      yield neighbour;
    }
  }

  private attemptTime(deadline: Millis): Millis {
    const remainingMs = deadline - this.dependencies.clock.now();
    return Math.max(MIN_ATTEMPT_MS, remainingMs * ATTEMPT_TIME_SHARE);
  }
}

/** What the outcome of a write shows about a neighbour. */
function faultOf(response: NeighbourResult): NeighbourFault | undefined {
  const {result, isAnswered} = response;
  if (!isAnswered) return NeighbourFault.UNREACHABLE;
  if (result === IntakeResult.REJECTED) return NeighbourFault.REJECTING;
  // The neighbour gets no response from the store either.
  if (result === IntakeResult.UNKNOWN) return NeighbourFault.UNREACHABLE;
  return undefined;
}
