import {performance} from 'node:perf_hooks';
import {Either, Right} from 'purify-ts';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {Instance} from '../common/base/platform.js';
import {Refusal} from '../common/base/refusal.js';
import {EMPTY_SIZE} from '../common/base/size.js';
import {ClaimAnswer} from '../common/jobs/types.js';
import {Router} from '../common/routing/router.js';
import {RoutingPolicy, ServiceConfiguration} from '../common/tickets/types.js';
import {FakeWorkerServer} from '../../test_support/fake_worker_server.js';
import {JsonServer} from './json_server.js';
import {
  ClaimOutcome,
  ClaimSource,
  ProxyOptions,
  RequestEnd,
} from './proxy_types.js';
import {ServiceProxy} from './service_proxy.js';

/** Grants each key once and records how its claim ended. */
export class FakeClaims implements ClaimSource {
  readonly requestedKeys: string[] = [];
  readonly open = new Set<string>();
  readonly outcomes = new Map<string, ClaimOutcome>();
  /** Replaces the result of `claim` if it is set. */
  answerOverride: (() => Promise<Either<Refusal, ClaimAnswer>>) | undefined;

  async claim(key: string): Promise<Either<Refusal, ClaimAnswer>> {
    this.requestedKeys.push(key);
    if (this.answerOverride !== undefined) return this.answerOverride();
    const outcome = this.outcomes.get(key);
    if (this.open.has(key) || typeof outcome === 'number') {
      const status = typeof outcome === 'number' ? outcome : undefined;
      const state = status === undefined ? 'open' : 'ended';
      const held = {key, instance: 'e1', timeMs: 0, state, status} as const;
      return Right({granted: false, held});
    }
    this.open.add(key);
    return Right({granted: true});
  }

  endClaim(key: string, outcome: ClaimOutcome): void {
    this.open.delete(key);
    this.outcomes.set(key, outcome);
  }
}

/** Options of a fixture. */
export interface FixtureSetup {
  /** Number of workers; 0 by default. */
  readonly workers?: number;
  readonly options?: Partial<ProxyOptions>;
  readonly service?: Partial<ServiceConfiguration>;
  /** Targets in addition to the workers, such as misbehaving servers. */
  readonly targets?: readonly Instance[];
}

/** Long enough that no test fails on a busy machine. */
const DEADLINE_MS = 30_000;

/** A proxy on a loopback port, with its workers in the same process. */
export class ProxyFixture {
  readonly claims = new FakeClaims();
  /** Results of the requests that have ended, in order. */
  readonly ends: RequestEnd[] = [];
  readonly workers: FakeWorkerServer[] = [];
  readonly server = new JsonServer();
  readonly router = new Router(xoroshiro128plus(1));
  targets: Instance[] = [];
  proxy!: ServiceProxy;
  origin = '';

  static async create(setup: FixtureSetup = {}): Promise<ProxyFixture> {
    const fixture = new ProxyFixture();
    await fixture.start(setup);
    return fixture;
  }

  private async start(setup: FixtureSetup): Promise<void> {
    for (let i = 0; i < (setup.workers ?? 0); i++) {
      const worker = new FakeWorkerServer(`w${i}`);
      const port = await worker.listen(0);
      this.workers.push(worker);
      this.targets.push(
        worker.toInstance(port, 'north', 'r1', EMPTY_SIZE, ['s']),
      );
    }
    this.targets.push(...(setup.targets ?? []));
    const service: ServiceConfiguration = {
      reservation: EMPTY_SIZE,
      routing: RoutingPolicy.TWO_CHOICES,
      queueLimit: 1000,
      deadlineMs: DEADLINE_MS,
      retryBudget: 0.1,
      ...setup.service,
    };
    this.proxy = new ServiceProxy(
      {
        router: this.router,
        claims: this.claims,
        clock: {now: () => performance.now()},
        wallClock: Date.now,
        service: name => (name === 's' ? service : undefined),
      },
      setup.options,
    );
    this.proxy.onRequestEnd(end => this.ends.push(end));
    this.proxy.update({
      dataCentre: 'north',
      entryInstances: 1,
      targets: this.targets,
      services: {s: service},
    });
    this.proxy.mount(this.server);
    const port = await this.server.listen(0, '127.0.0.1');
    this.origin = `http://127.0.0.1:${port}`;
  }

  async close(): Promise<void> {
    this.proxy.dispose();
    this.server.closeAllConnections();
    await this.server.close();
    await Promise.all(this.workers.map(worker => worker.close()));
  }
}
