import fc from 'fast-check';
import {
  ReportedEnd,
  ReportedRun,
  RunOutcome,
  WorkerReport,
} from '../../common/batch/types.js';
import {
  RenewalResponse,
  WorkerAddress,
  WorkerCallResult,
  WorkerCalls,
} from '../../common/batch/worker_calls.js';
import {SystemClock} from '../system_clock.js';
import {freeAddress} from './free_address.test_support.js';
import {RelayLink} from './relay_link.js';
import {RelayCallKind} from './relay_messages.js';
import {packReply, unpackReply} from './relay_replies.js';
import {ReportPacker} from './report_packer.js';
import {ReportUnpacker} from './report_unpacker.js';
import {WorkerRelay} from './worker_relay.js';

/** Sequences of reports in the property tests; FUZZ_RUNS sets more by hand. */
const RUNS = Number(process.env['FUZZ_RUNS'] ?? 300);
const SEED = Number(process.env['FUZZ_SEED'] ?? 1);
const PARAMETERS = {numRuns: RUNS, seed: SEED};

/** Sequences over real links, which take longer. */
const LINK_PARAMETERS = {numRuns: Math.ceil(RUNS / 30), seed: SEED};

// Few values each, so that a row is often equal to an earlier one.
const TASK = fc.constantFrom('a.0.0.0', 'a.0.0.1', 'b.0.0.0', 'b.0.1.0');
const ATTEMPT = fc.integer({min: 1, max: 2});
const CHECKPOINT = fc.constantFrom('', 'c1', 'c2');

const RUN: fc.Arbitrary<ReportedRun> = fc.record({
  task: TASK,
  attempt: ATTEMPT,
  checkpoint: CHECKPOINT,
  percent: fc.constantFrom(0, 50, 100),
  gauge: fc.constantFrom(0, 0.5),
});

const END: fc.Arbitrary<ReportedEnd> = fc.record({
  sequence: fc.integer({min: 1, max: 4}),
  task: TASK,
  attempt: ATTEMPT,
  end: fc.constantFrom(...Object.values(RunOutcome)),
  checkpoint: CHECKPOINT,
});

/** Any report, with runs in any order and even twice. */
const ANY_REPORT: fc.Arbitrary<WorkerReport> = fc.record({
  born: fc.integer({min: 1, max: 2}),
  clockMs: fc.nat(),
  running: fc.array(RUN, {maxLength: 5}),
  ends: fc.array(END, {maxLength: 3}),
  hasMoreEnds: fc.boolean(),
});

/** A change of a report, which leaves most rows as they are. */
const STEP = fc.record({
  born: fc.constantFrom(1, 1, 1, 1, 2),
  dropped: fc.option(fc.nat(4)),
  added: fc.option(RUN),
  progressed: fc.option(fc.nat(4)),
  ended: fc.option(END),
  acknowledged: fc.nat(1),
});

const EVOLVING_REPORTS: fc.Arbitrary<WorkerReport[]> = fc
  .tuple(ANY_REPORT, fc.array(STEP, {maxLength: 12}))
  .map(([first, steps]) => {
    const reports = [first];
    for (const step of steps) {
      const last = reports.at(-1)!;
      const running = last.running
        .filter((unused, i) => i !== step.dropped)
        .map((run, i) => (i === step.progressed ? {...run, percent: 77} : run));
      if (step.added !== null) running.push(step.added);
      const ends = last.ends.slice(step.acknowledged);
      if (step.ended !== null) ends.push(step.ended);
      const clockMs = last.clockMs + 1000;
      const hasMoreEnds = ends.length > 2;
      reports.push({born: step.born, clockMs, running, ends, hasMoreEnds});
    }
    return reports;
  });

const REPORTS = fc.oneof(
  EVOLVING_REPORTS,
  fc.array(ANY_REPORT, {maxLength: 8}),
);

function run(task: string, percent: number): ReportedRun {
  return {task, attempt: 1, checkpoint: '', percent, gauge: 0.5};
}

function responseWith(report: WorkerReport): RenewalResponse {
  const {clockMs} = report;
  return {result: WorkerCallResult.ACCEPTED, clockMs, report};
}

describe('relayed reports', () => {
  let packer: ReportPacker;
  let unpacker: ReportUnpacker;

  beforeEach(() => {
    packer = new ReportPacker();
    unpacker = new ReportUnpacker();
  });

  /** Sends a report over the link in a frame of its own. */
  function transfer(worker: number, report: WorkerReport) {
    const response = responseWith(report);
    const responses = [{id: 1, worker, response}];
    const frame = packReply({responses, isDraining: false}, packer);
    const received = unpackReply(frame, unpacker).responses[0].response.report;
    return {frame, received};
  }

  it('are handed on as the workers reported them', () => {
    // Guards against a run or an end that the scheduler doesn't see, or sees
    // after it is gone.
    fc.assert(
      fc.property(REPORTS, REPORTS, (first, second) => {
        packer = new ReportPacker();
        unpacker = new ReportUnpacker();
        const count = Math.max(first.length, second.length);
        for (let i = 0; i < count; i++) {
          for (const [worker, reports] of [first, second].entries()) {
            const report = reports[i];
            if (report === undefined) continue;
            expect(transfer(worker, report).received).toEqual(report);
          }
        }
      }),
      PARAMETERS,
    );
  });

  it('are handed on in the order of a frame', () => {
    // Guards against changes that are applied to the wrong report.
    fc.assert(
      fc.property(REPORTS, reports => {
        packer = new ReportPacker();
        unpacker = new ReportUnpacker();
        const responses = reports.map((report, id) => ({
          id,
          worker: 0,
          response: responseWith(report),
        }));
        const frame = packReply({responses, isDraining: false}, packer);
        expect(unpackReply(frame, unpacker).responses).toEqual(responses);
      }),
      PARAMETERS,
    );
  });

  it('contain only what has changed', () => {
    // Guards against reports that are sent whole, which costs the scheduler
    // the decoding of each row.
    const tasks = ['job-a', 'job-b', 'job-c'];
    const running = tasks.map(task => run(task, 0));
    const base = {born: 1, clockMs: 0, running, ends: [], hasMoreEnds: false};
    transfer(0, base);
    const same = transfer(0, {...base, running: tasks.map(t => run(t, 0))});
    expect(Buffer.from(same.frame).includes('job')).toBe(false);
    const moved = [running[0], run('job-b', 5), run('job-d', 0)];
    const changed = transfer(0, {...base, running: moved});
    expect(Buffer.from(changed.frame).includes('job-d')).toBe(true);
    for (const task of tasks) {
      expect(Buffer.from(changed.frame).includes(task)).toBe(false);
    }
  });

  it('repeat an end that is not acknowledged, which is sent once', () => {
    // Guards against an end that is lost because the scheduler could not store
    // it when it came first.
    const checkpoint = 'checkpoint-of-the-end';
    const {DONE} = RunOutcome;
    const end = {sequence: 1, task: 'a', attempt: 1, end: DONE, checkpoint};
    const later = {...end, sequence: 2, task: 'b', checkpoint: ''};
    const report = {
      born: 1,
      clockMs: 0,
      running: [],
      ends: [end],
      hasMoreEnds: false,
    };
    const first = transfer(0, report);
    expect(Buffer.from(first.frame).includes(checkpoint)).toBe(true);
    for (const ends of [[{...end}], [{...end}, later], [later], []]) {
      const {frame, received} = transfer(0, {...report, ends});
      expect(received!.ends).toEqual(ends);
      expect(Buffer.from(frame).includes(checkpoint)).toBe(false);
    }
  });

  it('begin in full for a new incarnation', () => {
    // Guards against rows of an incarnation that is gone.
    const report = {
      born: 1,
      clockMs: 0,
      running: [run('job-a', 0)],
      ends: [],
      hasMoreEnds: false,
    };
    transfer(0, report);
    const restarted = transfer(0, {...report, born: 2});
    expect(Buffer.from(restarted.frame).includes('job-a')).toBe(true);
    expect(restarted.received).toEqual({...report, born: 2});
  });
});

describe('relayed reports over links', () => {
  const WORKER: WorkerAddress = {id: 'w1', address: '10.0.0.1:80'};
  const clock = new SystemClock();
  let address: string;
  let relay: WorkerRelay;
  let nextReport: WorkerReport;

  beforeEach(async () => {
    const accepted = () => Promise.resolve({result: WorkerCallResult.ACCEPTED});
    const calls: WorkerCalls = {
      start: accepted,
      stop: accepted,
      pace: accepted,
      renew: () => Promise.resolve(responseWith(nextReport)),
    };
    relay = new WorkerRelay(calls, {decide: () => {}});
    address = await freeAddress();
    relay.listen(address);
  });

  afterEach(() => relay.close());

  function renew(link: RelayLink): Promise<RenewalResponse> {
    const renewal = {
      fencingToken: 1,
      acknowledgedEnd: 0,
      waitMs: 0,
      responseMs: 700,
    };
    return link.call(WORKER, {kind: RelayCallKind.RENEW, renewal});
  }

  it('are whole after a link is lost and opened again', async () => {
    // Guards against changes to a report that only the lost link has carried.
    await fc.assert(
      fc.asyncProperty(REPORTS, fc.nat(12), async (reports, lostAt) => {
        let link = new RelayLink(address, clock, () => {});
        for (const [index, report] of reports.entries()) {
          nextReport = report;
          if (index === lostAt) {
            const lost = renew(link);
            link.close();
            expect((await lost).report).toBeUndefined();
            link = new RelayLink(address, clock, () => {});
          }
          expect(await renew(link)).toEqual(responseWith(report));
        }
        link.close();
      }),
      LINK_PARAMETERS,
    );
  });

  it('are whole on each of two links', async () => {
    // Guards against a scheduler that gets changes to what its predecessor or
    // successor has seen.
    const links = [0, 1].map(() => new RelayLink(address, clock, () => {}));
    const reports = [0, 1, 2, 3, 4, 5].map(percent => ({
      born: 1,
      clockMs: percent,
      running: [run('a', 0), run('b', percent)].slice(percent % 2),
      ends: [],
      hasMoreEnds: false,
    }));
    for (const [index, report] of reports.entries()) {
      nextReport = report;
      const response = await renew(links[index % 3 === 0 ? 0 : 1]);
      expect(response).toEqual(responseWith(report));
    }
    for (const link of links) link.close();
  });
});
