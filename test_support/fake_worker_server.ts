import {
  Instance,
  InstanceRole,
  InstanceState,
  TaskState,
  TaskStatus,
  WorkerStatus,
} from '../src/common/base/platform.js';
import {EMPTY_SIZE, Size, addSizes} from '../src/common/base/size.js';
import {
  Exchange,
  JsonServer,
  readBody,
  readJson,
  sendJson,
} from '../src/node/json_server.js';

/** Injected faults, set by a test or by `PUT /faults`. */
export interface WorkerFaults {
  /** Every task fails as soon as it starts, every service request gets 500. */
  failEverything: boolean;
  /** Extra processing time of each service request, in milliseconds. */
  requestDelayMs: number;
  /** This many tasks start, but the requests for that get no response. */
  loseStartAnswers: number;
  /** Not read by this fake, which reports the present usage. */
  usageLagMs: number;
  /** The worker reports that it is leaving. */
  leaving: boolean;
}

/** Body of a request to start a task. */
export interface TaskStart {
  readonly job: string;
  readonly kind: string;
  readonly size: Size;
  /** Run time at full speed, in milliseconds. */
  readonly runMs: number;
  readonly payload?: unknown;
  /** End of the task's lease on the worker's clock, in milliseconds. */
  readonly leaseUntilMs: number;
  /** Fraction of the work that was done before the start, 0 to 1. */
  readonly checkpoint?: number;
}

/** An event on a worker. Tests check the ledger of these for violations. */
export interface LedgerEntry {
  /** Time on the worker's clock. */
  readonly timeMs: number;
  readonly worker: string;
  readonly event:
    'start' | 'late-start' | 'request' | 'request-end' | 'stop' | TaskState;
  readonly task?: string;
  readonly job?: string;
  /** Idempotency key of the service request. */
  readonly key?: string;
  /** Checkpoint of the task, 0 to 1. */
  readonly checkpoint?: number;
  /** Allocated capacity after the event: sum of the sizes of running tasks. */
  readonly promised: Size;
}

interface Task {
  readonly id: string;
  readonly start: TaskStart;
  state: TaskState;
  leaseUntilMs: number;
  /** Fraction of the work that is done, 0 to 1. */
  progress: number;
  /** Progress that the last checkpoint keeps. */
  checkpoint: number;
  /** Fraction of full speed; 1 unless the task is throttled. */
  share: number;
  /** Time of the last update of `progress`. */
  updatedMs: number;
  result?: string;
}

/** Interval at which running tasks are advanced. */
const STEP_INTERVAL_MS = 10;

const MAX_BODY_BYTES = 1024 * 1024;

/**
 * Fake of a worker of the platform. It simulates tasks under leases and echoes
 * service requests. It checks nothing but the leases: neither who calls, nor
 * whether a task id was used before, nor whether the tasks fit, so that every
 * such fault of the caller shows in the ledger. `GET /ledger` returns the start
 * and end of each task and request, `PUT /faults` sets faults.
 */
export class FakeWorkerServer {
  private readonly server = new JsonServer();
  private readonly tasks: Task[] = [];
  readonly ledger: LedgerEntry[] = [];
  private readonly timer: NodeJS.Timeout;
  /** Service requests in progress. */
  private busySlots = 0;
  readonly faults: WorkerFaults = {
    failEverything: false,
    requestDelayMs: 0,
    loseStartAnswers: 0,
    usageLagMs: 0,
    leaving: false,
  };

  constructor(
    readonly id: string,
    private readonly clock: () => number = Date.now,
  ) {
    this.timer = setInterval(() => this.advanceTasks(), STEP_INTERVAL_MS);
    this.addTaskRoutes();
    this.addServiceRoutes();
  }

  /** Starts to listen; resolves with the port. */
  listen(port: number, host = '127.0.0.1'): Promise<number> {
    return this.server.listen(port, host);
  }

  async close(): Promise<void> {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    await this.server.close();
  }

  /** Returns the worker as an instance of the instance list. */
  toInstance(
    port: number,
    dataCentre: string,
    rack: string,
    capacity: Size,
    services: readonly string[],
  ): Instance {
    return {
      id: this.id,
      role: InstanceRole.WORKER,
      start: 1,
      dataCentre,
      rack,
      host: '127.0.0.1',
      port,
      peerPort: 0,
      state: InstanceState.LIVE,
      capacity,
      services,
      slots: 8,
      connections: 64,
    };
  }

  /** Status of the worker and its tasks, the response of `GET /status`. */
  status(): WorkerStatus {
    this.advanceTasks();
    return {
      id: this.id,
      nowMs: this.clock(),
      leaving: this.faults.leaving,
      tasks: this.tasks.map(task => this.describeTask(task)),
    };
  }

  private describeTask(task: Task): TaskStatus {
    return {
      task: task.id,
      job: task.start.job,
      kind: task.start.kind,
      state: task.state,
      leaseUntilMs: task.leaseUntilMs,
      size: task.start.size,
      usage: task.state === TaskState.RUNNING ? task.start.size : EMPTY_SIZE,
      progress: task.progress,
      checkpoint: task.checkpoint,
      result: task.result,
    };
  }

  private addTaskRoutes(): void {
    this.server
      .route('GET', '/status', exchange =>
        sendJson(exchange.response, 200, this.status()),
      )
      .route('PUT', '/tasks/{task}', exchange => this.startTask(exchange))
      .route('POST', '/leases', async exchange => {
        const body = await readJson(exchange, MAX_BODY_BYTES);
        const {leases} = body as {leases: Record<string, number>};
        this.advanceTasks();
        for (const [id, untilMs] of Object.entries(leases)) {
          const task = this.findRunningTask(id);
          if (task !== undefined) task.leaseUntilMs = untilMs;
        }
        sendJson(exchange.response, 200, this.status());
      })
      .route('POST', '/tasks/{task}/checkpoint', exchange => {
        this.advanceTasks();
        const task = this.findRunningTask(exchange.parameters.task);
        if (task !== undefined) task.checkpoint = task.progress;
        sendJson(exchange.response, 200, this.status());
      })
      .route('POST', '/tasks/{task}/throttle', async exchange => {
        const body = await readJson(exchange, MAX_BODY_BYTES);
        this.advanceTasks();
        const task = this.findRunningTask(exchange.parameters.task);
        if (task !== undefined) task.share = (body as {share: number}).share;
        sendJson(exchange.response, 200, this.status());
      })
      .route('POST', '/tasks/{task}/stop', exchange => {
        this.advanceTasks();
        const task = this.findRunningTask(exchange.parameters.task);
        if (task !== undefined) this.endTask(task, TaskState.STOPPED);
        sendJson(exchange.response, 200, this.status());
      })
      .route('DELETE', '/tasks/{task}', exchange => {
        this.forgetTask(exchange.parameters.task);
        sendJson(exchange.response, 200, this.status());
      })
      .route('GET', '/ledger', exchange =>
        sendJson(exchange.response, 200, this.ledger),
      )
      .route('PUT', '/faults', async exchange => {
        const body = await readJson(exchange, MAX_BODY_BYTES);
        Object.assign(this.faults, body);
        sendJson(exchange.response, 200, this.faults);
      });
  }

  private addServiceRoutes(): void {
    this.server.route('*', '/services/{service}/{path...}', exchange =>
      this.handleServiceRequest(exchange),
    );
  }

  private async startTask(exchange: Exchange): Promise<void> {
    const body = await readJson(exchange, MAX_BODY_BYTES);
    const start = body as TaskStart;
    const id = exchange.parameters.task;
    if (start.leaseUntilMs <= this.clock()) {
      this.addToLedger('late-start', {task: id, job: start.job});
      sendJson(exchange.response, 409, {error: 'lease_lapsed'});
      return;
    }
    const task: Task = {
      id,
      start,
      state: TaskState.RUNNING,
      leaseUntilMs: start.leaseUntilMs,
      progress: start.checkpoint ?? 0,
      checkpoint: start.checkpoint ?? 0,
      share: 1,
      updatedMs: this.clock(),
    };
    this.tasks.push(task);
    this.addToLedger('start', {
      task: id,
      job: start.job,
      checkpoint: task.checkpoint,
    });
    if (this.faults.failEverything) this.endTask(task, TaskState.FAILED);
    if (this.faults.loseStartAnswers > 0) {
      this.faults.loseStartAnswers--;
      exchange.response.destroy();
      return;
    }
    sendJson(exchange.response, 201, this.status());
  }

  private async handleServiceRequest(exchange: Exchange): Promise<void> {
    const {request, response} = exchange;
    const key = request.headers['idempotency-key'] as string | undefined;
    const body = await readBody({request}, MAX_BODY_BYTES);
    this.addToLedger('request', {key});
    this.busySlots++;
    const workMs = request.headers['x-work-ms'];
    const delayMs = this.faults.requestDelayMs + Number(workMs ?? 0);
    if (delayMs > 0) {
      await new Promise(resolve => setTimeout(resolve, delayMs));
    }
    this.busySlots--;
    this.addToLedger('request-end', {key});
    if (this.faults.leaving) response.setHeader('x-leaving', 'true');
    response.setHeader('x-busy-slots', String(this.busySlots));
    if (this.faults.failEverything) {
      sendJson(response, 500, {error: 'failed'});
      return;
    }
    sendJson(response, 200, {
      worker: this.id,
      service: exchange.parameters.service,
      path: exchange.parameters.path,
      echo: body.toString('utf8'),
    });
  }

  private findRunningTask(id: string): Task | undefined {
    return this.tasks.find(
      task => task.id === id && task.state === TaskState.RUNNING,
    );
  }

  /** Drops the tasks of this id that have ended. */
  private forgetTask(id: string): void {
    for (let i = this.tasks.length - 1; i >= 0; i--) {
      const task = this.tasks[i];
      if (task.id === id && task.state !== TaskState.RUNNING) {
        this.tasks.splice(i, 1);
      }
    }
  }

  /** Advances running tasks; ends those that finish or whose leases end. */
  private advanceTasks(): void {
    const nowMs = this.clock();
    for (const task of this.tasks) {
      if (task.state !== TaskState.RUNNING) continue;
      const workedUntilMs = Math.min(nowMs, task.leaseUntilMs);
      const workedMs = Math.max(0, workedUntilMs - task.updatedMs) * task.share;
      task.progress += workedMs / Math.max(1, task.start.runMs);
      task.updatedMs = nowMs;
      if (task.progress >= 1) {
        task.progress = 1;
        task.result = `result of ${task.start.job}`;
        this.endTask(task, TaskState.FINISHED);
      } else if (nowMs >= task.leaseUntilMs) {
        this.endTask(task, TaskState.EXPIRED);
      }
    }
  }

  private endTask(task: Task, state: TaskState): void {
    task.state = state;
    this.addToLedger(state, {
      task: task.id,
      job: task.start.job,
      checkpoint: task.checkpoint,
    });
  }

  private addToLedger(
    event: LedgerEntry['event'],
    fields: {task?: string; job?: string; key?: string; checkpoint?: number},
  ): void {
    let promised = EMPTY_SIZE;
    for (const task of this.tasks) {
      if (task.state === TaskState.RUNNING) {
        promised = addSizes(promised, task.start.size);
      }
    }
    this.ledger.push({
      timeMs: this.clock(),
      worker: this.id,
      event,
      ...fields,
      promised,
    });
  }
}
