import {IncomingMessage} from 'node:http';
import {CollectedBody} from './collected_body.js';
import {ConnectionGuard} from './connection_guard.js';

/** Why a request has no body that can be used. */
export const BodyFault = {
  /** The caller aborted the request, or it was refused. */
  ABORTED: 'aborted',
  /** The body exceeds the limit; the rest of it is not read. */
  TOO_LARGE: 'too-large',
} as const;
export type BodyFault = (typeof BodyFault)[keyof typeof BodyFault];

/**
 * Reads a request's body of at most `limitBytes`. Its memory counts in the
 * budget of its listener until the request has been answered.
 */
export function readBody(
  request: IncomingMessage,
  guard: ConnectionGuard,
  limitBytes: number,
): Promise<Buffer | BodyFault> {
  if (Number(request.headers['content-length'] ?? 0) > limitBytes) {
    return Promise.resolve(BodyFault.TOO_LARGE);
  }
  const connection = guard.connectionOf(request);
  const body = new CollectedBody(guard.blocks);
  return new Promise(resolve => {
    const settle = (result: Buffer | BodyFault) => {
      request.removeListener('data', onData);
      body.release();
      resolve(result);
    };
    const onData = (chunk: Buffer) => {
      if (body.length + chunk.length > limitBytes) {
        settle(BodyFault.TOO_LARGE);
        return;
      }
      body.append(chunk);
      connection?.onBodyChunk(body.heldBytes);
    };
    request.on('data', onData);
    request.once('end', () => settle(body.finish()));
    request.once('error', () => settle(BodyFault.ABORTED));
    request.once('close', () => settle(BodyFault.ABORTED));
  });
}
