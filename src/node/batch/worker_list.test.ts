import {KeyedRecord} from '../../common/batch/store.js';
import {WorkerListing} from '../../common/batch/types.js';
import {WorkerList} from './worker_list.js';

function entry(key: string, text = 'valid'): KeyedRecord {
  return {key, value: Buffer.from(text)};
}

describe('WorkerList', () => {
  let faults: string[];
  let list: WorkerList;

  beforeEach(() => {
    faults = [];
    list = new WorkerList(
      ({key, value}) => {
        const text = Buffer.from(value).toString();
        if (text === 'throws') throw new RangeError('too deep');
        return text === 'valid' ? ({id: key} as WorkerListing) : undefined;
      },
      key => faults.push(key),
    );
  });

  it('keeps the other entries when one cannot be decoded', () => {
    // Guards against one entry of another writer that hides all later workers.
    list.apply([entry('w1'), entry('odd', 'throws'), entry('w2')], true);
    expect([...list.byId.keys()]).toEqual(['w1', 'w2']);
    expect(faults).toEqual(['odd']);
    list.apply([entry('odd', 'unknown'), entry('w3')], false);
    expect([...list.byId.keys()]).toEqual(['w1', 'w2', 'w3']);
  });

  it('uses no worker whose newest entry names none', () => {
    // Guards against instances that list different workers, as one of them has
    // read an earlier entry of the same key.
    list.apply([entry('w1'), entry('w2')], true);
    list.apply([entry('w1', 'unknown')], false);
    expect([...list.byId.keys()]).toEqual(['w2']);
  });

  it('removes a worker whose entry was deleted', () => {
    // Guards against starts on workers that have left.
    list.apply([entry('w1'), entry('w2')], true);
    list.apply([entry('w1', '')], false);
    expect([...list.byId.keys()]).toEqual(['w2']);
    list.apply([entry('w3')], true);
    expect([...list.byId.keys()]).toEqual(['w3']);
  });
});
