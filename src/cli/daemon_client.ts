import {Either, Left, Right} from 'purify-ts';
import {Dispatcher, request} from 'undici';
import {Millis, SECOND} from '../common/base/clock.js';

/** HTTP response of a daemon. */
export interface DaemonResponse {
  /** HTTP status code. */
  readonly status: number;
  /** Parsed JSON body. */
  readonly body: unknown;
}

/** Why a request got no usable response. */
export interface RequestError {
  /**
   * `not-sent` if the daemon certainly did not get the request, `broken` if it
   * may have.
   */
  readonly kind: 'not-sent' | 'broken';
  readonly address: string;
  readonly reason: string;
}

/** Longer than a daemon takes for any response. */
const RESPONSE_TIMEOUT_MS: Millis = 30 * SECOND;

/** Codes of errors that occur before any byte of the request is sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'EADDRNOTAVAIL',
  'EACCES',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Returns the code of an error or of the nearest cause that has one. */
function errorCode(error: unknown): string | undefined {
  const {code, cause} = error as {code?: unknown; cause?: unknown};
  if (typeof code === 'string') return code;
  return cause === undefined ? undefined : errorCode(cause);
}

/** HTTP client of the operator API of a daemon. */
export class DaemonClient {
  /**
   * @param address http URL without a trailing slash.
   * @param limitMs time for a whole response, if it is limited.
   */
  constructor(
    readonly address: string,
    private readonly limitMs?: Millis,
  ) {}

  get(path: string): Promise<Either<RequestError, DaemonResponse>> {
    return this.send('GET', path);
  }

  post(
    path: string,
    body: unknown,
  ): Promise<Either<RequestError, DaemonResponse>> {
    return this.send('POST', path, body);
  }

  delete(path: string): Promise<Either<RequestError, DaemonResponse>> {
    return this.send('DELETE', path);
  }

  private async send(
    method: Dispatcher.HttpMethod,
    path: string,
    body?: unknown,
  ): Promise<Either<RequestError, DaemonResponse>> {
    const {address} = this;
    try {
      const response = await request(address + path, {
        method,
        headers: {
          'content-type': 'application/json',
          // The process exits after a few requests; no need for keep-alive.
          connection: 'close',
        },
        body: body === undefined ? undefined : JSON.stringify(body),
        ...(this.limitMs !== undefined && {
          signal: AbortSignal.timeout(this.limitMs),
        }),
        headersTimeout: RESPONSE_TIMEOUT_MS,
        bodyTimeout: RESPONSE_TIMEOUT_MS,
      });
      const value: unknown = JSON.parse(await response.body.text());
      return Right({status: response.statusCode, body: value});
    } catch (error) {
      if (error instanceof SyntaxError) {
        const reason = 'the answer is not JSON';
        return Left({kind: 'broken', address, reason});
      }
      const code = errorCode(error);
      const kind =
        code !== undefined && NOT_SENT_CODES.has(code) ? 'not-sent' : 'broken';
      const reason = (error as Error).message || code || 'unknown error';
      return Left({kind, address, reason});
    }
  }
}
