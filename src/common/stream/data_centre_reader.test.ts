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
});
