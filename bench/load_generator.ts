import {performance} from 'node:perf_hooks';
import {build, Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';

/** Result of one step of load. */
export interface LoadFigures {
  readonly requestsPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Answers with another status than 200. */
  readonly refused: number;
  /** Requests without an answer, or with one that is not whole. */
  readonly failed: number;
}

/** Latencies are recorded in microseconds. */
const MICROS = 1000;

/**
 * Time before the measurement in which connections are opened. Many at once
 * overflow the queue of a listener, and the system tries those again after a
 * second or more; that says nothing about the request path.
 */
const SETTLE_MS = 1500;

/** Length of a whole answer of the stand-in, in bytes. */
const ANSWER_BYTES = 256;

/**
 * Keeps `concurrency` requests under way for `durationMs`, each loop starting
 * the next when its last has ended, and spreads them over the origins.
 */
export async function generateLoad(
  origins: readonly string[],
  path: string,
  concurrency: number,
  durationMs: number,
): Promise<LoadFigures> {
  const perOrigin = Math.ceil(concurrency / origins.length);
  const pools = origins.map(
    origin => new Pool(origin, {connections: perOrigin, pipelining: 1}),
  );
  const histogram = build({
    highestTrackableValue: 60_000 * MICROS,
    numberOfSignificantValueDigits: 3,
  });
  const counts = {refused: 0, failed: 0};
  const started = performance.now() + SETTLE_MS;
  const span = {from: started, until: started + durationMs};
  const loops = Array.from({length: concurrency}, (unused, i) =>
    loop(pools[i % pools.length], path, span, histogram, counts),
  );
  await Promise.all(loops);
  const seconds = (performance.now() - started) / 1000;
  await Promise.all(pools.map(pool => pool.close()));
  const percentile = (p: number) => histogram.getValueAtPercentile(p) / MICROS;
  return {
    requestsPerSecond: Math.round(histogram.totalCount / seconds),
    p50Ms: percentile(50),
    p99Ms: percentile(99),
    ...counts,
  };
}

async function loop(
  pool: Pool,
  path: string,
  {from, until}: {from: number; until: number},
  histogram: Histogram,
  counts: {refused: number; failed: number},
): Promise<void> {
  for (;;) {
    const begin = performance.now();
    if (begin >= until) return;
    try {
      const answer = await pool.request({path, method: 'GET'});
      const bytes = (await answer.body.arrayBuffer()).byteLength;
      if (answer.statusCode !== 200) counts.refused++;
      else if (bytes !== ANSWER_BYTES) counts.failed++;
      else if (begin >= from) {
        const micros = Math.round((performance.now() - begin) * MICROS);
        histogram.recordValue(Math.max(1, micros));
      }
    } catch {
      counts.failed++;
    }
  }
}
