import {AuditEntry} from '../../common/tickets/types.js';
import {bodyOf} from '../answers.js';
import {auditTable} from '../audit_table.js';
import {ExitCode} from '../exit_code.js';
import {Command, CommandResult} from '../types.js';

/** `audit`. */
export const AUDIT: Command = {
  summary: 'List accepted and refused tickets, oldest first.',
  parameters: [],
  options: {},
  example: 'jasminegaugectl audit --json',
  async run(unusedArguments, {client}) {
    type Answer = {readonly entries: readonly AuditEntry[]};
    return bodyOf<Answer>(await client.get('/v1/audit'))
      .map<CommandResult>(answer => ({
        exit: ExitCode.DONE,
        data: answer,
        text: auditTable(answer.entries),
      }))
      .extract();
  },
};
