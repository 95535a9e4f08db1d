import {Instance} from '../../base/platform.js';
import {MemberId} from '../../stream/types.js';
import {parseMemberId} from '../member.js';

/** Data centre of all instances in the tests. */
export const DATA_CENTRE = 'dc-1';

/** Returns an entry of the instance list for a member. */
export function instanceFor(member: MemberId): Instance {
  const {id, start} = parseMemberId(member);
  return {
    id,
    role: 'entry',
    start,
    dataCentre: DATA_CENTRE,
    rack: 'rack-1',
    host: '127.0.0.1',
    port: 1,
    peerPort: 2,
    state: 'live',
    capacity: {processors: 1, memoryMb: 1, accelerators: 0},
    services: [],
    slots: 0,
    connections: 0,
  };
}
