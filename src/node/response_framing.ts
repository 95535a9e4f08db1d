import {Headers} from './proxy_headers.js';

/** How the end of a response body is determined. */
export interface ResponseFraming {
  /** Declared length in bytes; undefined for a chunked body. */
  readonly bodyLength: number | undefined;
  /**
   * Whether reading may be paused. If a target resets a connection while its
   * last response is paused, undici 7.30 fails an assertion outside of any
   * handler, which ends the process. Therefore only responses that certainly
   * keep the connection open are paused.
   */
  readonly pausable: boolean;
}

const NO_BODY_STATUS_CODES: ReadonlySet<number> = new Set([204, 304]);

/**
 * Reads the framing of a response.
 *
 * @returns undefined if only the close of the connection marks the end of the
 *     body: a complete body can't be distinguished from a truncated one then.
 */
export function readFraming(
  method: string,
  status: number,
  headers: Headers,
): ResponseFraming | undefined {
  if (method === 'HEAD' || NO_BODY_STATUS_CODES.has(status)) {
    return {bodyLength: 0, pausable: false};
  }
  const connection = joinValues(headers['connection']);
  if (joinValues(headers['transfer-encoding']).endsWith('chunked')) {
    // Chunked encoding implies HTTP/1.1, whose connections are persistent.
    return {bodyLength: undefined, pausable: !connection.includes('close')};
  }
  const contentLength = joinValues(headers['content-length']);
  if (!/^\d+$/.test(contentLength)) return undefined;
  // HTTP/1.0 targets close the connection unless they send keep-alive, and the
  // HTTP version of the response is not available here.
  const keepsAlive = connection.includes('keep-alive');
  return {bodyLength: Number(contentLength), pausable: keepsAlive};
}

function joinValues(value: string | string[] | undefined): string {
  const joined = Array.isArray(value) ? value.join(',') : (value ?? '');
  return joined.trim().toLowerCase();
}
