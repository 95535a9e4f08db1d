import {JobState, JobView} from '../../common/jobs/types.js';
import {responseBody} from '../command_results.js';
import {ExitCode} from '../exit_code.js';
import {formatTable, formatTime} from '../text_table.js';
import {Command, CommandResult} from '../types.js';

function formatJobTable(jobs: readonly JobView[]): string {
  return formatTable(
    [
      'JOB',
      'STATE',
      'CLASS',
      'TEAM',
      'URGENCY',
      'SUBMITTED',
      'WORKER',
      'REASON',
    ],
    jobs.map(job => [
      job.id,
      job.state,
      job.submission.jobClass,
      job.submission.team,
      job.submission.urgency,
      formatTime(job.submittedMs),
      job.worker,
      job.reason,
    ]),
  );
}

/** Command `jobs`. */
export const JOBS: Command = {
  summary: 'List the jobs of the data centre, oldest first.',
  parameters: [],
  options: {
    state: {
      value: 'STATE',
      summary: `only jobs in this state: ${Object.values(JobState).join(', ')}`,
    },
    team: {value: 'TEAM', summary: 'only jobs of this team'},
    limit: {value: 'N', summary: 'at most N jobs (default 1000)'},
  },
  example: 'jasminegaugectl jobs --state queued --team floor',
  async run({options}, {client}) {
    type JobsResponse = {readonly jobs: readonly JobView[]; complete: boolean};
    const query = new URLSearchParams(options).toString();
    const path = query === '' ? '/v1/jobs' : `/v1/jobs?${query}`;
    return responseBody<JobsResponse>(await client.get(path))
      .map<CommandResult>(response => ({
        exit: ExitCode.SUCCESS,
        data: response,
        text: formatJobTable(response.jobs),
        messages: response.complete
          ? []
          : [
              {
                level: 'warn',
                text:
                  `Only the first ${response.jobs.length} jobs are listed. ` +
                  'Narrow the list with --state or --team, or raise --limit.',
              },
            ],
      }))
      .extract();
  },
};
