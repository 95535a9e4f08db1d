import {AuditEntry} from '../../common/tickets/types.js';
import {bodyOf} from '../answers.js';
import {auditTable} from '../audit_table.js';
import {ExitCode} from '../exit_code.js';
import {parseNumber} from '../options.js';
import {Command, CommandResult} from '../types.js';

/** `ticket show N`. */
export const TICKET_SHOW: Command = {
  summary: 'Show what became of the tickets with a number.',
  parameters: ['N'],
  options: {},
  example: 'jasminegaugectl ticket show 42',
  async run({parameters: [text]}, {client}) {
    interface Answer {
      readonly number: number;
      readonly accepted: boolean;
      readonly entries: readonly AuditEntry[];
    }
    const number = parseNumber('N', text, 0, Number.MAX_SAFE_INTEGER);
    return number.caseOf({
      Left: async result => result,
      Right: async value =>
        bodyOf<Answer>(await client.get(`/v1/tickets/${value}`))
          .map<CommandResult>(answer => ({
            exit: ExitCode.DONE,
            data: answer,
            text: auditTable(answer.entries),
          }))
          .extract(),
    });
  },
};
