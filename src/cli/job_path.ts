import {Either, Left, Right} from 'purify-ts';
import {badInputResult} from './command_results.js';
import {CommandResult} from './types.js';

/** Returns the path of a job, `DATA-CENTRE/DIGEST`, in the operator API. */
export function jobPath(id: string): Either<CommandResult, string> {
  const parts = id.split('/');
  if (parts.length === 2 && parts.every(part => part !== '')) {
    return Right(`/v1/jobs/${parts.map(encodeURIComponent).join('/')}`);
  }
  return Left(
    badInputResult(
      `ID cannot be ${JSON.stringify(id)}; ` +
        'accepted: DATA-CENTRE/DIGEST, as job submit prints it.',
    ),
  );
}
