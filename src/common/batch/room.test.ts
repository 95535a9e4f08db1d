import {LeaseAccount} from './lease_account.js';
import {LEASE_TIMINGS} from './lease_timings.test_support.js';
import {Room, roomOf, tasksInRoom} from './room.js';
import {STEP} from './simulated_fleet.test_support.js';
import {StepShape} from './types.js';
import {WorkerState} from './worker_state.js';

function worker(cpuMilli: number, reservedMilli: number): WorkerState {
  const state = new WorkerState('w', new LeaseAccount(LEASE_TIMINGS));
  state.capacity = {cpuMilli, memoryMb: 1000, gpus: 0};
  state.reserved = {cpuMilli: reservedMilli, memoryMb: 0, gpus: 0};
  return state;
}

/** Tasks for which there is room, by what they need apart from memory. */
function tasksOf(room: Room, change: Partial<StepShape>): number {
  return tasksInRoom(room, {...STEP, memoryMb: 1, ...change});
}

describe('room of workers', () => {
  it('counts whole tasks on each worker', () => {
    // Guards against a shard that seems to have room because many workers have
    // a little left, so that tasks are sent there in vain.
    const room = roomOf([
      worker(64_000, 52_000),
      worker(64_000, 52_000),
      worker(96_000, 54_500),
    ]);
    expect(tasksOf(room, {cpuMilli: 13_000})).toBe(3);
    expect(tasksOf(room, {cpuMilli: 21_000})).toBe(1);
    expect(tasksOf(room, {cpuMilli: 42_000})).toBe(0);
  });

  it('has none on workers that are overcommitted', () => {
    // Guards against negative room after a worker has lost processors.
    expect(tasksOf(roomOf([worker(4000, 6000)]), {cpuMilli: 1000})).toBe(0);
  });

  it('is limited by memory, GPUs and the tasks allowed on a worker', () => {
    // Guards against tasks that are sent to workers with idle processors on
    // which something else is missing.
    const room = roomOf([worker(64_000, 0), worker(64_000, 0)]);
    expect(tasksOf(room, {cpuMilli: 1000, memoryMb: 300})).toBe(4);
    const withGpus = worker(64_000, 0);
    withGpus.capacity = {cpuMilli: 64_000, memoryMb: 1000, gpus: 2};
    withGpus.reserved = {cpuMilli: 0, memoryMb: 0, gpus: 1};
    expect(tasksOf(roomOf([withGpus]), {cpuMilli: 1000, gpus: 1})).toBe(1);
    expect(tasksOf(room, {cpuMilli: 1000, maxPerWorker: 1})).toBe(2);
  });

  it('of best-effort tasks needs memory only', () => {
    // Guards against best-effort jobs that stay in a shard without memory, as
    // workers whose processors are reserved elsewhere seem full.
    const room = roomOf([worker(64_000, 64_000)]);
    expect(tasksOf(room, {cpuMilli: 7000, fills: true, memoryMb: 300})).toBe(2);
  });

  it('is known without memory from a record of an earlier version', () => {
    // Guards against shards that seem full while versions are mixed.
    expect(tasksOf([[4000, 2]], {cpuMilli: 1000, memoryMb: 300})).toBe(8);
  });

  it('stays small for many workers', () => {
    // Guards against heartbeats that grow with the number of workers.
    const workers = Array.from({length: 400}, (_, index) =>
      worker(64_000, (index % 65) * 1000),
    );
    const room: Room = roomOf(workers);
    expect(room.length).toBeLessThanOrEqual(65);
  });
});
