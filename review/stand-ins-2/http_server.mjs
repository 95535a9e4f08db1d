import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {URL} from 'node:url';

/**
 * Starts an HTTP server on a loopback address. `handle` gets the method, the
 * path, the query, the headers and the body, and returns `{status, body}`;
 * undefined closes the connection without an answer, and `NO_ANSWER` leaves it
 * open without one.
 */
export async function serve(host, port, handle) {
  const server = createServer(async (request, response) => {
    try {
      const chunks = [];
      for await (const chunk of request) chunks.push(chunk);
      const url = new URL(request.url, 'http://stand-in');
      const result = await handle({
        method: request.method,
        path: url.pathname,
        query: url.searchParams,
        headers: request.headers,
        body: Buffer.concat(chunks),
      });
      if (result === NO_ANSWER) return;
      if (result === undefined) {
        request.socket.destroy();
        return;
      }
      const {status, body} = result;
      const bytes = Buffer.isBuffer(body)
        ? body
        : Buffer.from(JSON.stringify(body));
      response.writeHead(status, {'content-length': bytes.length}).end(bytes);
    } catch {
      request.socket.destroy();
    }
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return server;
}

/** Leaves a request open and unanswered. */
export const NO_ANSWER = Symbol('no answer');
