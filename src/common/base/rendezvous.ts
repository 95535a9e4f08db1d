import {createHash} from 'node:crypto';

function hashWeight(key: string, node: string): bigint {
  const digest = createHash('sha256').update(`${key}\u0000${node}`).digest();
  return digest.readBigUInt64BE(0);
}

/**
 * Selects the node of a key by rendezvous (highest random weight) hashing.
 * Callers with the same set of nodes select the same node without exchanging
 * messages, and removing a node moves only the keys of that node.
 *
 * @returns the node, or undefined when `nodes` is empty.
 */
export function selectByRendezvousHash(
  key: string,
  nodes: readonly string[],
): string | undefined {
  let bestNode: string | undefined;
  let bestWeight = -1n;
  for (const node of nodes) {
    const candidateWeight = hashWeight(key, node);
    if (candidateWeight > bestWeight) {
      bestNode = node;
      bestWeight = candidateWeight;
    }
  }
  return bestNode;
}

/** Bytes of a digest that make up a number, and the number of their values. */
const HASH_BYTES = 6;
const HASH_VALUES = 2 ** (8 * HASH_BYTES);

/** A hash of the text, above 0 and below 1. */
export function unitHash(text: string): number {
  const digest = createHash('sha256').update(text).digest();
  return (digest.readUIntBE(0, HASH_BYTES) + 0.5) / HASH_VALUES;
}

/**
 * Selects the node of a key by weighted rendezvous hashing: each node gets a
 * share of the keys in proportion to its weight.
 *
 * @returns the node, or undefined when `nodes` is empty.
 */
export function selectByWeightedHash<T extends {readonly name: string}>(
  key: string,
  nodes: readonly T[],
  weightOf: (node: T) => number,
): T | undefined {
  let best: T | undefined;
  let highest = -Infinity;
  for (const node of nodes) {
    const score = weightOf(node) / -Math.log(unitHash(`${key} ${node.name}`));
    if (score <= highest) continue;
    highest = score;
    best = node;
  }
  return best;
}
