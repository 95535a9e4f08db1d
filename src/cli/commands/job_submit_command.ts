import {JobView} from '../../common/jobs/types.js';
import {parseYaml} from '../../common/tickets/checked_yaml.js';
import {SUBMISSION_SCHEMA} from '../../node/job_submission.js';
import {
  badInputResult,
  responseBody,
  validationErrorResult,
} from '../command_results.js';
import {ExitCode} from '../exit_code.js';
import {Command, CommandResult} from '../types.js';

const OUTCOME_HINT =
  'Submit the same file again: the same key never makes a second job.';

/** Command `job submit FILE`. */
export const JOB_SUBMIT: Command = {
  summary: 'Submit the job described in a YAML or JSON file.',
  parameters: ['FILE'],
  options: {},
  example: 'jasminegaugectl job submit cut-17.yaml',
  async run({parameters: [file]}, {client, readFile}) {
    const submission = readFile(file)
      .mapLeft(badInputResult)
      .chain(text =>
        parseYaml(SUBMISSION_SCHEMA, text, file).mapLeft(faults =>
          validationErrorResult('job', faults),
        ),
      );
    return submission.caseOf({
      Left: async result => result,
      Right: async body =>
        responseBody<JobView>(await client.post('/v1/jobs', body), OUTCOME_HINT)
          .map<CommandResult>(job => ({
            exit: ExitCode.SUCCESS,
            data: job,
            text: job.id,
            messages: [
              {level: 'success', text: `Job ${job.id} is ${job.state}.`},
            ],
          }))
          .extract(),
    });
  },
};
