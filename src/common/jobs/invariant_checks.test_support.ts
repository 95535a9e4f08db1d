import {EMPTY_SIZE, Size, addSizes, fits, subtractSizes} from '../base/size.js';
import {FakeDataCentre, TEAM_QUOTA} from './fake_data_centre.test_support.js';
import {ExecutionEvent} from './fake_worker.test_support.js';

/** Tolerance for rounding errors of computed end times, in milliseconds. */
const ROUNDING_TOLERANCE_MS = 1e-3;

/**
 * Sorts a ledger by time. An end comes before the starts of other tasks at the
 * same time, but not before the start of its own task.
 */
function sortByTime(ledger: readonly ExecutionEvent[]): ExecutionEvent[] {
  const startKeys = new Map<string, number>();
  const sortKeys = new Map<ExecutionEvent, number>();
  for (const entry of ledger) {
    if (entry.event === 'start') {
      const key = entry.time + ROUNDING_TOLERANCE_MS;
      startKeys.set(entry.task, key);
      sortKeys.set(entry, key);
    } else {
      const key = Math.max(entry.time, startKeys.get(entry.task) ?? 0);
      sortKeys.set(entry, key);
    }
  }
  return [...ledger].sort((a, b) => sortKeys.get(a)! - sortKeys.get(b)!);
}

/** A job never has two running tasks. */
export function checkOneTaskPerJob(
  ledger: readonly ExecutionEvent[],
): string[] {
  const running = new Map<string, string>();
  const errors: string[] = [];
  for (const {time, event, job, task, worker} of sortByTime(ledger)) {
    const other = running.get(job);
    if (event !== 'start') {
      if (other === task) running.delete(job);
    } else if (other !== undefined) {
      errors.push(`${task} starts on ${worker} at ${time} while ${other} runs`);
    } else {
      running.set(job, task);
    }
  }
  return errors;
}

/** A task id is started at most once. */
export function checkTaskIds(ledger: readonly ExecutionEvent[]): string[] {
  const starts = ledger.filter(({event}) => event === 'start');
  const ids = new Set(starts.map(({task}) => task));
  return ids.size === starts.length ? [] : ['a task id was started twice'];
}

/** The running tasks of a worker never exceed its capacity. */
export function checkCapacity({ledger, workers}: FakeDataCentre): string[] {
  const used = new Map([...workers.keys()].map(id => [id, EMPTY_SIZE]));
  const errors: string[] = [];
  for (const {time, event, worker, size} of sortByTime(ledger)) {
    const before = used.get(worker)!;
    if (event !== 'start') {
      used.set(worker, subtractSizes(before, size));
      continue;
    }
    const after = addSizes(before, size);
    used.set(worker, after);
    if (!fits(after, workers.get(worker)!.instance.capacity)) {
      errors.push(`${worker} exceeds its capacity at ${time}`);
    }
  }
  return errors;
}

/** The running tasks of a team never exceed its quota. */
export function checkQuotas({ledger, callers}: FakeDataCentre): string[] {
  const submissions = new Map(
    callers.map(({job, submission}) => [job, submission]),
  );
  const used = new Map<string, Size>();
  const errors: string[] = [];
  for (const {time, event, job, size} of sortByTime(ledger)) {
    const team = submissions.get(job)!.team;
    const before = used.get(team) ?? EMPTY_SIZE;
    const isStart = event === 'start';
    const after = (isStart ? addSizes : subtractSizes)(before, size);
    used.set(team, after);
    if (isStart && !fits(after, TEAM_QUOTA)) {
      errors.push(`team ${team} exceeds its quota at ${time}`);
    }
  }
  return errors;
}

/**
 * A non-idempotent job is started once; after that, only from the checkpoint with
 * which its last task was stopped.
 */
export function checkAtMostOnce({ledger, callers}: FakeDataCentre): string[] {
  const errors: string[] = [];
  for (const {job, submission} of callers) {
    if (submission.idempotent) continue;
    const entries = sortByTime(ledger).filter(entry => entry.job === job);
    const starts = entries.filter(({event}) => event === 'start');
    const initial = starts.filter(({checkpoint}) => checkpoint === 0);
    if (initial.length > 1) errors.push(`${job} started twice from progress 0`);
    for (const start of starts.slice(1)) {
      const earlier = entries.slice(0, entries.indexOf(start));
      const end = earlier.filter(({event}) => event !== 'start').pop();
      const resumes =
        end?.event === 'stopped' && end.checkpoint === start.checkpoint;
      if (!resumes) errors.push(`${start.task} does not resume a stopped task`);
    }
    const finishes = entries.filter(({event}) => event === 'finished');
    if (finishes.length > 1) errors.push(`${job} finished twice`);
  }
  return errors;
}

/** A claim is granted to at most one request. */
export function checkClaims({grantedClaims: grants}: FakeDataCentre): string[] {
  return grants
    .filter((key, index) => grants.indexOf(key) !== index)
    .map(key => `${key} was granted twice`);
}

/** A job that was always refused as certainly not run never ran. */
export function checkRefusals({ledger, callers}: FakeDataCentre): string[] {
  const started = new Set(ledger.map(({job}) => job));
  return callers
    .filter(({provenNotRun, job}) => provenNotRun && started.has(job))
    .map(({job}) => `${job} ran although it was refused as not run`);
}

/** A job has no task events after the answer that it was cancelled. */
export function checkCancelled({ledger, callers}: FakeDataCentre): string[] {
  const errors: string[] = [];
  for (const {job, cancelledAt} of callers) {
    if (cancelledAt === undefined) continue;
    const ranLater = ledger.some(
      entry => entry.job === job && entry.time > cancelledAt,
    );
    if (ranLater) errors.push(`${job} ran after it was cancelled`);
  }
  return errors;
}

/** Every accepted idempotent job finishes, unless it was cancelled. */
export function checkCompletion({ledger, callers}: FakeDataCentre): string[] {
  const finished = new Set(
    ledger.filter(({event}) => event === 'finished').map(({job}) => job),
  );
  return callers
    .filter(
      ({accepted, cancelRequested, submission}) =>
        accepted && !cancelRequested && submission.idempotent,
    )
    .filter(({job}) => !finished.has(job))
    .map(({job}) => `${job} never finished`);
}
