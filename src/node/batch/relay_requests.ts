import {Packr} from 'msgpackr';
import {WorkerAddress} from '../../common/batch/worker_calls.js';
import {
  asArray,
  asNumber,
  asString,
  decodeCode,
  entryAt,
} from './frame_fields.js';
import {
  RelayCall,
  RelayCallKind,
  RelayRequest,
  RequestFrame,
} from './relay_messages.js';
import {SpecTable} from './spec_table.js';

const packr = new Packr({useRecords: false});

/** Encodes the calls of one kind by position. */
interface CallCodec<K extends RelayCallKind> {
  /** Code of the kind in a frame. */
  readonly code: number;
  readonly pack: (
    call: RelayCall & {kind: K},
    specs: SpecTable,
  ) => readonly unknown[];
  readonly unpack: (
    fields: readonly unknown[],
    specs: readonly unknown[],
  ) => RelayCall & {kind: K};
}

const CODECS: {readonly [K in RelayCallKind]: CallCodec<K>} = {
  [RelayCallKind.START]: {
    code: 0,
    pack: ({request, leaseUntil, token}, specs) => {
      const {task, attempt, checkpoint, ticket} = request;
      const spec = specs.indexOf(request.spec);
      return [task, attempt, spec, checkpoint, ticket, leaseUntil, token];
    },
    unpack: (
      [task, attempt, spec, checkpoint, ticket, leaseUntil, token],
      specs,
    ) => ({
      kind: RelayCallKind.START,
      request: {
        task: asString(task, 'task'),
        attempt: asNumber(attempt, 'attempt'),
        spec: asString(entryAt(specs, spec, 'spec'), 'spec'),
        checkpoint: asString(checkpoint, 'checkpoint'),
        ticket: asString(ticket, 'ticket'),
      },
      leaseUntil: asNumber(leaseUntil, 'end of the lease'),
      token: asNumber(token, 'token'),
    }),
  },
  [RelayCallKind.STOP]: {
    code: 1,
    pack: ({task, attempt, token}) => [task, attempt, token],
    unpack: ([task, attempt, token]) => ({
      kind: RelayCallKind.STOP,
      task: asString(task, 'task'),
      attempt: asNumber(attempt, 'attempt'),
      token: asNumber(token, 'token'),
    }),
  },
  [RelayCallKind.RENEW]: {
    code: 2,
    pack: ({renewal}) => {
      const {fencingToken, acknowledgedEnd, leaseUntil, waitMs, responseMs} =
        renewal;
      const lease = leaseUntil ?? null;
      return [fencingToken, acknowledgedEnd, lease, waitMs, responseMs];
    },
    unpack: ([token, acknowledgedEnd, lease, waitMs, responseMs]) => ({
      kind: RelayCallKind.RENEW,
      renewal: {
        fencingToken: asNumber(token, 'token'),
        acknowledgedEnd: asNumber(acknowledgedEnd, 'acknowledged end'),
        leaseUntil:
          lease === null ? undefined : asNumber(lease, 'end of the lease'),
        waitMs: asNumber(waitMs, 'longest wait'),
        responseMs: asNumber(responseMs, 'time for the response'),
      },
    }),
  },
  [RelayCallKind.PACE]: {
    code: 3,
    pack: ({task, attempt, percent, token}) => [task, attempt, percent, token],
    unpack: ([task, attempt, percent, token]) => ({
      kind: RelayCallKind.PACE,
      task: asString(task, 'task'),
      attempt: asNumber(attempt, 'attempt'),
      percent: asNumber(percent, 'percent'),
      token: asNumber(token, 'token'),
    }),
  },
};

const CODECS_BY_CODE = new Map(
  Object.values(CODECS).map(codec => [codec.code, codec]),
);

/**
 * Encodes a frame of requests by position, without field names. The spec of a
 * job goes into the frame once.
 */
export function packRequests({newWorkers, requests}: RequestFrame): Uint8Array {
  const specs = new SpecTable();
  const packed = requests.map(request => packRequest(request, specs));
  const addresses = newWorkers.map(({id, address}) => [id, address]);
  return packr.pack([addresses, specs.all, packed]);
}

function packRequest(
  {id, worker, call}: RelayRequest,
  specs: SpecTable,
): readonly unknown[] {
  const codec = CODECS[call.kind] as CallCodec<RelayCallKind>;
  return [id, worker, codec.code, codec.pack(call, specs)];
}

/**
 * Decodes a frame of requests.
 * @throws Error if the frame is malformed.
 */
export function unpackRequests(frame: Uint8Array): RequestFrame {
  const [addresses, list, requests] = asArray(packr.unpack(frame), 'a frame');
  const specs = asArray(list, 'specs');
  return {
    newWorkers: asArray(addresses, 'new workers').map(unpackWorker),
    requests: asArray(requests, 'requests').map(entry =>
      unpackRequest(entry, specs),
    ),
  };
}

function unpackWorker(entry: unknown): WorkerAddress {
  const [id, address] = asArray(entry, 'a worker');
  return {id: asString(id, 'id'), address: asString(address, 'address')};
}

function unpackRequest(
  entry: unknown,
  specs: readonly unknown[],
): RelayRequest {
  const [id, worker, code, fields] = asArray(entry, 'a request');
  const codec = decodeCode(CODECS_BY_CODE, code, 'kind of call');
  return {
    id: asNumber(id, 'number of a request'),
    worker: asNumber(worker, 'number of a worker'),
    call: codec.unpack(asArray(fields, 'fields of a call'), specs),
  };
}
