import {Either} from 'purify-ts';
import {z} from 'zod';
import {SECOND} from '../base/clock.js';
import {validate} from './checked_yaml.js';
import {
  booleanField,
  choiceField,
  durationField,
  singleLineField,
  multilineField,
  memoryField,
  mapField,
  numberField,
  positiveNumberField,
  strictFields,
  integerField,
} from './fields.js';
import {Fault, RoutingPolicy, Ticket, Urgency} from './types.js';

/** Default values of the optional fields of a ticket. */
export const TICKET_DEFAULTS = {
  size: {
    /** Most services and jobs need none. */
    accelerators: 0,
  },
  service: {
    routing: RoutingPolicy.TWO_CHOICES,
    /** About 4 requests for each of the 64 connections to one target. */
    queueLimit: 256,
    /** Deadline of a request that states none, in milliseconds. */
    deadlineMs: 10 * SECOND,
    /** A fraction of requests; see section 3.9 of the design page. */
    retryBudget: 0.1,
  },
  jobClass: {
    urgency: Urgency.NORMAL,
    /** False because a job that runs twice by mistake can waste material. */
    idempotent: false,
    /** See section 3.10 of the design page. */
    maxEvictions: 3,
  },
  team: {
    /** Equal shares for all teams. */
    weight: 1,
  },
} as const;

const MAX_AUTHOR_CHARACTERS = 200;
const MAX_COMMENT_CHARACTERS = 2000;

/** Number of processors, memory in MB and number of accelerators. */
export const SIZE_SCHEMA = strictFields({
  processors: numberField(0),
  memoryMb: memoryField(),
  accelerators: integerField(0).default(TICKET_DEFAULTS.size.accelerators),
});

export const SERVICE_SCHEMA = strictFields({
  reservation: SIZE_SCHEMA,
  routing: choiceField(Object.values(RoutingPolicy)).default(
    TICKET_DEFAULTS.service.routing,
  ),
  queueLimit: integerField(0).default(TICKET_DEFAULTS.service.queueLimit),
  deadlineMs: durationField().default(TICKET_DEFAULTS.service.deadlineMs),
  retryBudget: numberField(0, 1).default(TICKET_DEFAULTS.service.retryBudget),
});

export const JOB_CLASS_SCHEMA = strictFields({
  size: SIZE_SCHEMA,
  runMs: durationField(),
  urgency: choiceField(Object.values(Urgency)).default(
    TICKET_DEFAULTS.jobClass.urgency,
  ),
  idempotent: booleanField().default(TICKET_DEFAULTS.jobClass.idempotent),
  maxEvictions: integerField(0).default(TICKET_DEFAULTS.jobClass.maxEvictions),
});

export const TEAM_SCHEMA = strictFields({
  quota: SIZE_SCHEMA,
  weight: positiveNumberField().default(TICKET_DEFAULTS.team.weight),
});

export const WORKER_SCHEMA = strictFields({
  state: choiceField(['live', 'leaving']),
});

export const INSTANCE_SCHEMA = strictFields({
  state: choiceField(['live', 'leaving', 'gone']),
});

const CHANGES_SCHEMA = strictFields({
  services: mapField(SERVICE_SCHEMA.nullable()).optional(),
  jobClasses: mapField(JOB_CLASS_SCHEMA.nullable()).optional(),
  teams: mapField(TEAM_SCHEMA.nullable()).optional(),
  workers: mapField(WORKER_SCHEMA.nullable()).optional(),
  instances: mapField(INSTANCE_SCHEMA.nullable()).optional(),
}).refine(
  changes =>
    Object.values(changes).some(
      section => section !== undefined && Object.keys(section).length > 0,
    ),
  {error: 'at least one change'},
);

/** A ticket as written by an operator; fills in the default values. */
export const TICKET_SCHEMA: z.ZodType<Ticket> = strictFields({
  number: integerField(1),
  base: integerField(0),
  author: singleLineField(MAX_AUTHOR_CHARACTERS),
  comment: multilineField(MAX_COMMENT_CHARACTERS).optional(),
  changes: CHANGES_SCHEMA,
}).refine(ticket => ticket.number > ticket.base, {
  path: ['number'],
  error: 'a number above base',
});

/** Validates a ticket that is already decoded, such as a request body. */
export function validateTicket(
  value: unknown,
  source: string,
): Either<readonly Fault[], Ticket> {
  return validate(TICKET_SCHEMA, value, source);
}

/*
 * Stream records are validated more loosely than files. Daemons of different
 * versions may read the same stream and must reach the same verdict, so a field
 * that only the newer version knows must not make the older one reject the
 * record.
 */

const LOOSE_SIZE_SCHEMA = z.looseObject({
  processors: z.number().min(0),
  memoryMb: z.number().min(0),
  accelerators: z.number().min(0),
});

function looseSectionSchema(shape: z.ZodRawShape) {
  return mapField(z.looseObject(shape).nullable());
}

const LOOSE_SECTION_SHAPE = {
  services: looseSectionSchema({
    reservation: LOOSE_SIZE_SCHEMA,
    routing: z.string(),
    queueLimit: z.number().min(0),
    deadlineMs: z.number().positive(),
    retryBudget: z.number().min(0),
  }),
  jobClasses: looseSectionSchema({
    size: LOOSE_SIZE_SCHEMA,
    runMs: z.number().positive(),
    urgency: z.string(),
    idempotent: z.boolean(),
    maxEvictions: z.number().min(0),
  }),
  teams: looseSectionSchema({
    quota: LOOSE_SIZE_SCHEMA,
    weight: z.number().positive(),
  }),
  workers: looseSectionSchema({state: z.string()}),
  instances: looseSectionSchema({state: z.string()}),
};

const RECORD_IDENTITY_SHAPE = {
  writer: z.string().min(1),
  sequence: z.int().min(0),
};

const AUDIT_ENTRY_SCHEMA = z.looseObject({
  ...RECORD_IDENTITY_SHAPE,
  offset: z.int().min(0),
  timeMs: z.number(),
  author: z.string(),
  number: z.int(),
  base: z.int(),
  outcome: z.enum(['accepted', 'refused']),
  touched: z.array(z.string()),
});

/** A snapshot from a checkpoint record or a peer. */
export const TICKET_SNAPSHOT_SCHEMA = z.looseObject({
  configuration: z.looseObject({
    number: z.int().min(0),
    ...LOOSE_SECTION_SHAPE,
  }),
  audit: z.array(AUDIT_ENTRY_SCHEMA),
  through: z.int().min(-1),
});

/** A record of the `tickets` stream: the fields that affect the verdict. */
export const TICKET_RECORD_SCHEMA = z.discriminatedUnion('kind', [
  z.looseObject({
    kind: z.literal('ticket'),
    ...RECORD_IDENTITY_SHAPE,
    ticket: z.looseObject({
      number: z.int().min(0),
      base: z.int().min(0),
      author: z.string(),
      changes: z.looseObject(LOOSE_SECTION_SHAPE).partial(),
    }),
  }),
  z.looseObject({
    kind: z.literal('checkpoint'),
    ...RECORD_IDENTITY_SHAPE,
    ...TICKET_SNAPSHOT_SCHEMA.shape,
  }),
]);
