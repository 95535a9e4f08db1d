import {Exchange, heldBodyBytes} from './json_server.js';

/** The request body exceeds the limit. */
export class BodyTooLargeError extends Error {
  constructor(readonly limit: number) {
    super(`The request body is larger than ${limit} bytes.`);
  }
}

/** The caller disconnected while its body was being forwarded. */
export class BodyAbortedError extends Error {
  constructor(cause: unknown) {
    super('the caller broke off its request body', {cause});
  }
}

/** Size limits of a request body in bytes. */
export interface BodyLimits {
  /** Maximum size of a body that is buffered; larger ones are streamed. */
  readonly maxBufferedBodyBytes: number;
  readonly maxBodyBytes: number;
}

/**
 * The body of a caller's request. A small body is buffered and can be sent
 * again; a larger one is streamed to the target once.
 */
export class RequestBody {
  private fullyStreamed = false;

  private constructor(
    /** The complete body; undefined if it is streamed. */
    readonly bytes: Buffer | undefined,
    /** Length in bytes; undefined if it is not known in advance. */
    readonly length: number | undefined,
    private readonly firstChunks: readonly Buffer[],
    private readonly remainingChunks: AsyncIterator<Buffer> | undefined,
    private readonly limit: number,
  ) {}

  /**
   * Reads the body, or only its first chunks if it is larger than
   * `maxBufferedBodyBytes`.
   *
   * @throws BodyTooLargeError if the declared length exceeds the limit, or the
   *     error of the request if the caller disconnects.
   */
  static async receive(
    {request, connection}: Pick<Exchange, 'request' | 'connection'>,
    limits: BodyLimits,
  ): Promise<RequestBody> {
    const {maxBufferedBodyBytes, maxBodyBytes} = limits;
    const declared = declaredLength(request);
    if (declared !== undefined && declared > maxBodyBytes) {
      throw new BodyTooLargeError(maxBodyBytes);
    }
    if (declared === 0) {
      return new RequestBody(Buffer.alloc(0), 0, [], undefined, maxBodyBytes);
    }
    // Ending the iteration early must not destroy the request, because the
    // response is sent on the same socket.
    const iterator = request.iterator({destroyOnReturn: false});
    const chunks: Buffer[] = [];
    let size = 0;
    while (size <= maxBufferedBodyBytes) {
      const next = await iterator.next();
      if (next.done === true) {
        const bytes = Buffer.concat(chunks);
        return new RequestBody(bytes, size, [], undefined, maxBodyBytes);
      }
      chunks.push(next.value as Buffer);
      size += (next.value as Buffer).length;
      connection?.onBodyChunk(heldBodyBytes(size, chunks.length));
    }
    return new RequestBody(undefined, declared, chunks, iterator, maxBodyBytes);
  }

  /** Whether the body can be sent more than once. */
  get repeatable(): boolean {
    return this.bytes !== undefined;
  }

  /** Whether the complete body was received from the caller. */
  get received(): boolean {
    return this.repeatable || this.fullyStreamed;
  }

  /** Returns the body in a form that undici accepts. */
  content(): Buffer | AsyncIterable<Buffer> {
    return this.bytes ?? this.stream();
  }

  private async readNext(
    iterator: AsyncIterator<Buffer>,
  ): Promise<IteratorResult<Buffer>> {
    try {
      return await iterator.next();
    } catch (error) {
      throw new BodyAbortedError(error);
    }
  }

  private async *stream(): AsyncGenerator<Buffer> {
    let size = 0;
    for (const chunk of this.firstChunks) {
      size += chunk.length;
      yield chunk;
    }
    while (this.remainingChunks !== undefined) {
      const next = await this.readNext(this.remainingChunks);
      if (next.done === true) {
        this.fullyStreamed = true;
        return;
      }
      size += next.value.length;
      if (size > this.limit) throw new BodyTooLargeError(this.limit);
      yield next.value;
    }
  }
}

/** Returns the length in bytes from the headers; undefined if chunked. */
function declaredLength(request: Exchange['request']): number | undefined {
  if (request.headers['transfer-encoding'] !== undefined) return undefined;
  return Number(request.headers['content-length'] ?? 0);
}
