import {z} from 'zod';
import {JobState} from '../jobs/types.js';
import {Urgency} from '../tickets/types.js';

const text = z.string().min(1);
const amount = z.number().nonnegative();
const count = z.number().int().nonnegative();
const share = z.number().min(0).max(1);

const size = z.looseObject({
  processors: amount,
  memoryMb: amount,
  accelerators: amount,
});

const submission = z.looseObject({
  key: text,
  jobClass: z.string(),
  team: z.string(),
  urgency: z.enum(Urgency),
  size,
  runMs: amount,
  idempotent: z.boolean(),
  payload: z.unknown().optional(),
});

const jobView = z.looseObject({
  id: text,
  state: z.enum(JobState),
  submission,
  submittedMs: z.number(),
  worker: text.optional(),
  task: text.optional(),
  workerStart: z.number().optional(),
  failedOn: z.array(text).optional(),
  endedMs: z.number().optional(),
  attempts: count,
  evictions: count,
  checkpoint: share,
  result: z.string().optional(),
  reason: z.string().optional(),
});

const claim = z.looseObject({
  key: text,
  instance: text,
  timeMs: z.number(),
  state: z.enum(['open', 'ended']),
  status: z.number().int().optional(),
});

const tombstone = z.looseObject({
  id: text,
  state: z.enum(JobState),
  digest: text,
  submittedMs: z.number(),
  endedMs: z.number(),
});

/** Shape of an entry of a batch record; see `JobRecord`. */
export const jobRecord = z.discriminatedUnion('kind', [
  z.looseObject({
    kind: z.literal('submitted'),
    job: text,
    submission,
    timeMs: z.number(),
  }),
  z.looseObject({
    kind: z.literal('starting'),
    job: text,
    task: text,
    worker: text,
    workerStart: z.number().optional(),
  }),
  z.looseObject({kind: z.literal('not-started'), job: text, task: text}),
  z.looseObject({
    kind: z.literal('ended'),
    job: text,
    task: text,
    outcome: z.enum(['finished', 'failed', 'interrupted']),
    result: z.string().optional(),
    reason: z.string().optional(),
    timeMs: z.number(),
  }),
  z.looseObject({
    kind: z.literal('requeued'),
    job: text,
    task: text,
    checkpoint: share,
    evicted: z.boolean(),
    failedOn: text.optional(),
  }),
  z.looseObject({
    kind: z.literal('cancelled'),
    job: text,
    task: text.optional(),
    timeMs: z.number(),
  }),
  z.looseObject({
    kind: z.literal('claimed'),
    key: text,
    instance: text,
    timeMs: z.number(),
  }),
  z.looseObject({
    kind: z.literal('claim-ended'),
    key: text,
    status: z.number().int(),
  }),
  z.looseObject({kind: z.literal('claim-released'), key: text}),
  z.looseObject({
    kind: z.literal('checkpoint'),
    part: count,
    parts: count,
    jobs: z.array(jobView),
    claims: z.array(claim),
    tombstones: z.array(tombstone),
  }),
]);
