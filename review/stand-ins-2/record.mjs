import {writeFileSync, appendFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';

/**
 * The record of a run: one line for each thing that was sent, answered or run,
 * with the milliseconds since the start of the script.
 */
export class Record {
  constructor(path) {
    this.path = path;
    this.startedAt = performance.now();
    this.lines = [];
    writeFileSync(path, '');
  }

  /** Milliseconds since the start of the script. */
  now() {
    return performance.now() - this.startedAt;
  }

  add(text) {
    this.lines.push(`${this.now().toFixed(0).padStart(7)} ms  ${text}`);
    if (this.lines.length >= 50) this.flush();
  }

  flush() {
    if (this.lines.length === 0) return;
    appendFileSync(this.path, this.lines.join('\n') + '\n');
    this.lines = [];
  }
}
