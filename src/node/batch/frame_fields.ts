/** Returns a field of a frame. @throws TypeError if it is not a list. */
export function asArray(value: unknown, name: string): readonly unknown[] {
  if (Array.isArray(value)) return value;
  throw new TypeError(`Malformed frame: ${name} is not a list.`);
}

/** Returns a field of a frame. @throws TypeError if it is not a text. */
export function asString(value: unknown, name: string): string {
  if (typeof value === 'string') return value;
  throw new TypeError(`Malformed frame: ${name} is not a text.`);
}

/** Returns a field of a frame. @throws TypeError if it is not a number. */
export function asNumber(value: unknown, name: string): number {
  if (typeof value === 'number') return value;
  throw new TypeError(`Malformed frame: ${name} is not a number.`);
}

/**
 * Returns the entry to which a field of a frame refers by its index.
 * @throws TypeError if there is none.
 */
export function entryAt<T>(
  entries: readonly T[],
  index: unknown,
  name: string,
): T {
  const entry = entries[index as number];
  if (typeof index === 'number' && entry !== undefined) return entry;
  throw new TypeError(`Malformed frame: ${name} is unknown.`);
}

/**
 * Returns the value of a code in a frame.
 * @throws TypeError if the code has none.
 */
export function decodeCode<T>(
  values: ReadonlyMap<unknown, T>,
  code: unknown,
  name: string,
): T {
  const value = values.get(code);
  if (value !== undefined) return value;
  throw new TypeError(`Malformed frame: ${name} has no valid code.`);
}
