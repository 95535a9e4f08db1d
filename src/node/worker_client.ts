import {z} from 'zod';
import {Clock, Millis, SECOND} from '../common/base/clock.js';
import {Emitter, Event} from '../common/base/emitter.js';
import {Instance, TaskState, WorkerStatus} from '../common/base/platform.js';
import {SchedulerAction, SchedulerMessage} from '../common/jobs/types.js';
import {PlatformClient, PlatformErrorKind} from './platform_client.js';

const SIZE_SCHEMA = z.object({
  processors: z.number(),
  memoryMb: z.number(),
  accelerators: z.number(),
});

const TASK_STATES = Object.values(TaskState);

const STATUS_SCHEMA = z.object({
  id: z.string(),
  nowMs: z.number(),
  leaving: z.boolean(),
  tasks: z.array(
    z.object({
      task: z.string(),
      job: z.string(),
      kind: z.string(),
      state: z.enum(TASK_STATES as [TaskState, ...TaskState[]]),
      leaseUntilMs: z.number(),
      size: SIZE_SCHEMA,
      usage: SIZE_SCHEMA,
      progress: z.number(),
      checkpoint: z.number(),
      result: z.string().optional(),
    }),
  ),
});

const DEFAULT_TIMEOUT_MS: Millis = SECOND;

/** HTTP status of a start that a worker refuses because its lease lapsed. */
const LEASE_LAPSED_STATUS = 409;

/** Scheduler actions that are sent to a worker. */
export type WorkerAction = Exclude<
  Extract<SchedulerAction, {readonly worker: string}>,
  {readonly kind: 'violation'}
>;

interface WorkerRequest {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
}

type RequestBuilders = {
  readonly [K in WorkerAction['kind']]: (
    action: Extract<WorkerAction, {readonly kind: K}>,
  ) => WorkerRequest;
};

function taskPath(task: string, verb?: string): string {
  const path = `/tasks/${encodeURIComponent(task)}`;
  return verb === undefined ? path : `${path}/${verb}`;
}

const REQUEST_BUILDERS: RequestBuilders = {
  start: action => ({
    method: 'PUT',
    path: taskPath(action.task),
    body: action.start,
  }),
  // A poll also renews the leases that it carries.
  poll: action =>
    Object.keys(action.leases).length === 0
      ? {method: 'GET', path: '/status'}
      : {method: 'POST', path: '/leases', body: {leases: action.leases}},
  'checkpoint-task': action => ({
    method: 'POST',
    path: taskPath(action.task, 'checkpoint'),
    body: {},
  }),
  'throttle-task': action => ({
    method: 'POST',
    path: taskPath(action.task, 'throttle'),
    body: {share: action.share},
  }),
  'stop-task': action => ({
    method: 'POST',
    path: taskPath(action.task, 'stop'),
    body: {},
  }),
  'forget-task': action => ({method: 'DELETE', path: taskPath(action.task)}),
};

/**
 * Sends the scheduler's actions to workers. Each request is sent once, without
 * retries; its outcome is reported to the scheduler as a message.
 */
export class WorkerClient {
  private readonly emitter = new Emitter<SchedulerMessage>();

  /** Fires with the status or the failure that each request returns. */
  readonly onMessage: Event<SchedulerMessage> = this.emitter.event;

  constructor(
    private readonly client: PlatformClient,
    private readonly clock: Clock,
    private readonly timeoutMs: Millis = DEFAULT_TIMEOUT_MS,
  ) {}

  /** Sends an action to a worker and fires `onMessage` with its outcome. */
  async send(worker: Instance, action: WorkerAction): Promise<void> {
    const buildRequest = REQUEST_BUILDERS[action.kind] as (
      action: WorkerAction,
    ) => WorkerRequest;
    const call = buildRequest(action);
    const sentAt = this.clock.now();
    const url = `http://${worker.host}:${worker.port}${call.path}`;
    const result = await this.client.call(
      call.method,
      url,
      call.body,
      this.timeoutMs,
    );
    const receivedAt = this.clock.now();
    result.caseOf({
      Right: ({status, body}) => {
        if (action.kind === 'start' && status === LEASE_LAPSED_STATUS) {
          this.emitter.fire({
            kind: 'start-refused',
            worker: worker.id,
            task: action.task,
          });
          return;
        }
        this.handleStatus(worker, body, sentAt, receivedAt);
      },
      Left: error => {
        const refused = error.kind === PlatformErrorKind.REFUSED;
        if (action.kind === 'start' && refused) {
          // The worker didn't receive the start, so it can't have run.
          this.emitter.fire({
            kind: 'start-refused',
            worker: worker.id,
            task: action.task,
          });
        }
        this.emitter.fire({kind: 'worker-unreachable', worker: worker.id});
      },
    });
  }

  private handleStatus(
    worker: Instance,
    body: unknown,
    sentAt: Millis,
    receivedAt: Millis,
  ): void {
    const status = STATUS_SCHEMA.safeParse(body);
    if (!status.success || status.data.id !== worker.id) {
      this.emitter.fire({kind: 'worker-unreachable', worker: worker.id});
      return;
    }
    this.emitter.fire({
      kind: 'worker-status',
      worker: worker.id,
      status: status.data as WorkerStatus,
      sentAt,
      receivedAt,
    });
  }
}
