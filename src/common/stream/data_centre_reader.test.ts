import fc from 'fast-check';
import {DataCentreReader} from './data_centre_reader.js';
import {DataCentreRecord} from './types.js';

let sequence = 0;

function view(
  base: number | null,
  leader: string,
  members = [leader],
): DataCentreRecord {
  return {
    kind: 'view',
    writer: leader,
    sequence: ++sequence,
    base,
    leader,
    members,
  };
}

function batch(epoch: number, writer: string): DataCentreRecord {
  return {kind: 'batch', writer, sequence: ++sequence, epoch, entries: []};
}

function kinds(
  reader: DataCentreReader,
  offset: number,
  data: unknown,
): string[] {
  const stored = {offset, timeMs: 0, data: data as DataCentreRecord};
  return [...reader.read(stored)].map(event => event.kind);
}

describe('DataCentreReader', () => {
  it('puts the first view with a base in force and voids later ones', () => {
    const reader = new DataCentreReader();
    expect(kinds(reader, 0, view(null, 'a#1'))).toEqual(['view-in-force']);
    expect(kinds(reader, 1, view(null, 'b#1'))).toEqual(['view-void']);
    expect(kinds(reader, 2, view(0, 'b#1'))).toEqual(['view-in-force']);
    expect(kinds(reader, 3, view(0, 'c#1'))).toEqual(['view-void']);
    expect(reader.view).toEqual({epoch: 2, leader: 'b#1', members: ['b#1']});
  });

  it('voids a batch of an epoch that is not in force', () => {
    const reader = new DataCentreReader();
    expect(kinds(reader, 0, batch(0, 'a#1'))).toEqual(['batch-void']);
    kinds(reader, 1, view(null, 'a#1'));
    expect(kinds(reader, 2, batch(1, 'a#1'))).toEqual(['batch-in-force']);
    kinds(reader, 3, view(1, 'b#1'));
    expect(kinds(reader, 4, batch(1, 'a#1'))).toEqual(['batch-void']);
  });

  it('ignores repeats of a record and offsets that were read', () => {
    const reader = new DataCentreReader();
    kinds(reader, 0, view(null, 'a#1'));
    const record = batch(0, 'a#1');
    expect(kinds(reader, 1, record)).toEqual(['batch-in-force']);
    expect(kinds(reader, 2, record)).toEqual([]);
    expect(kinds(reader, 1, batch(0, 'a#1'))).toEqual([]);
  });

  it('reports malformed records as void', () => {
    const reader = new DataCentreReader();
    const samples = [null, 7, 'text', [], {}, {kind: 'view'}, {kind: 'x'}];
    samples.forEach((data, offset) => {
      expect(kinds(reader, offset, data)).toEqual(['malformed-void']);
    });
  });

  it('accepts the first view after dropped records', () => {
    const reader = new DataCentreReader();
    expect(kinds(reader, 70, view(60, 'a#1'))).toEqual(['view-in-force']);
    expect(kinds(reader, 71, view(60, 'b#1'))).toEqual(['view-void']);
  });

  it('replaces a first view that proves to have been void', () => {
    const reader = new DataCentreReader();
    // The view of offset 69 won base 60; this one lost against it.
    expect(kinds(reader, 70, view(60, 'a#1'))).toEqual(['view-in-force']);
    expect(kinds(reader, 71, view(69, 'b#1'))).toEqual(['view-in-force']);
    expect(kinds(reader, 72, view(65, 'c#1'))).toEqual(['view-void']);
    expect(kinds(reader, 73, view(71, 'b#1'))).toEqual(['view-in-force']);
  });

  it('handles records that were dropped while it was behind', () => {
    const reader = new DataCentreReader();
    kinds(reader, 0, view(null, 'a#1'));
    expect(kinds(reader, 50, view(40, 'b#1'))).toEqual(['view-in-force']);
    expect(kinds(reader, 51, view(0, 'c#1'))).toEqual(['view-void']);
    expect(kinds(reader, 52, view(50, 'c#1'))).toEqual(['view-in-force']);
    expect(kinds(reader, 53, view(45, 'd#1'))).toEqual(['view-void']);
  });

  // An entry of a wrong shape would reach the job table.
  it('voids a batch with a malformed entry as a whole', () => {
    const reader = new DataCentreReader();
    kinds(reader, 0, view(null, 'a#1'));
    const good = {kind: 'cancelled', job: 'dc-1/x', timeMs: 0};
    const entries = [good, {kind: 'cancelled'}];
    const record = {kind: 'batch', writer: 'a#1', sequence: 99, epoch: 0};
    expect(kinds(reader, 1, {...record, entries})).toEqual(['malformed-void']);
    expect(kinds(reader, 2, {...record, entries: [good]})).toEqual([
      'batch-in-force',
    ]);
  });

  it('voids a view whose leader is not a member', () => {
    const reader = new DataCentreReader();
    expect(kinds(reader, 0, view(null, 'a#1', ['b#1']))).toEqual([
      'malformed-void',
    ]);
  });

  it('never throws, whatever a record contains', () => {
    const near = fc.record(
      {
        kind: fc.constantFrom('view', 'batch', '__proto__', 'x'),
        writer: fc.oneof(fc.string(), fc.constant('__proto__')),
        sequence: fc.oneof(fc.integer(), fc.double()),
        base: fc.oneof(fc.integer(), fc.constant(null)),
        leader: fc.string(),
        members: fc.array(fc.string()),
        epoch: fc.oneof(fc.integer(), fc.double()),
        entries: fc.oneof(fc.array(fc.anything()), fc.anything()),
      },
      {requiredKeys: []},
    );
    const reader = new DataCentreReader();
    let offset = 0;
    fc.assert(
      fc.property(fc.oneof(fc.anything(), near), data => {
        expect(kinds(reader, offset++, data).length).toBeLessThan(2);
      }),
      {seed: 1, numRuns: 2000},
    );
  });
});
