import {Either} from 'purify-ts';
import {Millis} from '../base/clock.js';
import {Instance} from '../base/platform.js';
import {Refusal} from '../base/refusal.js';
import {ServiceConfiguration} from '../tickets/types.js';

/** The properties of a request that routing depends on. */
export interface RoutedRequest {
  readonly service: string;
  readonly idempotent: boolean;
  /** Local time in milliseconds after which a response is useless. */
  readonly deadline: Millis;
  /** Ids of the targets that earlier attempts of this request were sent to. */
  readonly tried: readonly string[];
}

/**
 * The target chosen for one attempt. The holder must call
 * `TargetSelector.finish` on it exactly once.
 */
export interface TargetSelection {
  readonly service: string;
  readonly target: Instance;
  readonly chosenAt: Millis;
  /** Whether the attempt is a retry or hedge, charged to the retry budget. */
  readonly retry: boolean;
  /** Whether the attempt probes an ejected target. */
  readonly probe: boolean;
}

/** How an attempt ended. */
export const AttemptOutcome = {
  /** The complete response was forwarded to the caller. */
  SUCCEEDED: 'succeeded',
  /** The target responded with a server error. */
  FAILED: 'failed',
  /** The connection was refused before any byte was sent. */
  NOT_SENT: 'not-sent',
  /** The connection failed after bytes were sent. */
  BROKEN: 'broken',
  /** The deadline of the request passed. */
  TIMED_OUT: 'timed-out',
  /** The caller disconnected or cancelled the request. */
  CANCELLED: 'cancelled',
} as const;
export type AttemptOutcome =
  (typeof AttemptOutcome)[keyof typeof AttemptOutcome];

/** Live instances and configuration that the router works with. */
export interface RoutingState {
  readonly dataCentre: string;
  /** Number of live entry instances in this data centre, including this one. */
  readonly entryInstances: number;
  readonly targets: readonly Instance[];
  readonly services: Readonly<Record<string, ServiceConfiguration>>;
  /**
   * Additional round-trip time in milliseconds of a request to another data
   * centre, by data centre. Defaults to `DEFAULT_EXTRA_DELAY_MS`.
   */
  readonly extraDelayMs?: Readonly<Record<string, Millis>>;
}

/**
 * Extra delay of a data centre that the settings don't list. Twice the longest
 * known round trip between data centres, which is 2 × 1.5 ms.
 */
export const DEFAULT_EXTRA_DELAY_MS: Millis = 6;

/** Load balancer: chooses a target for each attempt of a request. */
export interface TargetSelector {
  /**
   * Replaces the instances and configuration. In-flight counts and statistics
   * of known targets are kept.
   */
  update(state: RoutingState, now: Millis): void;
  /**
   * Sends no more requests to a target until its start number exceeds `start`,
   * by default its current start number. Without `start`, an unknown target is
   * ignored.
   */
  markLeaving(target: string, start?: number): void;
  /**
   * Chooses a target without waiting.
   *
   * @returns the choice, or a refusal (`ran` is `no`) when the service is
   *     unknown, has no available target, all its targets are full, or its
   *     retry budget is spent.
   */
  choose(request: RoutedRequest, now: Millis): Either<Refusal, TargetSelection>;
  /** Concurrent requests that a service's targets accept from this instance. */
  capacity(service: string): number;
  /**
   * Reports the outcome of an attempt and releases its place at the target.
   *
   * @param latency milliseconds from the choice to the start of the response;
   *     by default from the choice to `now`. 'unmeasured' when the time says
   *     nothing about the target, for example because the caller sent the
   *     request slowly.
   */
  finish(
    choice: TargetSelection,
    outcome: AttemptOutcome,
    now: Millis,
    latency?: Millis | 'unmeasured',
  ): void;
}
