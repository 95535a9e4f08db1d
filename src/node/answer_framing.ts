import {Headers} from './proxy_headers.js';

/** How the end of an answer's body is marked. */
export interface Framing {
  /** Announced length in bytes; undefined for a chunked body. */
  readonly length: number | undefined;
  /**
   * Whether reading may be paused. undici 7.30 fails an assertion outside of
   * any handler, which ends the process, when a target resets a connection
   * whose paused answer is the last one on it. Only answers that surely keep
   * the connection are paused.
   */
  readonly pausable: boolean;
}

const NO_BODY_STATUS: ReadonlySet<number> = new Set([204, 304]);

/**
 * Reads the framing of an answer.
 *
 * @returns undefined when only the close of the connection would mark the end,
 *     which can't be told from a target that broke off.
 */
export function framingOf(
  method: string,
  status: number,
  headers: Headers,
): Framing | undefined {
  if (method === 'HEAD' || NO_BODY_STATUS.has(status)) {
    return {length: 0, pausable: false};
  }
  const connection = text(headers['connection']);
  if (text(headers['transfer-encoding']).endsWith('chunked')) {
    // Chunked encoding exists only in HTTP/1.1, which keeps connections.
    return {length: undefined, pausable: !connection.includes('close')};
  }
  const length = text(headers['content-length']);
  if (!/^\d+$/.test(length)) return undefined;
  // An HTTP/1.0 target closes unless it says otherwise, and the version of the
  // answer is not known here.
  const kept = connection.includes('keep-alive');
  return {length: Number(length), pausable: kept};
}

function text(value: string | string[] | undefined): string {
  const joined = Array.isArray(value) ? value.join(',') : (value ?? '');
  return joined.trim().toLowerCase();
}
