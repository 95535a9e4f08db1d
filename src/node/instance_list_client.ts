import {z} from 'zod';
import {Clock, Millis, SECOND} from '../common/base/clock.js';
import {Disposable} from '../common/base/disposable.js';
import {Emitter, Event} from '../common/base/emitter.js';
import {
  Instance,
  InstanceRole,
  InstanceState,
} from '../common/base/platform.js';
import {PlatformClient} from './platform_client.js';

const AMOUNT_SCHEMA = z.number().nonnegative();

const INSTANCE_SCHEMA = z.object({
  id: z.string().min(1),
  role: z.enum([InstanceRole.ENTRY, InstanceRole.WORKER]),
  start: z.number(),
  dataCentre: z.string(),
  rack: z.string(),
  host: z.string(),
  port: z.number().int(),
  peerPort: z.number().int(),
  state: z.enum([InstanceState.LIVE, InstanceState.LEAVING]),
  capacity: z.object({
    processors: AMOUNT_SCHEMA,
    memoryMb: AMOUNT_SCHEMA,
    accelerators: AMOUNT_SCHEMA,
  }),
  services: z.array(z.string()),
  slots: z.number().int().nonnegative(),
  connections: z.number().int().nonnegative(),
});

const LIST_SCHEMA = z.object({
  version: z.number(),
  instances: z.array(z.unknown()),
});

const POLL_INTERVAL_MS: Millis = SECOND;
const DEFAULT_TIMEOUT_MS: Millis = SECOND;

/** A non-empty instance list, as one poll returned it. */
export interface InstanceListUpdate {
  readonly instances: readonly Instance[];
  /** Local time at which the poll was sent, on the monotonic clock. */
  readonly sentAt: Millis;
}

/**
 * Polls the platform's instance list. An empty list is treated as a fault of
 * the platform: the last non-empty list is kept. Malformed entries are left out
 * and counted.
 */
export class InstanceListClient implements Disposable {
  private readonly emitter = new Emitter<InstanceListUpdate>();
  private timer: NodeJS.Timeout | undefined;
  private disposed = false;
  private latest: readonly Instance[] = [];
  private malformedCount = 0;

  /** Fires for every poll that returns a non-empty list. */
  readonly onList: Event<InstanceListUpdate> = this.emitter.event;

  constructor(
    private readonly client: PlatformClient,
    private readonly baseUrl: string,
    private readonly clock: Clock,
    private readonly timeoutMs: Millis = DEFAULT_TIMEOUT_MS,
  ) {}

  /** Instances of the last non-empty list. */
  get instances(): readonly Instance[] {
    return this.latest;
  }

  /** Number of malformed entries in the last list. */
  get malformed(): number {
    return this.malformedCount;
  }

  start(): void {
    void this.poll();
  }

  dispose(): void {
    this.disposed = true;
    clearTimeout(this.timer);
    this.emitter.dispose();
  }

  private async poll(): Promise<void> {
    const sentAt = this.clock.now();
    const result = await this.client.call(
      'GET',
      `${this.baseUrl}/instances`,
      undefined,
      this.timeoutMs,
    );
    if (this.disposed) return;
    result.ifRight(({body}) => this.handleList(body, sentAt));
    this.timer = setTimeout(() => void this.poll(), POLL_INTERVAL_MS);
  }

  private handleList(body: unknown, sentAt: Millis): void {
    const list = LIST_SCHEMA.safeParse(body);
    if (!list.success) return;
    const parsed = list.data.instances.map(entry =>
      INSTANCE_SCHEMA.safeParse(entry),
    );
    const instances = parsed.flatMap(entry =>
      entry.success ? [entry.data] : [],
    );
    this.malformedCount = parsed.length - instances.length;
    if (instances.length === 0) return;
    this.latest = instances;
    this.emitter.fire({instances, sentAt});
  }
}
