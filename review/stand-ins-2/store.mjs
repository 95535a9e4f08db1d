import {Buffer} from 'node:buffer';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {serve} from './http_server.mjs';

const LENGTH_BYTES = 4;
const PAGE_RECORDS = 500;
const KEPT_RESPONSES = 5;
const RECORD_BYTES = 262_144;
const CALL_BYTES = 2_097_152;
/** Topics that only the operator and the workers write. */
const FOREIGN = new Set(['keyed.op', 'keyed.servers']);

class Partition {
  records = [];
  newest = new Map();
  producers = new Map();
  waiters = new Set();

  append(records) {
    const offset = this.records.length;
    for (const record of records) {
      const at = this.records.push(record) - 1;
      if (record.value.length === 0) this.newest.delete(record.key);
      else this.newest.set(record.key, {value: record.value, offset: at});
    }
    for (const wake of [...this.waiters]) wake();
    return offset;
  }
}

/** The platform's log store, as the pages describe it; one append at a time. */
export class Store {
  partitions = new Map();
  appendMs = 2;

  async listen(host, port) {
    this.host = host;
    this.port = port;
    this.server = await serve(host, port, request => this.handle(request));
  }

  get address() {
    return `${this.host}:${this.port}`;
  }

  close() {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  partition(topic) {
    let partition = this.partitions.get(topic);
    if (partition === undefined) {
      partition = new Partition();
      this.partitions.set(topic, partition);
    }
    return partition;
  }

  /** Writes as the operator or a worker; undefined removes the key. */
  write(topic, key, value) {
    const bytes = Buffer.from(value === undefined ? '' : JSON.stringify(value));
    this.partition(topic).append([{key, value: bytes}]);
  }

  async handle(request) {
    const topic = request.query.get('topic') ?? '';
    if (request.path === '/api/log-append') return this.append(topic, request);
    if (request.path === '/api/log-read') return this.read(topic, request);
    if (request.path === '/api/log-newest') return this.page(topic, request);
    return {status: 404, body: {}};
  }

  async append(topic, {query, body}) {
    if (FOREIGN.has(topic)) return {status: 403, body: {}};
    if (body.length > CALL_BYTES) return {status: 413, body: {}};
    const records = decode(body);
    if (records === undefined) return {status: 400, body: {}};
    const partition = this.partition(topic);
    const previous = partition.last ?? Promise.resolve();
    const turn = previous.then(() => sleep(this.appendMs));
    partition.last = turn;
    await turn;
    return this.appendNow(partition, query, records);
  }

  appendNow(partition, query, records) {
    const at = query.get('at');
    const end = partition.records.length;
    const name = query.get('producer');
    if (name === null) {
      if (at !== null && Number(at) !== end) return {status: 412, body: {end}};
      return stored(partition.append(records), records.length);
    }
    const epoch = Number(query.get('epoch') ?? 0);
    const sequence = Number(query.get('seq') ?? 0);
    let producer = partition.producers.get(name);
    if (producer !== undefined && epoch < producer.epoch) {
      return {status: 409, body: {reason: 'fenced'}};
    }
    if (producer !== undefined && epoch === producer.epoch) {
      const repeated = producer.responses.get(sequence);
      if (repeated !== undefined) return repeated;
      const expected = producer.sequence + 1;
      if (sequence !== expected) {
        return {status: 409, body: {reason: 'seq', expected}};
      }
    }
    if (at !== null && Number(at) !== end) return {status: 412, body: {end}};
    const response = stored(partition.append(records), records.length);
    if (producer === undefined || epoch > producer.epoch) {
      producer = {epoch, sequence, responses: new Map()};
      partition.producers.set(name, producer);
    }
    producer.sequence = sequence;
    producer.responses.set(sequence, response);
    producer.responses.delete(sequence - KEPT_RESPONSES);
    return response;
  }

  async read(topic, {query}) {
    const partition = this.partition(topic);
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('wait-ms') ?? 0);
    if (partition.records.length <= from && waitMs > 0) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          partition.waiters.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        partition.waiters.add(wake);
      });
    }
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(partition.records.length), 0);
    const parts = [header];
    let bytes = 0;
    const maxBytes = Number(query.get('max-kb') ?? 1024) * 1024;
    for (const record of partition.records.slice(from)) {
      const encoded = encode(record);
      bytes += encoded.length;
      if (bytes > maxBytes && parts.length > 1) break;
      parts.push(encoded);
    }
    return {status: 200, body: Buffer.concat(parts)};
  }

  page(topic, {query}) {
    const partition = this.partition(topic);
    const after = query.get('after') ?? '';
    const keys = [...partition.newest.keys()].sort().filter(key => key > after);
    const items = keys.slice(0, PAGE_RECORDS).map(key => {
      const {value, offset} = partition.newest.get(key);
      return {key, value: value.toString('base64'), offset};
    });
    const more = keys.length > items.length;
    return {status: 200, body: {items, more, end: partition.records.length}};
  }
}

function stored(offset, count) {
  return {status: 200, body: {offset, end: offset + count}};
}

function encode({key, value}) {
  const keyBytes = Buffer.from(key);
  const head = Buffer.alloc(LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  head.writeUInt8(keyBytes.length, LENGTH_BYTES);
  return Buffer.concat([head, keyBytes, value]);
}

function decode(body) {
  const records = [];
  let position = 0;
  while (position < body.length) {
    if (position + LENGTH_BYTES > body.length) return undefined;
    const length = body.readUInt32BE(position);
    if (
      length > RECORD_BYTES ||
      position + LENGTH_BYTES + length > body.length
    ) {
      return undefined;
    }
    const keyStart = position + LENGTH_BYTES + 1;
    const valueStart = keyStart + body.readUInt8(position + LENGTH_BYTES);
    position += LENGTH_BYTES + length;
    records.push({
      key: body.toString('utf8', keyStart, valueStart),
      value: body.subarray(valueStart, position),
    });
  }
  return records;
}
