import {z} from 'zod';
import {LeadershipPeerMessage} from '../common/leadership/types.js';
import {TicketSnapshot} from '../common/tickets/types.js';
import {ClaimAnswer, JobView, Submission} from '../common/jobs/types.js';
import {Refusal} from '../common/base/refusal.js';

/** Version of the protocol between entry instances. */
export const PEER_PROTOCOL_VERSION = 1;

/** First message of both sides on a link. */
export interface Hello {
  readonly kind: 'hello';
  readonly version: number;
  readonly instance: string;
  /** Identifies the process of the instance; higher for later processes. */
  readonly start: number;
  readonly dataCentre: string;
  /** Address of the sender's port for peer links, as `IP:port`. */
  readonly address: string;
}

/** A worker's mean latency relative to the median target's; 1 is normal. */
export interface Slowdown {
  readonly worker: string;
  readonly slowdown: number;
}

/** State that an instance sends to its peers twice a second. */
export interface PeerState {
  readonly kind: 'state';
  /** Number of the ticket in force at the sender. */
  readonly ticketNumber: number;
  /** Time since the sender last read to the end of the ticket stream, in ms. */
  readonly ticketAgeMs: number;
  /** Epoch in which the sender leads its data centre; null if it doesn't. */
  readonly leads: number | null;
  /** Ids of targets that are leaving according to the sender. */
  readonly leaving: readonly string[];
  /** Slowdowns of workers of the sender's data centre, measured by it. */
  readonly slowdowns: readonly Slowdown[];
  /** The sender is shutting down, or a ticket drains it. */
  readonly draining: boolean;
}

/** Request of an instance to the leader of a data centre. */
export type PeerRequest =
  | {readonly kind: 'submit'; readonly submission: Submission}
  | {readonly kind: 'cancel'; readonly job: string}
  | {readonly kind: 'job'; readonly job: string}
  | {readonly kind: 'jobs'}
  | {readonly kind: 'claim'; readonly key: string; readonly instance: string}
  | {
      readonly kind: 'end-claim';
      readonly key: string;
      readonly outcome: number | 'released';
    };

/** Answer to a request: a refusal, or the value for that kind of request. */
export type PeerAnswer =
  | {readonly ok: false; readonly refusal: Refusal}
  | {
      readonly ok: true;
      readonly value: JobView | JobView[] | ClaimAnswer | null;
    };

/** Messages between entry instances. */
export type PeerMessage =
  | Hello
  | PeerState
  | {readonly kind: 'leadership'; readonly message: LeadershipPeerMessage}
  | {readonly kind: 'request'; readonly id: number; readonly body: PeerRequest}
  | {readonly kind: 'answer'; readonly id: number; readonly body: PeerAnswer}
  | {readonly kind: 'snapshot-request'}
  | {readonly kind: 'snapshot'; readonly snapshot: TicketSnapshot}
  | {readonly kind: 'goodbye'};

export type PeerMessageKind = PeerMessage['kind'];

const VIEW_SCHEMA = z.object({
  epoch: z.number(),
  leader: z.string(),
  members: z.array(z.string()),
});

const LEADERSHIP_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('grant-request'),
    epoch: z.number(),
    nonce: z.number(),
  }),
  z.object({kind: z.literal('grant'), epoch: z.number(), nonce: z.number()}),
  z.object({kind: z.literal('join'), epoch: z.number()}),
  z.object({kind: z.literal('consent-request'), epoch: z.number().nullable()}),
  z.object({kind: z.literal('consent'), epoch: z.number().nullable()}),
  z.object({kind: z.literal('view-held'), view: VIEW_SCHEMA}),
  z.object({kind: z.literal('resign'), epoch: z.number()}),
]);

const REQUEST_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('submit'),
    submission: z.looseObject({key: z.string()}),
  }),
  z.object({kind: z.literal('cancel'), job: z.string()}),
  z.object({kind: z.literal('job'), job: z.string()}),
  z.object({kind: z.literal('jobs')}),
  z.object({
    kind: z.literal('claim'),
    key: z.string(),
    instance: z.string(),
  }),
  z.object({
    kind: z.literal('end-claim'),
    key: z.string(),
    outcome: z.union([z.number(), z.literal('released')]),
  }),
]);

const ANSWER_SCHEMA = z.union([
  z.object({ok: z.literal(true), value: z.unknown()}),
  z.object({
    ok: z.literal(false),
    refusal: z.looseObject({
      error: z.string(),
      message: z.string(),
      remedy: z.string(),
      ran: z.enum(['no', 'yes', 'unknown']),
    }),
  }),
]);

const MESSAGE_SCHEMA = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('hello'),
    version: z.number(),
    instance: z.string().min(1),
    start: z.number(),
    dataCentre: z.string(),
    address: z.string(),
  }),
  z.object({
    kind: z.literal('state'),
    ticketNumber: z.number(),
    ticketAgeMs: z.number(),
    leads: z.number().nullable(),
    leaving: z.array(z.string()),
    slowdowns: z.array(z.object({worker: z.string(), slowdown: z.number()})),
    draining: z.boolean(),
  }),
  z.object({kind: z.literal('leadership'), message: LEADERSHIP_SCHEMA}),
  z.object({kind: z.literal('request'), id: z.number(), body: REQUEST_SCHEMA}),
  z.object({kind: z.literal('answer'), id: z.number(), body: ANSWER_SCHEMA}),
  z.object({kind: z.literal('snapshot-request')}),
  z.object({
    kind: z.literal('snapshot'),
    // `TicketState.applySnapshot` checks the content.
    snapshot: z.unknown(),
  }),
  z.object({kind: z.literal('goodbye')}),
]);

/** Checks a decoded message; undefined if malformed or of an unknown kind. */
export function parsePeerMessage(value: unknown): PeerMessage | undefined {
  const parsed = MESSAGE_SCHEMA.safeParse(value);
  return parsed.success ? (parsed.data as PeerMessage) : undefined;
}
