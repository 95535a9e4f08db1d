/** Headers by lower-case name, as Node.js and undici provide them. */
export type Headers = Record<string, string | string[] | undefined>;

/** Headers that apply to a single connection (RFC 9110, section 7.6.1). */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
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
 * Request headers that aren't forwarded. Node.js has responded to `expect`;
 * `host` and `content-length` are set again for the connection to the target.
 */
const UNFORWARDED_REQUEST_HEADERS: ReadonlySet<string> = new Set([
  'host',
  'expect',
  'content-length',
]);

/** Response headers that are meant for this instance only. */
const UNFORWARDED_RESPONSE_HEADERS: ReadonlySet<string> = new Set([
  'x-leaving',
  'x-request-id',
]);

/** Returns the names of the headers that the `connection` header lists. */
function connectionOptions(headers: Headers): ReadonlySet<string> {
  const value = headers['connection'];
  if (value === undefined) return new Set();
  const names = (Array.isArray(value) ? value.join(',') : value).split(',');
  return new Set(names.map(name => name.trim().toLowerCase()));
}

function removeHeaders(
  headers: Headers,
  excluded: ReadonlySet<string>,
): Record<string, string | string[]> {
  const named = connectionOptions(headers);
  const kept: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined) continue;
    if (HOP_BY_HOP_HEADERS.has(name) || excluded.has(name) || named.has(name)) {
      continue;
    }
    kept[name] = value;
  }
  return kept;
}

/** Returns the request headers to forward to the target. */
export function forwardedRequestHeaders(
  headers: Headers,
): Record<string, string | string[]> {
  return removeHeaders(headers, UNFORWARDED_REQUEST_HEADERS);
}

/** Returns the response headers to forward to the caller. */
export function forwardedResponseHeaders(
  headers: Headers,
): Record<string, string | string[]> {
  return removeHeaders(headers, UNFORWARDED_RESPONSE_HEADERS);
}
