import {Dispatcher, Pool} from 'undici';
import {Disposable} from '../common/base/disposable.js';
import {Instance} from '../common/base/platform.js';
import {Millis, SECOND} from '../common/base/clock.js';
import {MAX_TARGET_CONNECTIONS} from '../common/routing/target_record.js';

/**
 * Keep-alive timeout of idle connections. Shorter than the 5 s after which a
 * Node.js server closes them, so that requests are rarely sent on a connection
 * that is being closed.
 */
const KEEP_ALIVE_TIMEOUT_MS: Millis = 4 * SECOND;

const CONNECT_TIMEOUT_MS: Millis = 1 * SECOND;

/** Connection pools, one for each target. */
export class TargetPools implements Disposable {
  private readonly pools = new Map<string, Pool>();

  /** @param targetIdleTimeoutMs timeout between chunks of a response body */
  constructor(private readonly targetIdleTimeoutMs: Millis) {}

  /** Returns the pool of a target, which is created on first use. */
  get(target: Instance): Dispatcher {
    const key = poolKey(target);
    let pool = this.pools.get(key);
    if (pool === undefined) {
      pool = this.createPool(target);
      this.pools.set(key, pool);
    }
    return pool;
  }

  /** Closes the pools of all other targets when their requests have ended. */
  retain(targets: readonly Instance[]): void {
    const retainedKeys = new Set(targets.map(poolKey));
    for (const [key, pool] of this.pools) {
      if (retainedKeys.has(key)) continue;
      this.pools.delete(key);
      void pool.close();
    }
  }

  dispose(): void {
    for (const pool of this.pools.values()) void pool.destroy();
    this.pools.clear();
  }

  private createPool(target: Instance): Pool {
    const host = target.host.includes(':') ? `[${target.host}]` : target.host;
    return new Pool(`http://${host}:${target.port}`, {
      connections: Math.min(target.connections, MAX_TARGET_CONNECTIONS),
      // One request at a time on a connection: a slow response delays no other
      // request, and a broken connection fails only one.
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connectTimeout: CONNECT_TIMEOUT_MS,
      // The deadline of each request limits the time to the response headers.
      headersTimeout: 0,
      bodyTimeout: this.targetIdleTimeoutMs,
    });
  }
}

/** A replaced instance can have the same id with a new address. */
function poolKey(target: Instance): string {
  return `${target.id}#${target.start}@${target.host}:${target.port}`;
}
