import {isIPv4} from 'node:net';
import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';
import {Millis, SECOND} from '../../common/base/clock.js';
import {Explanation} from '../../common/batch/explain/explanation.js';
import {parseYaml} from '../../common/tickets/checked_yaml.js';
import {EXPLAIN_PATH} from '../../node/batch/explain/explain_client.js';
import {
  badInputResult,
  errorResult,
  responseBody,
  validationErrorResult,
} from '../command_results.js';
import {DaemonClient, RequestError} from '../daemon_client.js';
import {ExitCode} from '../exit_code.js';
import {formatExplanation} from '../explanation_text.js';
import {Command, CommandContext, CommandResult} from '../types.js';

/** An instance needs 2.7 s at most: for the body, a look-up and the scheduler. */
const ANSWER_TIMEOUT_MS: Millis = 3 * SECOND;

const MAX_PORT = 65_535;

/** The fields are checked by the instance, which knows the format. */
const JOB_SCHEMA = z.record(z.string(), z.unknown());

/** Checks the address of an instance. */
function instanceAddress(text: string): Either<CommandResult, string> {
  const [host, port, ...rest] = text.split(':');
  const number = /^\d{1,5}$/.test(port ?? '') ? Number(port) : 0;
  const isPort = number > 0 && number <= MAX_PORT;
  if (isIPv4(host) && isPort && rest.length === 0) return Right(text);
  return Left(
    badInputResult(
      `--instance cannot be ${JSON.stringify(text)}; accepted: IP:PORT, the ` +
        'address of an instance with the first port of its port-range.',
    ),
  );
}

function readJob(
  file: string | undefined,
  {readFile}: Pick<CommandContext, 'readFile'>,
): Either<CommandResult, unknown> {
  if (file === undefined) return Right(undefined);
  return readFile(file)
    .mapLeft(badInputResult)
    .chain(text =>
      parseYaml(JOB_SCHEMA, text, file).mapLeft(faults =>
        validationErrorResult('job', faults),
      ),
    );
}

function unreachableResult({address, reason}: RequestError): CommandResult {
  const message =
    `No instance answers at ${address} (${reason}). Name another with ` +
    '--instance IP:PORT.';
  return errorResult(ExitCode.NO_DAEMON, message, {
    error: 'no_instance',
    message,
    address,
  });
}

/** Command `explain [JOB-FILE]`. */
export const EXPLAIN: Command = {
  summary: 'Show where a job would be placed now, and why, or why it waits.',
  parameters: [],
  optionalParameter: 'JOB-FILE',
  options: {
    instance: {
      value: 'IP:PORT',
      summary: 'relay address of an instance: first port of its port-range',
      required: true,
    },
    id: {
      value: 'ID',
      summary: 'id of a waiting job, or under which JOB-FILE is submitted',
    },
    queue: {value: 'NAME', summary: 'queue of JOB-FILE'},
    host: {value: 'HOST', summary: 'host to which JOB-FILE is submitted'},
    path: {value: 'PATH', summary: 'path to which JOB-FILE is submitted'},
  },
  example:
    'jasminegaugectl explain job.yaml --queue cuts --instance 10.0.0.7:7001',
  async run({parameters: [file], options}, context) {
    const {instance, ...route} = options;
    const prepared = instanceAddress(instance).chain(address =>
      readJob(file, context).map(job => ({address, body: {...route, job}})),
    );
    return prepared.caseOf<Promise<CommandResult>>({
      Left: async result => result,
      Right: async ({address, body}) => {
        const client = new DaemonClient(`http://${address}`, ANSWER_TIMEOUT_MS);
        const response = await client.post(EXPLAIN_PATH, body);
        return response.caseOf<CommandResult>({
          Left: unreachableResult,
          Right: answer =>
            responseBody<Explanation>(Right(answer))
              .map<CommandResult>(explanation => ({
                exit: ExitCode.SUCCESS,
                data: explanation,
                text: formatExplanation(explanation),
              }))
              .extract(),
        });
      },
    });
  },
};
