// Records what was sent, answered and run, and judges TWICE as the rule says.
import {appendFileSync, writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';

export class Judge {
  /** All runs, in the order of their starts. */
  runs = [];
  #beganAt = performance.now();
  #lines = [];

  /** @param path of the record. */
  constructor(path) {
    this.path = path;
    writeFileSync(path, '');
  }

  get now() {
    return performance.now() - this.#beganAt;
  }

  log(event, fields) {
    const seconds = (this.now / 1000).toFixed(3).padStart(8);
    this.#lines.push(`${seconds} ${event} ${JSON.stringify(fields)}`);
  }

  /** Writes the lines that were collected. */
  flush() {
    if (this.#lines.length === 0) return;
    appendFileSync(this.path, this.#lines.join('\n') + '\n');
    this.#lines = [];
  }

  onStart({worker, task, attempt, spec, checkpoint}) {
    const run = {worker, task, attempt, spec, checkpoint, startedAt: this.now};
    this.runs.push(run);
    this.log('start', {worker, task, attempt});
    return run;
  }

  onEnd(run, how) {
    run.endedAt = this.now;
    run.how = how;
    const {worker, task, attempt} = run;
    this.log('end', {worker, task, attempt, how});
  }

  /** A run ends because its worker is gone; the end is not listed. */
  onGone(run) {
    run.endedAt = this.now;
    run.how = 'gone';
    const {worker, task, attempt} = run;
    this.log('gone', {worker, task, attempt});
  }

  /** An end was reached by `ack-cursor`. */
  onNoted(run) {
    if (run.notedAt !== undefined) return;
    run.notedAt = this.now;
    const {worker, task, attempt, how} = run;
    this.log('noted', {worker, task, attempt, how});
  }

  /** The lease of a worker lapses; these ends are not taken note of by then. */
  onLapse(runs) {
    for (const run of runs) run.lapsedBeforeNote = true;
  }

  /**
   * Breaks of TWICE: two runs of a task at the same time, or a start after a
   * run has ended `done`, if that end is taken note of then or later.
   */
  twice() {
    const breaks = [];
    const byTask = new Map();
    for (const run of this.runs) {
      const earlier = byTask.get(run.task) ?? [];
      for (const other of earlier) {
        const both = `${run.task}: run ${other.attempt} on ${other.worker}, run ${run.attempt} on ${run.worker}`;
        if ((other.endedAt ?? Infinity) > run.startedAt) {
          const until = Math.min(
            other.endedAt ?? this.now,
            run.endedAt ?? this.now,
          );
          const ms = Math.round(until - run.startedAt);
          breaks.push(`${both}, at the same time for ${ms} ms`);
        } else if (
          other.how === 'done' &&
          other.notedAt !== undefined &&
          !other.lapsedBeforeNote
        ) {
          const ms = Math.round(run.startedAt - other.endedAt);
          breaks.push(`${both}, started ${ms} ms after the end as done`);
        }
      }
      byTask.set(run.task, [...earlier, run]);
    }
    return breaks;
  }
}
