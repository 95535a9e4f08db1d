/**
 * Chooses one of the items, each with a probability in proportion to its
 * weight; undefined if no weight is positive.
 * @param weights weights of the items, by position.
 * @param random returns a random number from 0 to 1, without 1.
 */
export function chooseByWeight<T>(
  items: readonly T[],
  weights: readonly number[],
  random: () => number,
): T | undefined {
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  if (total <= 0) return undefined;
  let left = random() * total;
  const index = weights.findIndex(weight => (left -= weight) < 0);
  // Rounding may leave a rest after the last item.
  return items[index < 0 ? weights.length - 1 : index];
}
