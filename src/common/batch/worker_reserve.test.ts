import {LeaseAccount} from './lease_account.js';
import {LEASE_TIMINGS} from './lease_timings.test_support.js';
import {ActiveJob, ActiveStep} from './active_job.js';
import {QUEUE, STEP} from './simulated_fleet.test_support.js';
import {listing} from './simulated_shard.test_support.js';
import {WorkerReserve} from './worker_reserve.js';
import {WorkerState} from './worker_state.js';

/** A step of perpetual tasks that take half of a worker each. */
function halfStep(): ActiveStep {
  const steps = [{...STEP, perpetual: true, cpuMilli: 2000}];
  const shape = {spec: '', steps, repeats: 0, startMs: 0, periodMs: 0};
  const submission = {queue: QUEUE, acceptedAt: 0, shape};
  return new ActiveJob('a', submission, QUEUE, 0).addOccurrence(0, 0).steps[0];
}

function workers(count: number, service = QUEUE.service): WorkerState[] {
  return Array.from({length: count}, (_, index) => {
    const worker = new WorkerState(
      `${service}-${index}`,
      new LeaseAccount(LEASE_TIMINGS),
    );
    worker.listing = listing(worker.id, 'a', {service});
    worker.capacity = worker.listing.capacity;
    return worker;
  });
}

describe('WorkerReserve', () => {
  const step = halfStep();

  function keptIds(all: readonly WorkerState[], reserve: WorkerReserve) {
    return all
      .filter(worker => !reserve.isLeftBy(step, worker))
      .map(({id}) => id);
  }

  it('keeps whole workers of each service', () => {
    // Guards against a reserve in parts that are too small for large tasks
    // (SHORT of cut-run on tuapapa-sched-large).
    const all = [...workers(40), ...workers(20, 'other')];
    const reserve = new WorkerReserve();
    reserve.update(all);
    const kept = keptIds(all, reserve);
    expect(kept.filter(id => id.startsWith('other'))).toHaveLength(3);
    expect(kept).toHaveLength(9);
  });

  it('keeps the same workers in each term, and nearly so after a loss', () => {
    // Guards against a reserve that a successor finds full of perpetual tasks.
    const all = workers(40);
    const reserve = new WorkerReserve();
    reserve.update(all);
    const kept = keptIds(all, reserve);
    const successor = new WorkerReserve();
    successor.update([...all].reverse());
    expect(keptIds(all, successor)).toEqual(kept);
    const rest = all.filter(({id}) => id !== kept[0]);
    successor.update(rest);
    const stillKept = keptIds(rest, successor);
    expect(kept.slice(1).every(id => stillKept.includes(id))).toBe(true);
  });

  it('keeps a part of each worker where perpetual tasks need more', () => {
    // Guards against a job with one task a worker that finds too few, as the
    // others are full.
    const all = workers(40);
    const reserve = new WorkerReserve();
    reserve.update(all, 6);
    expect(keptIds(all, reserve)).toHaveLength(6);
    reserve.update(all, 7);
    expect(keptIds(all, reserve)).toHaveLength(0);
    for (const worker of all) {
      worker.reserved = {cpuMilli: 1900, memoryMb: 0, gpus: 0};
    }
    expect(keptIds(all, reserve)).toHaveLength(40);
  });

  it('keeps a part of each worker where there are few', () => {
    // Guards against perpetual tasks without a worker, or a reserve of none.
    const all = workers(2);
    const [full, free] = all;
    full.reserved = {cpuMilli: 1900, memoryMb: 0, gpus: 0};
    const reserve = new WorkerReserve();
    reserve.update(all);
    expect(reserve.isLeftBy(step, full)).toBe(false);
    expect(reserve.isLeftBy(step, free)).toBe(true);
  });
});
