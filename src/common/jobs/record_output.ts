import {Millis} from '../base/clock.js';
import {splitIntoCheckpointParts} from './checkpoint_parts.js';
import {SchedulerState} from './scheduler_state.js';
import {SchedulerAction} from './types.js';

/** Passes the queued records to the writer, in order. */
export function* flushRecords(
  state: SchedulerState,
): Generator<SchedulerAction> {
  if (state.term === undefined || !state.logAvailable) return;
  if (state.outbox.length === 0) return;
  const entries = state.outbox;
  state.outbox = [];
  state.inFlight.push(...entries);
  yield {kind: 'append', entries};
}

/**
 * Appends a checkpoint of the job table when one is due: after `checkpointMs` if
 * anything was recorded, or after `checkpointRecords` records.
 */
export function* writeDueCheckpoint(
  state: SchedulerState,
  now: Millis,
): Generator<SchedulerAction> {
  const {term, table} = state;
  if (term === undefined || term.checkpointPending) return;
  if (!state.logAvailable || !state.mayAct(now)) return;
  const {checkpointMs, checkpointRecords} = state.settings;
  const records = table.recordsSinceCheckpoint;
  const intervalElapsed =
    records > 0 && now - term.lastCheckpointAt >= checkpointMs;
  if (!intervalElapsed && records < checkpointRecords) return;
  yield* flushRecords(state);
  term.checkpointPending = true;
  // The writer keeps the order, so the records in flight precede the checkpoint
  // in the stream and must be part of it.
  const copy = table.clone();
  for (const record of state.inFlight) copy.apply(record);
  for (const part of splitIntoCheckpointParts(copy)) {
    state.inFlight.push(part);
    yield {kind: 'append', entries: [part]};
  }
}
