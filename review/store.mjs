// Stand-in of the platform's store: the calls of PROTOCOL.md that the system
// uses. Keyed topics with one partition, fenced producers, history that can be
// forgotten. Sound otherwise: nothing that was acknowledged is lost.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const RECORD_BYTES = 262_144;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const KEPT_ANSWERS = 5;
const FOREIGN_TOPICS = new Set(['keyed.op', 'keyed.servers']);

class Topic {
  records = [];
  /** Offset of the first record that is kept. */
  first = 0;
  newest = new Map();
  producers = new Map();
  waiting = new Set();

  get end() {
    return this.first + this.records.length;
  }

  append(records) {
    const offset = this.end;
    for (const record of records) {
      const at = this.end;
      this.records.push(record);
      if (record.value.length === 0) this.newest.delete(record.key);
      else this.newest.set(record.key, {value: record.value, offset: at});
    }
    for (const wake of [...this.waiting]) wake();
    return offset;
  }
}

function decode(body) {
  const records = [];
  let position = 0;
  while (position < body.length) {
    const length = body.readUInt32BE(position);
    const keyLength = body.readUInt8(position + 4);
    const valueStart = position + 5 + keyLength;
    const next = position + 4 + length;
    records.push({
      key: body.toString('utf8', position + 5, valueStart),
      value: Buffer.from(body.subarray(valueStart, next)),
      bytes: length,
    });
    position = next;
  }
  return records;
}

function encode(records) {
  return Buffer.concat(
    records.flatMap(({key, value}) => {
      const keyBytes = Buffer.from(key);
      const header = Buffer.alloc(5);
      header.writeUInt32BE(1 + keyBytes.length + value.length, 0);
      header.writeUInt8(keyBytes.length, 4);
      return [header, keyBytes, value];
    }),
  );
}

export class Store {
  #topics = new Map();
  #sockets = new Set();
  #areWatchesSilent = false;

  /** @param log called with the name and the fields of an event. */
  constructor(log) {
    this.log = log;
    this.server = createServer((request, response) => {
      this.#serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
    this.server.on('connection', socket => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
  }

  async listen() {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return this.server.address().port;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  topic(name) {
    let topic = this.#topics.get(name);
    if (topic === undefined) {
      topic = new Topic();
      this.#topics.set(name, topic);
    }
    return topic;
  }

  /** Writes a record of the operator or of a worker; undefined deletes it. */
  write(topic, key, value) {
    const text = value === undefined ? '' : JSON.stringify(value);
    this.topic(topic).append([{key, value: Buffer.from(text)}]);
  }

  /** From now on, reads that wait for records get no answer. */
  silenceWatches() {
    this.#areWatchesSilent = true;
    this.log('store-silences-watches', {});
  }

  /** Drops the history, keeps the newest record of each key, cuts readers. */
  forgetHistory() {
    for (const topic of this.#topics.values()) {
      topic.first = topic.end;
      topic.records = [];
    }
    this.#areWatchesSilent = false;
    for (const socket of this.#sockets) socket.resetAndDestroy();
    this.log('store-forgets', {});
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const body = Buffer.concat(chunks);
    const url = new URL(request.url, 'http://store');
    const query = url.searchParams;
    const topic = this.topic(query.get('topic') ?? '');
    let answer = {status: 404, body: {}};
    if (url.pathname === '/api/log-append') {
      answer = this.#append(topic, query, body);
    } else if (url.pathname === '/api/log-read') {
      answer = await this.#read(topic, query);
    } else if (url.pathname === '/api/log-newest') {
      answer = this.#newest(topic, query);
    }
    // The connection is reset when the watches are cut.
    if (answer === undefined) return;
    const bytes = Buffer.isBuffer(answer.body)
      ? answer.body
      : Buffer.from(JSON.stringify(answer.body));
    response.writeHead(answer.status, {'content-length': bytes.length});
    response.end(bytes);
  }

  #append(topic, query, body) {
    if (FOREIGN_TOPICS.has(query.get('topic'))) return {status: 403, body: {}};
    const records = decode(body);
    const largest = Math.max(0, ...records.map(({bytes}) => bytes));
    if (largest > RECORD_BYTES) {
      this.log('record-too-large', {bytes: largest});
      return {status: 413, body: {}};
    }
    const name = query.get('producer');
    const expected = query.get('at');
    const moved = expected !== null && Number(expected) !== topic.end;
    if (name === null) {
      if (moved) return {status: 412, body: {end: topic.end}};
      const offset = topic.append(records);
      return {status: 200, body: {offset, end: topic.end}};
    }
    const epoch = Number(query.get('epoch'));
    const sequence = Number(query.get('seq'));
    const known = topic.producers.get(name);
    if (known !== undefined && epoch < known.epoch) {
      return {status: 409, body: {reason: 'fenced'}};
    }
    const isSame = known !== undefined && epoch === known.epoch;
    if (isSame && known.answers.has(sequence))
      return known.answers.get(sequence);
    if (isSame && sequence !== known.sequence + 1) {
      return {status: 409, body: {reason: 'seq', seq: known.sequence + 1}};
    }
    if (moved) return {status: 412, body: {end: topic.end}};
    const producer = isSame ? known : {epoch, answers: new Map()};
    const offset = topic.append(records);
    const answer = {status: 200, body: {offset, end: topic.end}};
    producer.sequence = sequence;
    producer.answers.set(sequence, answer);
    producer.answers.delete(sequence - KEPT_ANSWERS);
    topic.producers.set(name, producer);
    return answer;
  }

  async #read(topic, query) {
    const from = Number(query.get('from'));
    const deadline = Date.now() + Number(query.get('wait-ms') ?? 0);
    while (topic.end <= from && Date.now() < deadline) {
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          topic.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Math.max(1, deadline - Date.now()));
        topic.waiting.add(wake);
      });
    }
    if (this.#areWatchesSilent && query.get('wait-ms') > 0) return undefined;
    if (from < topic.first) return {status: 410, body: {first: topic.first}};
    const end = topic.end;
    const header = Buffer.alloc(16);
    header.writeBigUInt64BE(BigInt(end), 0);
    header.writeBigUInt64BE(BigInt(topic.first), 8);
    const records = topic.records.slice(from - topic.first, end - topic.first);
    return {status: 200, body: Buffer.concat([header, encode(records)])};
  }

  #newest(topic, query) {
    const after = query.get('after') ?? '';
    const keys = [...topic.newest.keys()].filter(key => key > after).sort();
    const items = [];
    let bytes = 0;
    for (const key of keys) {
      const {value, offset} = topic.newest.get(key);
      bytes += key.length + value.length;
      if (items.length === PAGE_ITEMS) break;
      if (items.length > 0 && bytes > PAGE_BYTES) break;
      items.push({key, value: value.toString('base64'), offset});
    }
    const more = items.length < keys.length;
    return {status: 200, body: {items, more, end: topic.end}};
  }
}
