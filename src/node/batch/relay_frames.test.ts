import fc from 'fast-check';
import {Packr} from 'msgpackr';
import {RunOutcome} from '../../common/batch/types.js';
import {WorkerCallResult} from '../../common/batch/worker_calls.js';
import {RelayCallKind} from './relay_messages.js';
import {packReply, unpackReply} from './relay_replies.js';
import {packRequests, unpackRequests} from './relay_requests.js';
import {ReportPacker} from './report_packer.js';
import {ReportUnpacker} from './report_unpacker.js';

const packr = new Packr({useRecords: false});

const NUMBER = fc.oneof(
  fc.integer(),
  fc.double({noNaN: true}).map(x => x + 0),
);

const ADDRESS = fc.record({id: fc.string(), address: fc.string()});

const CALL = fc.oneof(
  fc.record({
    kind: fc.constant(RelayCallKind.START),
    request: fc.record({
      task: fc.string(),
      attempt: fc.nat(),
      spec: fc.string({unit: 'grapheme', maxLength: 50}),
      checkpoint: fc.string(),
      ticket: fc.string(),
    }),
    leaseUntil: NUMBER,
    token: fc.nat(),
  }),
  fc.record({
    kind: fc.constant(RelayCallKind.STOP),
    task: fc.string(),
    attempt: fc.nat(),
    token: fc.nat(),
  }),
  fc.record({
    kind: fc.constant(RelayCallKind.RENEW),
    renewal: fc.record({
      fencingToken: fc.nat(),
      acknowledgedEnd: fc.nat(),
      leaseUntil: fc.option(NUMBER, {nil: undefined}),
      waitMs: NUMBER,
      responseMs: NUMBER,
    }),
  }),
  fc.record({
    kind: fc.constant(RelayCallKind.PACE),
    task: fc.string(),
    attempt: fc.nat(),
    percent: fc.nat(100),
    token: fc.nat(),
  }),
);

const REQUESTS = fc.array(
  fc.record({id: fc.nat(), worker: fc.nat(), call: CALL}),
);

const REPORT = fc.record({
  born: NUMBER,
  clockMs: NUMBER,
  running: fc.array(
    fc.record({
      task: fc.string(),
      attempt: fc.nat(),
      checkpoint: fc.string(),
      percent: NUMBER,
      gauge: NUMBER,
    }),
  ),
  ends: fc.array(
    fc.record({
      sequence: fc.nat(),
      task: fc.string(),
      attempt: fc.nat(),
      end: fc.constantFrom(...Object.values(RunOutcome)),
      checkpoint: fc.string(),
    }),
  ),
  hasMoreEnds: fc.boolean(),
});

const RESPONSES = fc.array(
  fc.record({
    id: fc.nat(),
    worker: fc.nat(),
    response: fc.record({
      result: fc.constantFrom(...Object.values(WorkerCallResult)),
      clockMs: fc.option(NUMBER, {nil: undefined}),
      report: fc.option(REPORT, {nil: undefined}),
    }),
  }),
);

describe('frames of a relay link', () => {
  it('carry each field of a request', () => {
    // Guards against a field that another one's position gets.
    fc.assert(
      fc.property(fc.array(ADDRESS), REQUESTS, (newWorkers, requests) => {
        const frame = {newWorkers, requests};
        expect(unpackRequests(packRequests(frame))).toEqual(frame);
      }),
    );
  });

  it('carry the spec of a job once', () => {
    // Guards against starts whose specs alone fill the scheduler's network.
    const SPEC_LENGTH = 4000;
    const specs = ['a'.repeat(SPEC_LENGTH), 'b'.repeat(SPEC_LENGTH)];
    const requests = Array.from({length: 100}, (unused, id) => ({
      id,
      worker: 0,
      call: {
        kind: RelayCallKind.START,
        request: {
          task: `a.0.0.${id}`,
          attempt: 1,
          spec: specs[id % specs.length],
          checkpoint: '',
          ticket: '',
        },
        leaseUntil: 1,
        token: 1,
      },
    }));
    const frame = packRequests({newWorkers: [], requests});
    expect(frame.length).toBeLessThan(4 * SPEC_LENGTH);
    expect(unpackRequests(frame).requests).toEqual(requests);
  });

  it('carry each field of a response', () => {
    // Guards against a field that another one's position gets.
    fc.assert(
      fc.property(RESPONSES, fc.boolean(), (responses, isDraining) => {
        const frame = {responses, isDraining};
        const bytes = packReply(frame, new ReportPacker());
        expect(unpackReply(bytes, new ReportUnpacker())).toEqual(frame);
      }),
    );
  });

  it.each([
    ['a frame', 5],
    ['new workers', [0, [], []]],
    ['specs', [[], 'x', []]],
    ['requests', [[], [], 'x']],
    ['a worker', [['w1'], [], []]],
    ['address', [[['w1', 5]], [], []]],
    ['a request', [[], [], [7]]],
    ['number of a request', [[], [], [['1', 0, 1, ['a', 1, 1]]]]],
    ['number of a worker', [[], [], [[1, '0', 1, ['a', 1, 1]]]]],
    ['kind of call', [[], [], [[1, 0, 4, []]]]],
    ['fields of a call', [[], [], [[1, 0, 1]]]],
    ['task', [[], [], [[1, 0, 1, [1, 1, 1]]]]],
    ['attempt', [[], [], [[1, 0, 1, ['a', '1', 1]]]]],
    ['token', [[], [], [[1, 0, 1, ['a', 1]]]]],
    ['spec', [[], [5], [[1, 0, 0, ['a', 1, 0, '', '', 1, 1]]]]],
    ['spec', [[], ['s'], [[1, 0, 0, ['a', 1, 1, '', '', 1, 1]]]]],
    ['spec', [[], ['s'], [[1, 0, 0, ['a', 1, 's', '', '', 1, 1]]]]],
    ['end of the lease', [[], [], [[1, 0, 2, [1, 1, 'x', 1, 1]]]]],
  ])('of requests are refused for a malformed %s', (name, value) => {
    // Guards against a call to a worker with a field that is missing.
    const frame = packr.pack(value);
    expect(() => unpackRequests(frame)).toThrow(TypeError);
    expect(() => unpackRequests(frame)).toThrow(`Malformed frame: ${name} `);
  });

  it.each([
    ['a frame', null],
    ['responses', [false]],
    ['a response', [false, [0]]],
    ['number of a response', [false, [['x', 0, 0, null]]]],
    ['number of a worker', [false, [[1, 'x', 0, null]]]],
    ['result', [false, [[1, 0, 11, null]]]],
    ['clock', [false, [[1, 0, 0, 'x']]]],
    ['a report', [false, [[1, 0, 0, 5, 7]]]],
    ['incarnation', [false, [[1, 0, 0, 5, [null, 5, [], []]]]]],
    ['running runs', [false, [[1, 0, 0, 5, [1, 5, 1, []]]]]],
    ['ends', [false, [[1, 0, 0, 5, [1, 5, []]]]]],
    ['a run', [false, [[1, 0, 0, 5, [1, 5, ['a'], []]]]]],
    ['task', [false, [[1, 0, 0, 5, [1, 5, [[null, 1, '', 5, 0]], []]]]]],
    ['gauge', [false, [[1, 0, 0, 5, [1, 5, [['a', 1, '', 5]], []]]]]],
    ['an earlier row', [false, [[1, 0, 0, 5, [1, 5, [0], []]]]]],
    ['an earlier row', [false, [[1, 0, 0, 5, [1, 5, [[0, 5, 0]], []]]]]],
    ['an earlier row', [false, [[1, 0, 0, 5, [1, 5, [], [0]]]]]],
    ['an end', [false, [[1, 0, 0, 5, [1, 5, [], ['a']]]]]],
    ['outcome', [false, [[1, 0, 0, 5, [1, 5, [], [[1, 'a', 1, 6, '']]]]]]],
  ])('of replies are refused for a malformed %s', (name, value) => {
    // Guards against a report with a run left out: it would count as ended.
    const frame = packr.pack(value);
    const unpack = () => unpackReply(frame, new ReportUnpacker());
    expect(unpack).toThrow(TypeError);
    expect(unpack).toThrow(`Malformed frame: ${name} `);
  });
});
