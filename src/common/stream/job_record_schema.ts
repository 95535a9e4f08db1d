import {z} from 'zod';
import {JobState} from '../jobs/types.js';
import {Urgency} from '../tickets/types.js';

const nonEmptyString = z.string().min(1);
const nonNegative = z.number().nonnegative();
const nonNegativeInteger = z.number().int().nonnegative();
const fraction = z.number().min(0).max(1);

const size = z.looseObject({
  processors: nonNegative,
  memoryMb: nonNegative,
  accelerators: nonNegative,
});

const submission = z.looseObject({
  key: nonEmptyString,
  jobClass: z.string(),
  team: z.string(),
  urgency: z.enum(Urgency),
  size,
  runMs: nonNegative,
  idempotent: z.boolean(),
  payload: z.unknown().optional(),
});

const jobView = z.looseObject({
  id: nonEmptyString,
  state: z.enum(JobState),
  submission,
  submittedMs: z.number(),
  worker: nonEmptyString.optional(),
  task: nonEmptyString.optional(),
  workerStart: z.number().optional(),
  failedOn: z.array(nonEmptyString).optional(),
  endedMs: z.number().optional(),
  attempts: nonNegativeInteger,
  evictions: nonNegativeInteger,
  checkpoint: fraction,
  result: z.string().optional(),
  reason: z.string().optional(),
});

const claim = z.looseObject({
  key: nonEmptyString,
  instance: nonEmptyString,
  timeMs: z.number(),
  state: z.enum(['open', 'ended']),
  status: z.number().int().optional(),
});

const tombstone = z.looseObject({
  id: nonEmptyString,
  state: z.enum(JobState),
  digest: nonEmptyString,
  submittedMs: z.number(),
  endedMs: z.number(),
});

/**
 * Schema of an entry of a batch record; see `JobRecord`. Unknown fields are
 * allowed, because a later version may have added them.
 */
export const jobRecordSchema = z.discriminatedUnion('kind', [
  z.looseObject({
    kind: z.literal('submitted'),
    job: nonEmptyString,
    submission,
    timeMs: z.number(),
  }),
  z.looseObject({
    kind: z.literal('starting'),
    job: nonEmptyString,
    task: nonEmptyString,
    worker: nonEmptyString,
    workerStart: z.number().optional(),
  }),
  z.looseObject({
    kind: z.literal('not-started'),
    job: nonEmptyString,
    task: nonEmptyString,
  }),
  z.looseObject({
    kind: z.literal('ended'),
    job: nonEmptyString,
    task: nonEmptyString,
    outcome: z.enum(['finished', 'failed', 'interrupted']),
    result: z.string().optional(),
    reason: z.string().optional(),
    timeMs: z.number(),
  }),
  z.looseObject({
    kind: z.literal('requeued'),
    job: nonEmptyString,
    task: nonEmptyString,
    checkpoint: fraction,
    evicted: z.boolean(),
    failedOn: nonEmptyString.optional(),
  }),
  z.looseObject({
    kind: z.literal('cancelled'),
    job: nonEmptyString,
    task: nonEmptyString.optional(),
    timeMs: z.number(),
  }),
  z.looseObject({
    kind: z.literal('claimed'),
    key: nonEmptyString,
    instance: nonEmptyString,
    timeMs: z.number(),
  }),
  z.looseObject({
    kind: z.literal('claim-ended'),
    key: nonEmptyString,
    status: z.number().int(),
  }),
  z.looseObject({kind: z.literal('claim-released'), key: nonEmptyString}),
  z.looseObject({
    kind: z.literal('checkpoint'),
    part: nonNegativeInteger,
    parts: nonNegativeInteger,
    jobs: z.array(jobView),
    claims: z.array(claim),
    tombstones: z.array(tombstone),
  }),
]);
