import {BatchRecord} from './types.js';
import {
  DEFAULT_WRITER_LIMITS,
  QueueFull,
  RecordWriter,
  WriterAction,
} from './record_writer.js';

type Entry = BatchRecord['entries'][number];

const ENTRY: Entry = {kind: 'cancelled', timeMs: 0, job: 'dc-1/x'};

function newWriter() {
  return new RecordWriter<BatchRecord, Entry>('a#1', entries => ({
    kind: 'batch',
    epoch: 0,
    entries,
  }));
}

function appended(actions: Iterable<WriterAction<BatchRecord>>) {
  return [...actions].flatMap(action =>
    action.kind === 'append' ? [action.record] : [],
  );
}

describe('RecordWriter', () => {
  it('confirms a record only when it is read back', () => {
    const writer = newWriter();
    const [record] = appended(writer.enqueue([ENTRY], 0));
    expect([...writer.answered(5, 10)]).toEqual([]);
    expect([...writer.read({writer: 'a#1', sequence: 2}, 11)]).toEqual([]);
    expect([...writer.read(record, 12)]).toEqual([{kind: 'confirmed', record}]);
  });

  it('has one append outstanding and batches what waits', () => {
    const writer = newWriter();
    const [first] = appended(writer.enqueue([ENTRY], 0));
    expect(appended(writer.enqueue([ENTRY, ENTRY], 1))).toEqual([]);
    expect(appended(writer.read(first, 5))).toEqual([]);
    expect(appended(writer.answered(0, 6))).toEqual([]);
    const [second] = appended(writer.tick(25));
    expect(second).toMatchObject({sequence: 2, entries: [ENTRY, ENTRY]});
  });

  it('repeats a record after a lost answer only when it is absent', () => {
    const writer = newWriter();
    const [record] = appended(writer.enqueue([ENTRY], 0));
    expect([...writer.failed(50)]).toEqual([
      {kind: 'availability', available: false},
    ]);
    expect(appended(writer.tick(500))).toEqual([]);
    expect(appended(writer.caughtUp(501))).toEqual([record]);
  });

  it('does not repeat a record that was read after a lost answer', () => {
    const writer = newWriter();
    const [record] = appended(writer.enqueue([ENTRY], 0));
    expect(appended(writer.failed(50))).toEqual([]);
    expect([...writer.read(record, 60)]).toEqual([
      {kind: 'confirmed', record},
      {kind: 'availability', available: true},
    ]);
    expect(appended(writer.caughtUp(1000))).toEqual([]);
  });

  it('refuses entries beyond its limit', () => {
    const writer = newWriter();
    const many = Array<Entry>(DEFAULT_WRITER_LIMITS.maxQueuedEntries);
    expect(appended(writer.enqueue(many.fill(ENTRY), 0))).toHaveLength(1);
    expect(() => appended(writer.enqueue(many, 0))).toThrow(QueueFull);
  });
});
