import {Either, Left, Right} from 'purify-ts';
import {Agent, request} from 'undici';
import {Millis} from '../common/base/clock.js';

/** Why a call to the platform gave no usable response. */
export const PlatformErrorKind = {
  /** The connection could not be opened: the call had no effect. */
  REFUSED: 'refused',
  /** No response arrived: the call may have taken effect. */
  NO_ANSWER: 'no-answer',
  /**
   * The service can't handle the call now (status 5xx). The call may still have
   * taken effect.
   */
  UNAVAILABLE: 'unavailable',
  /** The response does not conform to the protocol. */
  MALFORMED: 'malformed',
} as const;
export type PlatformErrorKind =
  (typeof PlatformErrorKind)[keyof typeof PlatformErrorKind];

/** A failed call to the platform. */
export interface PlatformError {
  readonly kind: PlatformErrorKind;
  /** HTTP status, if there was a response. */
  readonly status?: number;
  readonly message: string;
}

/** HTTP response of the platform, with its JSON body parsed. */
export interface PlatformResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Codes of errors after which the request was certainly not sent. */
const NOT_SENT_CODES: readonly string[] = [
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
];

/** Returns whether the status tells if the call took effect. */
function isConclusive(status: number): boolean {
  return status < 500;
}

/** Calls HTTP/JSON services of the platform through one connection pool. */
export class PlatformClient {
  private readonly agent: Agent;

  /**
   * @param connections maximum number of connections per origin.
   */
  constructor(connections = 8) {
    this.agent = new Agent({
      connections,
      pipelining: 1,
      connect: {timeout: 1000},
      keepAliveTimeout: 30_000,
    });
  }

  /**
   * Sends one request, without retries.
   *
   * @param timeoutMs limit for the whole call, including the response body.
   */
  async call(
    method: 'GET' | 'POST' | 'PUT' | 'DELETE',
    url: string,
    body: unknown,
    timeoutMs: Millis,
  ): Promise<Either<PlatformError, PlatformResponse>> {
    try {
      const response = await request(url, {
        method,
        dispatcher: this.agent,
        headers: body === undefined ? {} : {'content-type': 'application/json'},
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await response.body.text();
      if (!isConclusive(response.statusCode)) {
        return Left({
          kind: PlatformErrorKind.UNAVAILABLE,
          status: response.statusCode,
          message: `${method} ${url} returned status ${response.statusCode}`,
        });
      }
      return this.parseBody(response.statusCode, text, url);
    } catch (error) {
      return Left(this.toPlatformError(error as Error, `${method} ${url}`));
    }
  }

  /** Closes all connections; calls in progress fail. */
  dispose(): void {
    void this.agent.destroy();
  }

  private parseBody(
    status: number,
    text: string,
    url: string,
  ): Either<PlatformError, PlatformResponse> {
    try {
      return Right({status, body: text === '' ? undefined : JSON.parse(text)});
    } catch {
      return Left({
        kind: PlatformErrorKind.MALFORMED,
        status,
        message: `${url} returned malformed JSON`,
      });
    }
  }

  private toPlatformError(error: Error, call: string): PlatformError {
    const code = (error as NodeJS.ErrnoException).code ?? '';
    const kind = NOT_SENT_CODES.includes(code)
      ? PlatformErrorKind.REFUSED
      : PlatformErrorKind.NO_ANSWER;
    return {kind, message: `${call} failed: ${error.message}`};
  }
}
