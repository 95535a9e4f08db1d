import * as fc from 'fast-check';
import {JobAdmission, JobVerdict} from './job_admission.js';
import {JobCaller, JobHolding} from './job_memory.js';

const LIMIT_BYTES = 16_000_000;
const JOB_BYTES = 2500;

function connection(source: string): JobCaller {
  return {source, heldBytes: 0};
}

function jobOf(
  caller: JobCaller,
  {queue = 'cuts', bytes = JOB_BYTES} = {},
): JobHolding {
  return {queue, source: caller.source, bytes, caller};
}

describe('JobAdmission', () => {
  let now: number;
  let instances: number;
  let admission: JobAdmission;
  let lastId: number;

  beforeEach(() => {
    now = 0;
    lastId = 0;
    instances = 1;
    admission = new JobAdmission({
      now: () => now,
      limitBytes: () => LIMIT_BYTES,
      instances: () => instances,
    });
  });

  function accept(holding: JobHolding): JobVerdict {
    return admission.accept(String(++lastId), holding);
  }

  /** Submits jobs until one is not accepted; returns their number. */
  function flood(next: () => JobHolding): number {
    let accepted = 0;
    while (accept(next()) === JobVerdict.ACCEPTED) accepted++;
    return accepted;
  }

  it('keeps half of the memory from one connection that submits all it can', () => {
    // One client's flood left no memory for the jobs of the others.
    const flooding = connection('1.1.1.1');
    flood(() => jobOf(flooding));
    expect(admission.memory.total).toBeLessThanOrEqual(LIMIT_BYTES / 2);
    const other = connection('2.2.2.2');
    expect(accept(jobOf(other))).toBe(JobVerdict.ACCEPTED);
  });

  it('accepts an ordinary job from the address of a flooding client', () => {
    // Callers behind one proxy have one address.
    const connections = Array.from({length: 50}, () => connection('1.1.1.1'));
    for (const each of connections) flood(() => jobOf(each));
    expect(accept(jobOf(connection('1.1.1.1')))).toBe(JobVerdict.ACCEPTED);
  });

  it('keeps memory from a client that connects again for each job', () => {
    // A new connection holds nothing, so only the address tells such clients.
    flood(() => jobOf(connection('1.1.1.1')));
    expect(admission.memory.total).toBeLessThan(LIMIT_BYTES * 0.95);
    expect(accept(jobOf(connection('2.2.2.2')))).toBe(JobVerdict.ACCEPTED);
  });

  it('keeps memory from a queue that many clients fill', () => {
    let address = 0;
    flood(() => jobOf(connection(`1.1.1.${address++}`)));
    const other = connection('2.2.2.2');
    expect(accept(jobOf(other, {queue: 'nests'}))).toBe(JobVerdict.ACCEPTED);
  });

  it('accepts a job of half the memory while there is no other', () => {
    // A single job within the limits is served in calm.
    const large = jobOf(connection('1.1.1.1'), {bytes: LIMIT_BYTES / 2});
    instances = 8;
    admission.onIntakeRead();
    expect(accept(large)).toBe(JobVerdict.ACCEPTED);
  });

  it('accepts no more than its part of the free memory between two reads', () => {
    // Instances learn of the jobs that others accept only when they read.
    instances = 4;
    admission.onIntakeRead();
    let address = 0;
    const next = () => jobOf(connection(`1.1.1.${address++}`));
    flood(next);
    expect(admission.memory.total).toBeLessThanOrEqual(LIMIT_BYTES / 4);
    admission.onIntakeRead();
    expect(accept(next())).toBe(JobVerdict.ACCEPTED);
  });

  it('goes on to decide in an outage in which nothing is stored', () => {
    // Callers were told that there is no memory, and not that the store is down.
    instances = 50;
    admission.onIntakeRead();
    for (let i = 0; i < 1000; i++) {
      const holding = jobOf(connection('1.1.1.1'));
      expect(admission.accept(String(i), holding)).toBe(JobVerdict.ACCEPTED);
      admission.abandon(String(i), true);
    }
    expect(admission.memory.total).toBe(0);
  });

  it('never lets several instances exceed the limit together', () => {
    // Each accepts what it may between two reads, without knowing the others'.
    const peers = Array.from(
      {length: 5},
      () =>
        new JobAdmission({
          now: () => now,
          limitBytes: () => LIMIT_BYTES,
          instances: () => 5,
        }),
    );
    const accepted: Array<[string, JobHolding]> = [];
    for (let round = 0; round < 50; round++) {
      for (const peer of peers) {
        for (const [id, holding] of accepted) peer.memory.hold(id, holding);
        peer.onIntakeRead();
      }
      for (const peer of peers) {
        for (;;) {
          const id = String(++lastId);
          const holding = jobOf(connection(id), {queue: id});
          if (peer.accept(id, holding) !== JobVerdict.ACCEPTED) break;
          accepted.push([id, holding]);
        }
      }
    }
    expect(accepted.length * JOB_BYTES).toBeGreaterThan(LIMIT_BYTES * 0.9);
    expect(accepted.length * JOB_BYTES).toBeLessThanOrEqual(LIMIT_BYTES);
  });

  it('tells how long the missing memory takes to be released', () => {
    // Callers came back before there was room, or long after they had given up.
    const caller = connection('1.1.1.1');
    admission.memory.hold('a', jobOf(caller, {bytes: LIMIT_BYTES}));
    expect(admission.releaseTimeMs(JOB_BYTES)).toBe(Infinity);
    admission.memory.resize('a', LIMIT_BYTES - 1);
    now = 1000;
    const slow = admission.releaseTimeMs(JOB_BYTES);
    admission.memory.resize('a', LIMIT_BYTES - 1000);
    expect(admission.releaseTimeMs(JOB_BYTES)).toBeLessThan(slow);
    admission.memory.release('a');
    expect(admission.releaseTimeMs(JOB_BYTES)).toBe(0);
  });

  it('counts exactly the jobs that are held', () => {
    // A sum that leaks refuses ordinary jobs for ever.
    const step = fc.record({
      kind: fc.constantFrom('hold', 'resize', 'release'),
      id: fc.nat({max: 5}).map(String),
      source: fc.constantFrom('', 'a', 'b'),
      bytes: fc.integer({min: 1, max: 100}),
    });
    fc.assert(
      fc.property(fc.array(step), steps => {
        const {memory} = new JobAdmission({
          now: () => 0,
          limitBytes: () => LIMIT_BYTES,
          instances: () => 1,
        });
        const callers = ['', 'a', 'b'].map(connection);
        const held = new Map<string, {source: string; bytes: number}>();
        for (const {kind, id, source, bytes} of steps) {
          const caller = callers.find(each => each.source === source)!;
          if (kind === 'hold') {
            memory.hold(id, jobOf(caller, {bytes}));
            if (!held.has(id)) held.set(id, {source, bytes});
          } else if (kind === 'resize') {
            memory.resize(id, bytes);
            if (held.has(id)) held.set(id, {...held.get(id)!, bytes});
          } else {
            memory.release(id);
            held.delete(id);
          }
        }
        for (const caller of callers) {
          const sum = [...held.values()]
            .filter(({source}) => source === caller.source)
            .reduce((total, {bytes}) => total + bytes, 0);
          expect(memory.ofSource(caller.source)).toBe(sum);
          expect(caller.heldBytes).toBe(sum);
        }
        const total = [...held.values()].reduce(
          (sum, job) => sum + job.bytes,
          0,
        );
        expect(memory.total).toBe(total);
        expect(memory.ofQueue('cuts')).toBe(total);
      }),
    );
  });
});
