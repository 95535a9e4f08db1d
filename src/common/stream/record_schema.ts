import {z} from 'zod';
import {jobRecordSchema} from './job_record_schema.js';
import {DataCentreRecord} from './types.js';

const identity = {
  writer: z.string().min(1),
  sequence: z.number().int().positive(),
};

const offset = z.number().int().nonnegative();

const viewRecord = z
  .object({
    ...identity,
    kind: z.literal('view'),
    base: offset.nullable(),
    leader: z.string().min(1),
    members: z.array(z.string().min(1)).min(1),
  })
  .refine(record => record.members.includes(record.leader), {
    message: 'the leader is not a member',
  });

const batchRecord = z.object({
  ...identity,
  kind: z.literal('batch'),
  epoch: offset,
  entries: z.array(jobRecordSchema),
});

const dataCentreRecord = z.discriminatedUnion('kind', [
  viewRecord,
  batchRecord,
]);

/** Result of validating a record: the record, or why it is malformed. */
export type ParsedRecord =
  | {readonly valid: true; readonly record: DataCentreRecord}
  | {readonly valid: false; readonly reason: string};

/** Validates a record of a stream `dc-<data centre>`. */
export function parseDataCentreRecord(data: unknown): ParsedRecord {
  const result = dataCentreRecord.safeParse(data);
  // zod strips unknown keys, so the input is returned in place of its output:
  // a later version may have added fields.
  if (result.success) return {valid: true, record: data as DataCentreRecord};
  const issue = result.error.issues[0];
  return {valid: false, reason: `${issue.path.join('.')}: ${issue.message}`};
}
