import {IncomingMessage} from 'node:http';

/** The body grew above the limit while it was passed on. */
export class BodyTooLargeError extends Error {
  constructor(readonly limit: number) {
    super(`The request body is larger than ${limit} bytes.`);
  }
}

/** Limits of a request body in bytes. */
export interface BodyLimits {
  /** Largest body that is kept as a whole. */
  readonly bufferedBodyBytes: number;
  readonly maxBodyBytes: number;
}

/**
 * The body of a caller's request. A small one is kept and can be sent again; a
 * larger one is passed on as it arrives, once.
 */
export class RequestBody {
  private constructor(
    /** The whole body; undefined when it is streamed. */
    readonly bytes: Buffer | undefined,
    /** Length in bytes; undefined when it is not known in advance. */
    readonly length: number | undefined,
    private readonly begin: readonly Buffer[],
    private readonly rest: AsyncIterator<Buffer> | undefined,
    private readonly limit: number,
  ) {}

  /**
   * Reads the body, or its beginning when it is larger than
   * `bufferedBodyBytes`.
   *
   * @throws BodyTooLargeError when the announced length is above the limit,
   *     or the error of the request when the caller breaks off.
   */
  static async receive(
    request: IncomingMessage,
    limits: BodyLimits,
  ): Promise<RequestBody> {
    const {bufferedBodyBytes, maxBodyBytes} = limits;
    const announced = announcedLength(request);
    if (announced !== undefined && announced > maxBodyBytes) {
      throw new BodyTooLargeError(maxBodyBytes);
    }
    if (announced === 0) {
      return new RequestBody(Buffer.alloc(0), 0, [], undefined, maxBodyBytes);
    }
    // Breaking off the iteration must not destroy the request: the answer
    // still goes out on the same socket.
    const rest = request.iterator({destroyOnReturn: false});
    const chunks: Buffer[] = [];
    let size = 0;
    while (size <= bufferedBodyBytes) {
      const next = await rest.next();
      if (next.done === true) {
        const bytes = Buffer.concat(chunks);
        return new RequestBody(bytes, size, [], undefined, maxBodyBytes);
      }
      chunks.push(next.value as Buffer);
      size += (next.value as Buffer).length;
    }
    return new RequestBody(undefined, announced, chunks, rest, maxBodyBytes);
  }

  /** Tells whether the body can be sent more than once. */
  get repeatable(): boolean {
    return this.bytes !== undefined;
  }

  /** Gives the body in the form that undici takes. */
  content(): Buffer | AsyncIterable<Buffer> {
    return this.bytes ?? this.stream();
  }

  private async *stream(): AsyncGenerator<Buffer> {
    let size = 0;
    for (const chunk of this.begin) {
      size += chunk.length;
      yield chunk;
    }
    while (this.rest !== undefined) {
      const next = await this.rest.next();
      if (next.done === true) return;
      size += next.value.length;
      if (size > this.limit) throw new BodyTooLargeError(this.limit);
      yield next.value;
    }
  }
}

/** Length that the headers announce; undefined for a chunked body. */
function announcedLength(request: IncomingMessage): number | undefined {
  if (request.headers['transfer-encoding'] !== undefined) return undefined;
  return Number(request.headers['content-length'] ?? 0);
}
