import {SequenceTable} from './sequence_table.js';

describe('SequenceTable', () => {
  it('recognizes repeats of each writer apart', () => {
    const table = new SequenceTable();
    expect(table.accept({writer: 'a#1', sequence: 1})).toBe(true);
    expect(table.accept({writer: 'b#1', sequence: 1})).toBe(true);
    expect(table.accept({writer: 'a#1', sequence: 3})).toBe(true);
    expect(table.accept({writer: 'a#1', sequence: 3})).toBe(false);
    expect(table.accept({writer: 'a#1', sequence: 2})).toBe(false);
  });

  // The table would grow with every replaced process.
  it('forgets the writer that was silent longest when it is full', () => {
    const table = new SequenceTable(2);
    table.accept({writer: 'a#1', sequence: 1});
    table.accept({writer: 'b#1', sequence: 1});
    table.accept({writer: 'a#1', sequence: 2});
    table.accept({writer: 'c#1', sequence: 1});
    expect(table.accept({writer: 'a#1', sequence: 2})).toBe(false);
    expect(table.accept({writer: 'b#1', sequence: 1})).toBe(true);
  });
});
