import {Millis} from '../../base/clock.js';
import {JobRecord} from '../../jobs/types.js';
import {
  DataCentreEvent,
  DataCentreReader,
} from '../../stream/data_centre_reader.js';
import {RecordWriter, WriterAction} from '../../stream/record_writer.js';
import {DataCentreRecord, MemberId, View} from '../../stream/types.js';
import {Leadership} from '../leadership.js';
import {LeadershipAction, LeadershipMessage} from '../types.js';
import {DATA_CENTRE} from './instance_for.js';
import {SimulatedApplication} from './simulated_application.js';
import type {
  LogReadResponse,
  SimulatedDataCentre,
} from './simulated_data_centre.js';

const TICK_INTERVAL_MS: Millis = 50;
const LOG_POLL_INTERVAL_MS: Millis = 30;
const LIST_INTERVAL_MS: Millis = 1000;

/** A process with a leadership core, a stream reader and a record writer. */
export class SimulatedProcess {
  ended = false;
  readonly reader = new DataCentreReader();
  /** Offsets of the batches that it has read as in force. */
  readonly batchOffsets: number[] = [];
  private readonly core: Leadership;
  private readonly writer: RecordWriter<DataCentreRecord, JobRecord>;
  /** Callbacks that became due during a pause. */
  private readonly deferred: Array<() => void> = [];
  private readonly clockOffset: Millis;
  private pausedUntil: Millis = -1;
  private lastReadSucceeded = true;
  private logAvailable = true;
  private jobCount = 0;
  /** The view that this process leads. */
  private ledView: View | undefined;
  private readonly application: SimulatedApplication | undefined;

  constructor(
    private readonly sim: SimulatedDataCentre,
    readonly id: string,
    readonly member: MemberId,
    private readonly clockRate: number,
    application?: (process: SimulatedProcess) => SimulatedApplication,
  ) {
    this.clockOffset = sim.randomBetween(0, 1e6);
    this.core = new Leadership({
      self: member,
      dataCentre: DATA_CENTRE,
      random: sim.random,
    });
    this.writer = new RecordWriter(member, entries => ({
      kind: 'batch',
      epoch: (this.ledView ?? this.core.view)?.epoch ?? 0,
      entries,
    }));
    this.application = application?.(this);
    this.application?.onLogAvailability(true);
  }

  /** End of the lease on the clock of the process; 0 without a lease. */
  leaseUntil(now: Millis): Millis {
    return this.core.leaseUntil(now);
  }

  mayActAt(now: Millis): boolean {
    return this.core.mayAct(now);
  }

  /** Appends records of the application. */
  append(entries: readonly JobRecord[]): void {
    this.executeAppends(this.writer.enqueue(entries, this.now));
  }

  /** Runs `run` after `delay` of simulated time, or later when a pause ends. */
  runAfter(delay: Millis, run: () => void): void {
    this.sim.queue.after(delay, () => this.deliver(run));
  }

  /** Time on the clock of the process, which has its own offset and rate. */
  get now(): Millis {
    return this.clockOffset + this.sim.time * this.clockRate;
  }

  get mayAct(): boolean {
    return this.core.mayAct(this.now);
  }

  get isPaused(): boolean {
    return this.sim.time < this.pausedUntil;
  }

  /** Starts the periodic ticks, log reads and list requests. */
  start(): void {
    this.tick();
    this.pollLog();
    this.pollList();
  }

  pause(duration: Millis): void {
    this.pausedUntil = this.sim.time + duration;
    this.sim.queue.after(duration, () => {
      // Ticks and responses that became due during the pause run in any order.
      while (this.deferred.length > 0) {
        const index = Math.floor(this.sim.random() * this.deferred.length);
        this.deferred.splice(index, 1)[0]();
      }
    });
  }

  /** Passes a message to the core, after a pause if the process is paused. */
  receive(message: LeadershipMessage): void {
    this.deliver(() => this.dispatch(message));
  }

  /** Runs `run` now, or at the end of the pause; drops it after the end. */
  private deliver(run: () => void): void {
    if (this.ended) return;
    if (this.isPaused) {
      this.deferred.push(run);
    } else {
      run();
    }
  }

  /** Passes a message to the core and executes its actions. */
  private dispatch(message: LeadershipMessage): void {
    for (const action of this.core.handle(message, this.now)) {
      this.execute(action);
    }
  }

  private execute(action: LeadershipAction): void {
    const {sim: sim} = this;
    if (action.kind === 'send') {
      sim.send(this.member, action.to, action.message);
    } else if (action.kind === 'append-view') {
      const {base, leader, members} = action;
      const body = {kind: 'view', base, leader, members} as const;
      this.executeAppends(this.writer.enqueueRecord(body, this.now));
    } else {
      sim.addTrace(
        `${this.member} ${action.kind} ${action.view?.epoch} ` +
          `(${action.view?.leader})`,
      );
      this.changeRole(action);
    }
  }

  private changeRole(
    action: Extract<LeadershipAction, {kind: 'lead' | 'follow'}>,
  ): void {
    if (action.kind === 'follow') {
      this.ledView = undefined;
      this.writer.discardEntries();
      this.application?.onFollow();
      return;
    }
    this.ledView = action.view;
    if (!action.continued) this.writer.discardEntries();
    this.application?.onLead(action.view, action.continued);
  }

  private executeAppends(
    actions: Iterable<WriterAction<DataCentreRecord>>,
  ): void {
    for (const action of actions) {
      if (action.kind !== 'append') continue;
      this.sim.append(this.member, action.record, offset =>
        this.deliver(() => {
          this.executeAppends(
            offset === undefined
              ? this.writer.onAppendFailed(this.now)
              : this.writer.onAppended(offset, this.now),
          );
          this.reportLogAvailability();
        }),
      );
    }
  }

  private tick(): void {
    this.dispatch({kind: 'tick'});
    this.executeAppends(this.writer.tick(this.now));
    this.reportLogAvailability();
    if (this.application !== undefined) {
      this.application.onTick();
    } else if (this.mayAct && this.writer.queued < 3) {
      const job = `${this.member}/${this.jobCount++}`;
      const entry = {kind: 'cancelled', timeMs: 0, job} as const;
      this.executeAppends(this.writer.enqueue([entry], this.now));
    }
    this.sim.queue.after(TICK_INTERVAL_MS, () =>
      this.deliver(() => this.tick()),
    );
  }

  private pollLog(): void {
    const sentAt = this.now;
    this.sim.read(this.member, this.reader.nextOffset, answer =>
      this.deliver(() => {
        this.onReadResponse(answer, sentAt);
        this.sim.queue.after(LOG_POLL_INTERVAL_MS, () =>
          this.deliver(() => this.pollLog()),
        );
      }),
    );
  }

  private onReadResponse(
    answer: LogReadResponse | undefined,
    sentAt: Millis,
  ): void {
    this.lastReadSucceeded = answer !== undefined;
    for (const stored of answer?.records ?? []) {
      for (const event of this.reader.read(stored)) this.onEvent(event);
    }
    this.reportLogAvailability();
    if (!answer?.atEnd) return;
    this.executeAppends(this.writer.onCaughtUp(this.now));
    this.dispatch({kind: 'caught-up', sentAt});
  }

  private onEvent(event: DataCentreEvent): void {
    if (event.kind === 'malformed-void') return;
    if (event.kind === 'view-in-force') {
      this.dispatch({kind: 'view-read', view: event.view});
    }
    if (event.kind === 'batch-in-force') this.batchOffsets.push(event.offset);
    const isOwn = event.record.writer === this.member;
    if (event.kind === 'batch-in-force') {
      this.application?.onBatch(event.offset, event.record, isOwn);
    }
    if (event.kind === 'view-void' && isOwn) {
      this.dispatch({kind: 'view-void', record: event.record});
    }
    this.executeAppends(this.writer.onRecordRead(event.record, this.now));
  }

  /** Reports a change of the log availability to the core and application. */
  private reportLogAvailability(): void {
    const available = this.lastReadSucceeded && this.writer.available;
    if (available === this.logAvailable) return;
    this.logAvailable = available;
    this.dispatch({kind: 'log', available});
    this.application?.onLogAvailability(available);
  }

  private pollList(): void {
    const sentAt = this.now;
    this.sim.list(this.member, instances =>
      this.deliver(() => {
        if (instances) this.dispatch({kind: 'instances', instances, sentAt});
        this.sim.queue.after(LIST_INTERVAL_MS, () =>
          this.deliver(() => this.pollList()),
        );
      }),
    );
  }
}
