import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {AddressInfo} from 'node:net';
import {Millis, SECOND} from '../common/base/clock.js';
import {
  Refusal,
  refuse,
  RefusalKind,
  REFUSAL_STATUS,
} from '../common/base/refusal.js';
import {ConnectionGuard} from './connections/connection_guard.js';
import {GuardedConnection} from './connections/guarded_connection.js';

/** A request and its response. */
export interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** Path parameters, percent-decoded. */
  readonly parameters: Readonly<Record<string, string>>;
  /** Counts the memory of the body; undefined if the server has no guard. */
  readonly connection?: GuardedConnection;
}

/** Memory of a chunk of a body beside its bytes. */
const CHUNK_OVERHEAD_BYTES = 200;

/** Estimates the memory of a body in chunks, in bytes. */
export function heldBodyBytes(bytes: number, chunks: number): number {
  return bytes + chunks * CHUNK_OVERHEAD_BYTES;
}

/** Handles a request; a thrown `RefusalError` is sent as the response. */
export type RouteHandler = (exchange: Exchange) => Promise<void> | void;

/** Thrown by a route handler to respond with a refusal. */
export class RefusalError extends Error {
  constructor(readonly refusal: Refusal) {
    super(refusal.message);
  }
}

/** Limits on the requests of a server. */
export interface ServerLimits {
  /** Maximum size of a request body, in bytes. */
  readonly maxBodyBytes: number;
  /** Time in milliseconds for receiving a whole request from the client. */
  readonly requestTimeoutMs: Millis;
}

export const DEFAULT_SERVER_LIMITS: ServerLimits = {
  maxBodyBytes: 1024 * 1024,
  requestTimeoutMs: 30 * SECOND,
};

interface Route {
  readonly method: string;
  readonly pattern: RegExp;
  readonly parameterNames: readonly string[];
  readonly handler: RouteHandler;
}

/** Converts the path of a route to a pattern and the names of its groups. */
function compileRoute(
  method: string,
  path: string,
  handler: RouteHandler,
): Route {
  const parameterNames: string[] = [];
  const source = path.replace(
    /\/\{(\w+)\.\.\.\}|\{(\w+)\}/g,
    (unusedMatch, rest?: string, segment?: string) => {
      parameterNames.push(rest ?? segment ?? '');
      return rest === undefined ? '([^/]+)' : '(?:/(.*))?';
    },
  );
  return {method, pattern: new RegExp(`^${source}$`), parameterNames, handler};
}

/**
 * Sends `body` as a JSON response, unless the headers were sent already or the
 * connection is closed.
 */
export function sendJson(
  response: ServerResponse,
  status: number,
  body: unknown,
): void {
  if (response.headersSent || response.destroyed) return;
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
}

/** Sends a refusal, with a Retry-After header if a retry can help. */
export function sendRefusal(response: ServerResponse, refusal: Refusal): void {
  if (response.headersSent || response.destroyed) return;
  if (refusal.retryAfterMs !== undefined) {
    const seconds = Math.max(1, Math.ceil(refusal.retryAfterMs / SECOND));
    response.setHeader('retry-after', String(seconds));
  }
  sendJson(response, REFUSAL_STATUS[refusal.error], refusal);
}

/**
 * Reads a request body of at most `maxBytes` bytes.
 *
 * @throws RefusalError with `body_too_large` above the limit.
 */
export async function readBody(
  {request, connection}: Pick<Exchange, 'request' | 'connection'>,
  maxBytes: number,
): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let byteCount = 0;
  for await (const chunk of request) {
    byteCount += (chunk as Buffer).length;
    if (byteCount > maxBytes) {
      throw new RefusalError(
        refuse(
          RefusalKind.BODY_TOO_LARGE,
          `The request body is larger than ${maxBytes} bytes.`,
          'Send a smaller body or raise limits.maxBodyBytes.',
        ),
      );
    }
    chunks.push(chunk as Buffer);
    connection?.onBodyChunk(heldBodyBytes(byteCount, chunks.length));
  }
  return Buffer.concat(chunks);
}

/**
 * Reads and parses a JSON body of at most `maxBytes` bytes.
 *
 * @throws RefusalError with `bad_request` for malformed JSON.
 */
export async function readJson(
  exchange: Pick<Exchange, 'request' | 'connection'>,
  maxBytes: number,
): Promise<unknown> {
  const body = await readBody(exchange, maxBytes);
  try {
    return JSON.parse(body.toString('utf8'));
  } catch (error) {
    throw new RefusalError(
      refuse(
        RefusalKind.BAD_REQUEST,
        `The body is not valid JSON: ${(error as Error).message}.`,
        'Send a JSON document with content-type application/json.',
      ),
    );
  }
}

/** HTTP server that dispatches requests to routes by method and path. */
export class JsonServer {
  private readonly routes: Route[] = [];
  private readonly server: Server;

  /** @param guard limits the connections; without it, they have no limits. */
  constructor(
    readonly limits: ServerLimits = DEFAULT_SERVER_LIMITS,
    private readonly guard?: ConnectionGuard,
  ) {
    this.server = createServer((request, response) => {
      const dispatch = () => this.dispatch(request, response);
      void (guard?.inTurn(request, dispatch) ?? dispatch());
    });
    guard?.attach(this.server);
    this.server.requestTimeout = limits.requestTimeoutMs;
    this.server.headersTimeout = Math.min(limits.requestTimeoutMs, 10 * SECOND);
    this.server.keepAliveTimeout = 60 * SECOND;
  }

  /**
   * Adds a route; the first one that matches a request handles it. `{name}`
   * matches one segment of the path, `/{name...}` the rest, and the method `*`
   * any method.
   */
  route(method: string, path: string, handler: RouteHandler): this {
    this.routes.push(compileRoute(method, path, handler));
    return this;
  }

  /** Starts listening; resolves with the bound port. */
  listen(port: number, host: string): Promise<number> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Stops accepting connections; resolves when all requests have ended. */
  close(): Promise<void> {
    return new Promise(resolve => {
      this.server.close(() => resolve());
      this.server.closeIdleConnections();
    });
  }

  /** Closes the connections that have no request in progress. */
  closeIdleConnections(): void {
    this.server.closeIdleConnections();
  }

  /** Closes all connections, also those with a request in progress. */
  closeAllConnections(): void {
    this.server.closeAllConnections();
  }

  /** The underlying Node.js server, for connection limits, events and upgrades. */
  get httpServer(): Server {
    return this.server;
  }

  private matchRoute(method: string, path: string) {
    for (const route of this.routes) {
      if (route.method !== '*' && route.method !== method) continue;
      const match = route.pattern.exec(path);
      if (match === null) continue;
      const parameters: Record<string, string> = {};
      route.parameterNames.forEach((name, i) => {
        parameters[name] = decodeURIComponent(match[i + 1] ?? '');
      });
      return {handler: route.handler, parameters};
    }
    return undefined;
  }

  private async dispatch(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const url = new URL(request.url ?? '/', 'http://localhost');
      const matched = this.matchRoute(request.method ?? 'GET', url.pathname);
      if (matched === undefined) {
        sendRefusal(
          response,
          refuse(
            RefusalKind.NOT_FOUND,
            `Nothing is at ${request.method} ${url.pathname}.`,
            'See the API reference in docs/API.md.',
          ),
        );
        return;
      }
      await matched.handler({
        request,
        response,
        url,
        parameters: matched.parameters,
        connection: this.guard?.connectionOf(request),
      });
    } catch (error) {
      this.sendError(error, response);
    }
  }

  private sendError(error: unknown, response: ServerResponse): void {
    if (error instanceof RefusalError) {
      if (error.refusal.error === RefusalKind.BODY_TOO_LARGE) {
        // The rest of the body is not read, so the connection can't be reused.
        response.setHeader('connection', 'close');
      }
      sendRefusal(response, error.refusal);
      return;
    }
    if (error instanceof URIError) {
      sendRefusal(
        response,
        refuse(
          RefusalKind.BAD_REQUEST,
          'The path has a malformed percent escape.',
          'Encode the path as in RFC 3986.',
        ),
      );
      return;
    }
    sendJson(response, 500, {
      error: 'internal',
      message: (error as Error).message,
      remedy: 'Report this with the log of the instance.',
      ran: 'unknown',
    });
  }
}
