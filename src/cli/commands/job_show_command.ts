import {JobView} from '../../common/jobs/types.js';
import {responseBody} from '../command_results.js';
import {ExitCode} from '../exit_code.js';
import {jobPath} from '../job_path.js';
import {formatTable, formatTime} from '../text_table.js';
import {Command, CommandResult} from '../types.js';

function formatJob(job: JobView): string {
  const {submission} = job;
  const {size} = submission;
  return formatTable(
    ['JOB', job.id],
    [
      ['state', job.state],
      ['key', submission.key],
      ['class', submission.jobClass],
      ['team', submission.team],
      ['urgency', submission.urgency],
      ['idempotent', submission.idempotent],
      [
        'size',
        `${size.processors} processors, ${size.memoryMb} MB, ` +
          `${size.accelerators} accelerators`,
      ],
      ['run time', `${submission.runMs} ms`],
      ['submitted', formatTime(job.submittedMs)],
      ['worker', job.worker ?? 'none'],
      ['attempts', job.attempts],
      ['evictions', job.evictions],
      ['checkpoint', job.checkpoint],
      ['result', job.result],
      ['reason', job.reason],
    ],
  );
}

/** Command `job show ID`. */
export const JOB_SHOW: Command = {
  summary: 'Show a job.',
  parameters: ['ID'],
  options: {},
  example: 'jasminegaugectl job show akl/5f1d0c9a',
  async run({parameters: [id]}, {client}) {
    return jobPath(id).caseOf({
      Left: async result => result,
      Right: async path =>
        responseBody<JobView>(await client.get(path))
          .map<CommandResult>(job => ({
            exit: ExitCode.SUCCESS,
            data: job,
            text: formatJob(job),
          }))
          .extract(),
    });
  },
};
