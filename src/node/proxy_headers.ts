/** Headers by lower-case name, as Node and undici give them. */
export type Headers = Record<string, string | string[] | undefined>;

/** Headers that belong to one connection (RFC 9110, 7.6.1). */
const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/**
 * Headers of a request that end here. `expect` has been answered by Node; the
 * length is set anew for the connection to the target.
 */
const REQUEST_ONLY: ReadonlySet<string> = new Set([
  'host',
  'expect',
  'content-length',
]);

/** Headers of an answer that are meant for this instance alone. */
const ANSWER_ONLY: ReadonlySet<string> = new Set(['x-leaving', 'x-request-id']);

function nominated(headers: Headers): ReadonlySet<string> {
  const value = headers['connection'];
  if (value === undefined) return new Set();
  const names = (Array.isArray(value) ? value.join(',') : value).split(',');
  return new Set(names.map(name => name.trim().toLowerCase()));
}

function without(
  headers: Headers,
  removed: ReadonlySet<string>,
): Record<string, string | string[]> {
  const dropped = nominated(headers);
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    if (HOP_BY_HOP.has(name) || removed.has(name) || dropped.has(name)) {
      continue;
    }
    kept[name] = value;
  }
  return kept;
}

/** Headers of a caller's request that go on to the target. */
export function requestHeaders(
  headers: Headers,
): Record<string, string | string[]> {
  return without(headers, REQUEST_ONLY);
}

/** Headers of a target's answer that go on to the caller. */
export function answerHeaders(
  headers: Headers,
): Record<string, string | string[]> {
  return without(headers, ANSWER_ONLY);
}
