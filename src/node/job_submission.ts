import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {digestOfBody} from '../common/jobs/job_id.js';
import {Submission} from '../common/jobs/types.js';
import {validate} from '../common/tickets/checked_yaml.js';
import {
  booleanField,
  choiceField,
  durationField,
  singleLineField,
  nameField,
  strictFields,
} from '../common/tickets/fields.js';
import {SIZE_SCHEMA, TICKET_DEFAULTS} from '../common/tickets/ticket_schema.js';
import {
  Configuration,
  Fault,
  JobClassConfiguration,
  Urgency,
} from '../common/tickets/types.js';

const MAX_KEY_CHARACTERS = 200;

/** Stands for the file name in the faults of a request body. */
const BODY_SOURCE = 'body';

/** Schema of the request body of a submission and of the file of `job submit`. */
export const SUBMISSION_SCHEMA = strictFields({
  key: singleLineField(MAX_KEY_CHARACTERS),
  class: nameField(),
  team: nameField(),
  urgency: choiceField(Object.values(Urgency)).optional(),
  size: SIZE_SCHEMA.optional(),
  runMs: durationField().optional(),
  idempotent: booleanField().optional(),
  payload: z.unknown().optional(),
  dataCentre: nameField().optional(),
});

/** A valid submission and the data centre that the caller asked for. */
export interface ParsedSubmission {
  readonly submission: Submission;
  /** Undefined when the key selects the data centre. */
  readonly dataCentre: string | undefined;
}

function fault(field: string, message: string, accepted: string): Fault {
  return {file: BODY_SOURCE, field, message, accepted};
}

function formatNames(names: readonly string[]): string {
  return names.length === 0 ? 'none is configured' : names.join(', ');
}

/**
 * Lists the fields among `size` and `runMs` that are given neither by the body
 * nor by a configured class.
 */
function missingFieldFaults(
  given: {class: string; size?: unknown; runMs?: unknown},
  configuration: Configuration,
): Fault[] {
  const classes = formatNames(Object.keys(configuration.jobClasses));
  const accepted = `a value, or a class with defaults: ${classes}`;
  return (['size', 'runMs'] as const)
    .filter(name => given[name] === undefined)
    .map(name =>
      fault(
        name,
        `is missing, and class ${given.class} is not configured`,
        accepted,
      ),
    );
}

/**
 * Validates the body of a submission and fills in the defaults of its class. A
 * class that is not configured is accepted if the body gives both the size and
 * the run time.
 *
 * @returns the submission, or all faults.
 */
export function parseSubmission(
  body: unknown,
  configuration: Configuration,
  dataCentres: readonly string[],
): Either<readonly Fault[], ParsedSubmission> {
  return validate(SUBMISSION_SCHEMA, body, BODY_SOURCE).chain(given => {
    const {dataCentre} = given;
    const jobClass: JobClassConfiguration | undefined = Object.hasOwn(
      configuration.jobClasses,
      given.class,
    )
      ? configuration.jobClasses[given.class]
      : undefined;
    const size = given.size ?? jobClass?.size;
    const runMs = given.runMs ?? jobClass?.runMs;
    const faults = missingFieldFaults({...given, size, runMs}, configuration);
    if (dataCentre !== undefined && !dataCentres.includes(dataCentre)) {
      const accepted = `one of ${formatNames(dataCentres)}`;
      faults.push(
        fault(
          'dataCentre',
          `cannot be ${JSON.stringify(dataCentre)}`,
          accepted,
        ),
      );
    }
    if (faults.length > 0 || size === undefined || runMs === undefined) {
      return Left(faults);
    }
    const defaults = jobClass ?? TICKET_DEFAULTS.jobClass;
    const submission: Submission = {
      key: given.key,
      jobClass: given.class,
      team: given.team,
      urgency: given.urgency ?? defaults.urgency,
      size,
      runMs,
      idempotent: given.idempotent ?? defaults.idempotent,
      ...(given.payload === undefined ? {} : {payload: given.payload}),
      // Digested before the defaults, which a ticket may change between retries.
      bodyDigest: digestOfBody({...given, dataCentre: undefined}),
    };
    return Right({submission, dataCentre});
  });
}
