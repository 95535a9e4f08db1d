import {selectByRendezvousHash} from '../../base/rendezvous.js';
import {InstanceRecord} from '../job_records.js';

/** Key of the hash that all instances use when there is no scheduler. */
const COLLECTOR_KEY = 'collector';

/**
 * Chooses the instance that appends the records of all while the store is slow.
 * All instances choose the same from what they have read. A scheduler comes
 * first: it learns of the jobs that it stores without reading them.
 *
 * @param schedulers instances that have a scheduler, by shard.
 * @param isUsable whether an instance did not fail lately.
 * @returns the name, or undefined if no instance can be used.
 */
export function chooseCollector(
  instances: ReadonlyMap<string, InstanceRecord>,
  schedulers: readonly string[],
  isUsable: (name: string) => boolean,
): string | undefined {
  const canCollect = (name: string) =>
    instances.get(name)?.relayAddress !== undefined && isUsable(name);
  const scheduler = schedulers.find(canCollect);
  if (scheduler !== undefined) return scheduler;
  const others = [...instances.keys()].filter(canCollect);
  return selectByRendezvousHash(COLLECTOR_KEY, others);
}
