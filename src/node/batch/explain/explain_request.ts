import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';

const JOB_ID = /^[0-9a-fA-F]{16}$/;

const TEXT = z.string().min(1).max(500);

const REQUEST_SCHEMA = z.strictObject({
  /** Job as callers submit it; without it, the id is that of a stored job. */
  job: z.unknown().optional(),
  id: z.string().regex(JOB_ID).optional(),
  queue: TEXT.optional(),
  host: TEXT.optional(),
  path: TEXT.optional(),
  /** Whether an instance passes on what it was asked. */
  isForwarded: z.boolean().default(false),
});

/** A request to explain a job. */
export type ExplainRequest = z.infer<typeof REQUEST_SCHEMA>;

/** What is accepted in each field. */
const ACCEPTED: Readonly<Record<keyof ExplainRequest, string>> = {
  job: 'a job as callers submit it',
  id: '16 hexadecimal digits',
  queue: 'the name of a queue of the configuration',
  host: 'the host to which callers submit the job',
  path: 'the path to which callers submit the job',
  isForwarded: 'true or false',
};

/** A field that is not accepted. */
export interface RequestFault {
  readonly field: string;
  readonly message: string;
  /** Undefined if the message tells. */
  readonly accepted?: string;
}

/** Decodes the body of a request, or returns all its faults. */
export function decodeExplainRequest(
  body: Buffer,
): Either<readonly RequestFault[], ExplainRequest> {
  return Either.encase((): unknown => JSON.parse(body.toString()))
    .mapLeft(({message}) => [
      {
        field: 'body',
        message: `is not JSON (${message})`,
        accepted: 'a JSON object',
      },
    ])
    .chain(value => {
      const parsed = REQUEST_SCHEMA.safeParse(value);
      if (!parsed.success) return Left(parsed.error.issues.map(toFault));
      const conflict = findConflict(parsed.data);
      return conflict === undefined ? Right(parsed.data) : Left([conflict]);
    });
}

function toFault(issue: z.core.$ZodIssue): RequestFault {
  const field = issue.path[0];
  if (field === undefined) {
    const accepted = `the fields ${Object.keys(ACCEPTED).join(', ')}`;
    return {field: 'body', message: issue.message, accepted};
  }
  return {
    field: String(field),
    message: issue.message,
    accepted: ACCEPTED[field as keyof ExplainRequest],
  };
}

/** Checks which fields are given together. */
function findConflict({
  job,
  id,
  queue,
  host,
  path,
}: ExplainRequest): RequestFault | undefined {
  if (job === undefined) {
    if (id !== undefined) return undefined;
    const accepted = `${ACCEPTED.job}, or the id of a stored one`;
    return {field: 'job', message: 'is missing', accepted};
  }
  const hasRoute = host !== undefined && path !== undefined;
  if ((queue !== undefined) !== hasRoute) return undefined;
  const message = hasRoute ? 'is given with host and path' : 'is missing';
  const accepted = `either ${ACCEPTED.queue}, or both host and path`;
  return {field: 'queue', message, accepted};
}
