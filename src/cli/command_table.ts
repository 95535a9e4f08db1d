import {AUDIT} from './commands/audit_command.js';
import {DRAIN} from './commands/drain_command.js';
import {EXPLAIN} from './commands/explain_command.js';
import {INSTANCES} from './commands/instances_command.js';
import {JOB_CANCEL} from './commands/job_cancel_command.js';
import {JOB_SHOW} from './commands/job_show_command.js';
import {JOB_SUBMIT} from './commands/job_submit_command.js';
import {JOBS} from './commands/jobs_command.js';
import {STATUS} from './commands/status_command.js';
import {TICKET_APPLY} from './commands/ticket_apply_command.js';
import {TICKET_LIST} from './commands/ticket_list_command.js';
import {TICKET_SHOW} from './commands/ticket_show_command.js';
import {TICKET_VALIDATE} from './commands/ticket_validate_command.js';
import {Command} from './types.js';

/** Commands by name. A name has one or two words. */
export const COMMANDS: Readonly<Record<string, Command>> = {
  'ticket apply': TICKET_APPLY,
  'ticket validate': TICKET_VALIDATE,
  'ticket list': TICKET_LIST,
  'ticket show': TICKET_SHOW,
  status: STATUS,
  jobs: JOBS,
  'job submit': JOB_SUBMIT,
  'job show': JOB_SHOW,
  'job cancel': JOB_CANCEL,
  instances: INSTANCES,
  audit: AUDIT,
  drain: DRAIN,
  explain: EXPLAIN,
};
