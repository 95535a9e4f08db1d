import {Either} from 'purify-ts';
import {parseYaml} from './checked_yaml.js';
import {TICKET_SCHEMA} from './ticket_schema.js';
import {Fault, Ticket} from './types.js';

/**
 * Parses the YAML text of a ticket.
 *
 * @param file name to report in the faults.
 * @returns the ticket with defaults applied, or all faults in order of
 *     location.
 */
export function parseTicket(
  text: string,
  file: string,
): Either<readonly Fault[], Ticket> {
  return parseYaml(TICKET_SCHEMA, text, file);
}
