import {RefusalKind} from '../../../common/base/refusal.js';
import {RequestFault} from './explain_request.js';

/** Answer to a request to explain a job, with a JSON body. */
export interface ExplainReply {
  readonly status: number;
  readonly body: object;
}

/** A reply that says why there is no explanation. */
export function refusal(
  status: number,
  error: RefusalKind,
  message: string,
): ExplainReply {
  return {status, body: {error, message}};
}

/** A reply that names each field that is not accepted. */
export function faultsReply(faults: readonly RequestFault[]): ExplainReply {
  const lines = faults.map(({field, message, accepted}) =>
    accepted === undefined
      ? `${field}: ${message}`
      : `${field}: ${message}; accepted: ${accepted}`,
  );
  const message = `The request is not valid: ${lines.join('. ')}.`;
  return {status: 400, body: {error: RefusalKind.BAD_REQUEST, message, faults}};
}
