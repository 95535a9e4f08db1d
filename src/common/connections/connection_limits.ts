import {Millis} from '../base/clock.js';

/** Limits on the connections of one listener. */
export interface ConnectionLimits {
  /** Connections that are open at the same time. */
  readonly connections: number;
  /** Requests that are being handled at the same time. */
  readonly requests: number;
  /** Bytes of bodies, until their requests have been answered. */
  readonly bodyBytes: number;
  /** Received bytes that have not been parsed yet. */
  readonly inputBytes: number;
  /** Bytes of responses that the client has not taken yet. */
  readonly outputBytes: number;
  /** Time from the first byte of a request to the end of its headers. */
  readonly headerMs: Millis;
  /** Time without a request on an open connection. */
  readonly idleMs: Millis;
  /** Time without a byte of a body that has not ended. */
  readonly stallMs: Millis;
  /** Time for a whole body, or for a client to take its responses. */
  readonly transferMs: Millis;
}

/** Limits of the machine on the process, from the settings file. */
export interface ProcessLimits {
  readonly memoryMb: number;
  /** File descriptors. */
  readonly descriptors: number;
}

/** Limits of the smallest machine; used if the settings name none. */
export const SMALLEST_MACHINE: ProcessLimits = {
  memoryMb: 250,
  descriptors: 4100,
};

const BYTES_PER_MB = 1024 * 1024;

/**
 * Memory that the process uses beside its connections: 118 MB were resident at
 * most with a store of a few records and 400 silent connections.
 */
export const OWN_MEMORY_MB = 118;

/**
 * Share of the remaining memory for all clients. The rest is for records of
 * the store, the calls to workers, and garbage that is not collected yet.
 */
const CLIENT_MEMORY_SHARE = 0.5;

/** Least memory for all clients, where the settings allow hardly any. */
const MIN_CLIENT_MEMORY_MB = 8;

/** Descriptors for files, the store, workers and other instances. */
const OWN_DESCRIPTORS = 80;

/** Share of the remaining descriptors for connections of clients. */
const CLIENT_DESCRIPTOR_SHARE = 0.75;

/**
 * Memory of one open connection. 2,000 connections took 10 kB each when silent,
 * and 26 kB each with 15 kB of headers that had not ended.
 */
const CONNECTION_BYTES = 16_384;

/** Memory of a request in work beside its body, with its decoded job. */
const REQUEST_BYTES = 16_384;

/** Shares of a listener's memory by what it is used for; their sum is 1. */
const MEMORY_SHARES = {
  connections: 0.25,
  requests: 0.1,
  body: 0.3,
  input: 0.2,
  output: 0.15,
} as const;

/** Callers have 3,000 ms for their headers; the rest is for the network. */
const HEADER_TIMEOUT_MS: Millis = 4000;

/** Callers close idle connections after 15,000 ms at the latest. */
const IDLE_TIMEOUT_MS: Millis = 16_000;

/** Callers wait 3,000 ms for a response, so a body that stalls is given up. */
const STALL_TIMEOUT_MS: Millis = 5000;

/** The largest body takes 0.3 s on the slowest link of 7 Mbit/s. */
const TRANSFER_TIMEOUT_MS: Millis = 30_000;

/** Listeners of the process that a client could reach. */
export const Listener = {
  API: 'api',
  READINESS: 'readiness',
  METRICS: 'metrics',
  RELAY: 'relay',
} as const;
export type Listener = (typeof Listener)[keyof typeof Listener];

/**
 * Shares of the memory and descriptors by listener; their sum is 1. Callers use
 * the job API; the load balancer, a metrics collector and the other instances
 * need one connection each at a time.
 */
const LISTENER_SHARES: Readonly<Record<Listener, number>> = {
  [Listener.API]: 0.7,
  [Listener.READINESS]: 0.06,
  [Listener.METRICS]: 0.06,
  [Listener.RELAY]: 0.18,
};

/** Least numbers that a listener works with, for very small settings. */
const MIN_CONNECTIONS = 16;
const MIN_BYTES = 300_000;

/** The relay accepts frames of 4,000,000 bytes (`MAX_RELAY_FRAME_BYTES`). */
const MIN_RELAY_BODY_BYTES = 4_200_000;

/** Derives the limits of one listener from those of the process. */
export function limitsOf(
  listener: Listener,
  {memoryMb, descriptors}: ProcessLimits,
): ConnectionLimits {
  const share = LISTENER_SHARES[listener];
  const clientMb = Math.max(
    MIN_CLIENT_MEMORY_MB,
    (memoryMb - OWN_MEMORY_MB) * CLIENT_MEMORY_SHARE,
  );
  const bytes = clientMb * share * BYTES_PER_MB;
  const byDescriptors =
    (descriptors - OWN_DESCRIPTORS) * CLIENT_DESCRIPTOR_SHARE * share;
  const byMemory = (bytes * MEMORY_SHARES.connections) / CONNECTION_BYTES;
  const bytesFor = (part: number) =>
    Math.max(MIN_BYTES, Math.floor(bytes * part));
  return {
    connections: Math.max(
      MIN_CONNECTIONS,
      Math.floor(Math.min(byDescriptors, byMemory)),
    ),
    requests: Math.max(
      MIN_CONNECTIONS,
      Math.floor((bytes * MEMORY_SHARES.requests) / REQUEST_BYTES),
    ),
    bodyBytes: Math.max(
      bytesFor(MEMORY_SHARES.body),
      listener === Listener.RELAY ? MIN_RELAY_BODY_BYTES : 0,
    ),
    inputBytes: bytesFor(MEMORY_SHARES.input),
    outputBytes: bytesFor(MEMORY_SHARES.output),
    headerMs: HEADER_TIMEOUT_MS,
    idleMs: IDLE_TIMEOUT_MS,
    stallMs: STALL_TIMEOUT_MS,
    transferMs: TRANSFER_TIMEOUT_MS,
  };
}
