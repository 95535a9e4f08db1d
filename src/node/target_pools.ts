import {Dispatcher, Pool} from 'undici';
import {Disposable} from '../common/base/disposable.js';
import {Instance} from '../common/base/platform.js';
import {Millis, SECOND} from '../common/base/clock.js';
import {MAX_TARGET_CONNECTIONS} from '../common/routing/target_record.js';

/**
 * How long an unused connection is kept. Shorter than the 5 s after which a
 * Node server closes one, so that requests rarely meet a closing connection.
 */
const KEEP_ALIVE_MS: Millis = 4 * SECOND;

/** How long a connection may take to be set up. */
const CONNECT_TIMEOUT_MS: Millis = 1 * SECOND;

/** Keeps a pool of connections for each target. */
export class TargetPools implements Disposable {
  private readonly pools = new Map<string, Pool>();

  constructor(private readonly targetIdleMs: Millis) {}

  /** Returns the pool of a target, which is opened at the first use. */
  get(target: Instance): Dispatcher {
    const key = keyOf(target);
    let pool = this.pools.get(key);
    if (pool === undefined) {
      pool = this.open(target);
      this.pools.set(key, pool);
    }
    return pool;
  }

  /** Closes the pools of all other targets once their requests have ended. */
  retain(targets: readonly Instance[]): void {
    const kept = new Set(targets.map(keyOf));
    for (const [key, pool] of this.pools) {
      if (kept.has(key)) continue;
      this.pools.delete(key);
      void pool.close();
    }
  }

  dispose(): void {
    for (const pool of this.pools.values()) void pool.destroy();
    this.pools.clear();
  }

  private open(target: Instance): Pool {
    const host = target.host.includes(':') ? `[${target.host}]` : target.host;
    return new Pool(`http://${host}:${target.port}`, {
      connections: Math.min(target.connections, MAX_TARGET_CONNECTIONS),
      // One request at a time on a connection: a slow answer holds up no other
      // and a broken connection breaks one request.
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      connectTimeout: CONNECT_TIMEOUT_MS,
      // The deadline of each request bounds the time to the answer.
      headersTimeout: 0,
      bodyTimeout: this.targetIdleMs,
    });
  }
}

/** A replaced instance may have a new address under the same id. */
function keyOf(target: Instance): string {
  return `${target.id}#${target.start}@${target.host}:${target.port}`;
}
