import {request} from 'undici';
import {Millis} from '../../../common/base/clock.js';
import {RefusalKind} from '../../../common/base/refusal.js';
import {ExplainReply, refusal} from './explain_reply.js';
import {ExplainRequest} from './explain_request.js';

/** Path of explanations on the relay listener. */
export const EXPLAIN_PATH = '/explain';

/**
 * Time for an answer of the scheduler's instance. With the time for the body of
 * a request and for a look-up, it is within the 3 s that an operator waits.
 */
const FORWARD_TIMEOUT_MS: Millis = 1500;

/** Asks the instance with a relay address to explain a job. */
export async function askInstance(
  address: string,
  content: ExplainRequest,
): Promise<ExplainReply> {
  try {
    const response = await request(`http://${address}${EXPLAIN_PATH}`, {
      method: 'POST',
      headers: {'content-type': 'application/json', connection: 'close'},
      body: JSON.stringify({...content, isForwarded: true}),
      signal: AbortSignal.timeout(FORWARD_TIMEOUT_MS),
    });
    const body = (await response.body.json()) as object;
    return {status: response.statusCode, body};
  } catch (error) {
    return refusal(
      503,
      RefusalKind.PEER_UNAVAILABLE,
      `The scheduler's instance at ${address} does not answer ` +
        `(${String(error)}). Ask again in a few seconds.`,
    );
  }
}
