import {Ran} from '../../common/base/refusal.js';
import {JobState} from '../../common/jobs/types.js';
import {CancelResponse} from '../../node/api_types.js';
import {responseBody} from '../command_results.js';
import {ExitCode} from '../exit_code.js';
import {jobPath} from '../job_path.js';
import {Command, CommandResult, MessageLevel} from '../types.js';

const RAN_TEXT: Readonly<Record<Ran, string>> = {
  [Ran.NO]: 'It was not run.',
  [Ran.YES]: 'It was run, at least in part.',
  [Ran.UNKNOWN]: 'It may have been run in part.',
};

/** Creates the result; warns if the job ended before the cancellation. */
function cancelResult({job, ran}: CancelResponse): CommandResult {
  const isCancelled = job.state === JobState.CANCELLED;
  const level: MessageLevel = isCancelled ? 'success' : 'warn';
  const text = `Job ${job.id} is ${job.state}. ${RAN_TEXT[ran]}`;
  return {
    exit: ExitCode.SUCCESS,
    data: {job, ran},
    text: job.state,
    messages: [{level, text}],
  };
}

/** Command `job cancel ID`. */
export const JOB_CANCEL: Command = {
  summary: 'Cancel a job; the answer says whether its end came first.',
  parameters: ['ID'],
  options: {},
  example: 'jasminegaugectl job cancel akl/5f1d0c9a',
  async run({parameters: [id]}, {client}) {
    const outcomeHint = `Ask for the state with: jasminegaugectl job show ${id}`;
    return jobPath(id).caseOf({
      Left: async result => result,
      Right: async path =>
        responseBody<CancelResponse>(await client.delete(path), outcomeHint)
          .map(cancelResult)
          .extract(),
    });
  },
};
