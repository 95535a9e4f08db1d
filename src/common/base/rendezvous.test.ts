import {rendezvous} from './rendezvous.js';

describe('rendezvous', () => {
  it('does not depend on the order of the nodes', () => {
    for (let i = 0; i < 50; i++) {
      const key = `key-${i}`;
      expect(rendezvous(key, ['a', 'b', 'c'])).toBe(
        rendezvous(key, ['c', 'a', 'b']),
      );
    }
  });

  it('moves only the keys of a node that is removed', () => {
    for (let i = 0; i < 50; i++) {
      const key = `key-${i}`;
      const before = rendezvous(key, ['a', 'b', 'c']);
      const after = rendezvous(key, ['a', 'b']);
      if (before !== 'c') expect(after).toBe(before);
    }
  });

  it('has no answer without nodes', () => {
    expect(rendezvous('key', [])).toBeUndefined();
  });
});
