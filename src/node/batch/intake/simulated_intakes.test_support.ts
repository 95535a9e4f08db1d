import {Clock, Millis} from '../../../common/base/clock.js';
import {AppendPace} from '../../../common/batch/admission/append_pace.js';
import {
  InstanceRecord,
  packRecord,
  RecordKind,
} from '../../../common/batch/job_records.js';
import {LOG_LIMITS} from '../../../common/batch/log_limits.test_support.js';
import {
  QUEUE,
  STEP,
} from '../../../common/batch/simulated_fleet.test_support.js';
import {
  AppendResponse,
  AppendResult,
  KeyedLog,
  KeyedRecord,
  ReadResponse,
  ReadResult,
  Topic,
} from '../../../common/batch/store.js';
import {IntakeWriter} from '../intake_writer.js';
import {IntakeResult} from '../pending_write.js';
import {Forwarder} from './forwarder.js';
import {IntakePath} from './intake_path.js';
import {
  ALIVE_PATH,
  APPEND_TIME_HEADER,
  DEADLINE_HEADER,
  decodeAppendTime,
  encodeWrite,
  RECORDS_PATH,
  SENDER_HEADER,
  SLOW_PATH,
  SUSPECTED_PATH,
} from './neighbour_messages.js';
import {
  NeighbourRequest,
  NeighbourResponse,
  NeighbourTransport,
  TransportOutcome,
} from './neighbour_transport.js';

const SUBMISSION = packRecord({
  queue: QUEUE,
  acceptedAt: 0,
  shape: {spec: '', steps: [STEP], repeats: 0, startMs: 0, periodMs: 0},
});

/** How long callers wait for the result of a submission. */
const DEADLINE_MS: Millis = 1350;

/** Time after which a read counts as failed. */
const READ_TIMEOUT_MS: Millis = 2000;

function wait(ms: Millis): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

/** Store that takes one append at a time; the timers may be simulated. */
export class SimulatedStore {
  appendMs: Millis = 4;
  /** As an append unless given. */
  readMs: Millis | undefined;
  /** Batches in the order in which they were stored. */
  readonly batches: (readonly KeyedRecord[])[] = [];
  private lastAppend: Promise<void> = Promise.resolve();

  /** The store as an instance sees it. */
  log(instance: SimulatedIntake): KeyedLog {
    return {
      limits: LOG_LIMITS,
      append: (_topic: Topic, records, _options, timeoutMs) =>
        this.append(instance, records, timeoutMs),
      read: () => this.read(instance),
      newest: () => Promise.reject<ReadResponse>(new Error('not simulated')),
    };
  }

  /** Keys of all records, in the order in which they were stored. */
  keys(): string[] {
    return this.batches.flat().map(({key}) => key);
  }

  private async read(instance: SimulatedIntake): Promise<ReadResponse> {
    const isServed = instance.storeResult !== AppendResult.UNKNOWN;
    await wait(isServed ? (this.readMs ?? this.appendMs) : READ_TIMEOUT_MS);
    const result = isServed ? ReadResult.READ : ReadResult.FAILED;
    return {result, records: [], next: 0, end: 0};
  }

  private async append(
    instance: SimulatedIntake,
    records: readonly KeyedRecord[],
    timeoutMs: Millis,
  ): Promise<AppendResponse> {
    if (instance.storeResult !== undefined) {
      if (instance.storeResult === AppendResult.UNKNOWN) await wait(timeoutMs);
      return {result: instance.storeResult};
    }
    const stored = this.lastAppend.then(async () => {
      await wait(this.appendMs);
      this.batches.push(records);
    });
    this.lastAppend = stored;
    const timeout = wait(timeoutMs).then(() => AppendResult.UNKNOWN);
    const response = stored.then(() => AppendResult.STORED);
    return {result: await Promise.race([response, timeout])};
  }
}

/** What happens to requests to an instance. */
export const LinkState = {
  UP: 'up',
  /** Connections are refused. */
  REFUSED: 'refused',
  /** The request arrives and is handled; the response is lost. */
  RESPONSE_LOST: 'response-lost',
  /** The instance gets the request and does nothing, as if it were paused. */
  SILENT: 'silent',
} as const;
export type LinkState = (typeof LinkState)[keyof typeof LinkState];

/** The submission path of one instance. */
export class SimulatedIntake {
  /** Result of this instance's appends; undefined if the store serves it. */
  storeResult: AppendResult | undefined;
  link: LinkState = LinkState.UP;
  /** Requests that reached this instance. */
  requests = 0;
  readonly path: IntakePath;
  readonly writer: IntakeWriter;
  readonly forwarder: Forwarder;
  readonly pace: AppendPace;

  constructor(
    readonly name: string,
    readonly dataCentre: string,
    store: SimulatedStore,
    fleet: SimulatedIntakes,
    private readonly clock: Clock,
  ) {
    const pace = new AppendPace(() => fleet.records.size);
    this.pace = pace;
    const log = store.log(this);
    this.writer = new IntakeWriter(
      log,
      clock,
      () => {},
      () => 0,
      pace,
    );
    this.forwarder = new Forwarder({
      name,
      dataCentre,
      transport: fleet,
      clock,
      decisions: fleet,
      instances: () => fleet.records,
      schedulers: () => fleet.schedulers,
      pace,
    });
    this.path = new IntakePath({
      writer: this.writer,
      forwarder: fleet.hasForwarding ? this.forwarder : undefined,
      pace,
      clock,
      decisions: fleet,
      probe: async () => {
        const {result} = await log.read(Topic.INTAKE, 0, 0);
        return result === ReadResult.READ;
      },
      onStored: () => {},
    });
  }

  submit(id: string): Promise<IntakeResult> {
    const key = RecordKind.SUBMISSION + id;
    const deadline = this.clock.now() + DEADLINE_MS;
    return this.path.store({key, value: SUBMISSION}, deadline);
  }

  /** Handles a request of another instance. */
  async receive(request: NeighbourRequest): Promise<NeighbourResponse> {
    this.requests++;
    const {path, headers, body} = request;
    const answered = {outcome: TransportOutcome.ANSWERED, status: 200};
    const sender = {
      instance: headers[SENDER_HEADER],
      appendMs: decodeAppendTime(headers[APPEND_TIME_HEADER]),
    };
    const done = {...answered, body: new Uint8Array()};
    if (path === ALIVE_PATH) return done;
    if (path === SLOW_PATH || path === SUSPECTED_PATH) {
      this.path.onSlowStore(sender, path === SLOW_PATH);
      return done;
    }
    const key = path.slice(RECORDS_PATH.length);
    const deadline = this.clock.now() + Number(headers[DEADLINE_HEADER]);
    const record = {key, value: body!};
    const write = await this.path.storeForwarded(record, deadline, sender);
    return {...answered, body: Buffer.from(encodeWrite(write))};
  }
}

/** The submission paths of instances that share a store. */
export class SimulatedIntakes implements NeighbourTransport {
  readonly store = new SimulatedStore();
  readonly records = new Map<string, InstanceRecord>();
  readonly intakes = new Map<string, SimulatedIntake>();
  /** Instances that have a scheduler. */
  schedulers: string[] = [];
  /** Decisions of all instances. */
  readonly decisions: [string, Readonly<Record<string, unknown>>][] = [];

  /** @param perDataCentre number of instances in each data centre. */
  constructor(
    dataCentres: readonly string[],
    perDataCentre: number,
    clock: Clock,
    readonly hasForwarding = true,
  ) {
    for (const dataCentre of dataCentres) {
      for (let index = 0; index < perDataCentre; index++) {
        const name = `${dataCentre}${index}`;
        this.records.set(name, {processors: 1, dataCentre, relayAddress: name});
        const intake = new SimulatedIntake(
          name,
          dataCentre,
          this.store,
          this,
          clock,
        );
        this.intakes.set(name, intake);
      }
    }
  }

  decide(name: string, fields: Readonly<Record<string, unknown>>): void {
    this.decisions.push([name, fields]);
  }

  get(name: string): SimulatedIntake {
    return this.intakes.get(name)!;
  }

  /** Number of requests between instances. */
  requests(): number {
    return [...this.intakes.values()].reduce((sum, i) => sum + i.requests, 0);
  }

  async call(
    address: string,
    request: NeighbourRequest,
  ): Promise<NeighbourResponse> {
    const intake = this.get(address);
    const {NOT_SENT, NO_ANSWER} = TransportOutcome;
    const failed = {status: 0, body: new Uint8Array()};
    if (intake.link === LinkState.REFUSED) {
      return {outcome: NOT_SENT, ...failed};
    }
    const timeout = wait(request.timeoutMs);
    if (intake.link !== LinkState.SILENT) {
      const response = intake.receive(request);
      if (intake.link === LinkState.UP) {
        const late = timeout.then(() => ({outcome: NO_ANSWER, ...failed}));
        return Promise.race([response, late]);
      }
      await response;
      return {outcome: NO_ANSWER, ...failed};
    }
    await timeout;
    return {outcome: NO_ANSWER, ...failed};
  }
}
