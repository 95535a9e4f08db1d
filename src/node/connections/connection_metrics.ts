import {HOLDINGS} from '../../common/connections/connection_budget.js';
import {ConnectionLimits} from '../../common/connections/connection_limits.js';
import {ConnectionGuard} from './connection_guard.js';

/** Use and limits of the listeners' budgets, in the Prometheus text format. */
export function connectionMetrics(guards: readonly ConnectionGuard[]): string {
  const used: string[] = [];
  const limits: string[] = [];
  const closed: string[] = [];
  for (const guard of guards) {
    const {listener, usage} = guard;
    const uses = Object.entries({
      connections: usage.connections,
      requests: usage.requests,
      ...Object.fromEntries(
        HOLDINGS.map(holding => [`${holding}_bytes`, usage.bytes[holding]]),
      ),
    });
    for (const [budget, value] of uses) {
      const labels = `{listener="${listener}",budget="${budget}"}`;
      used.push(`jasminegauge_connection_budget_used${labels} ${value}`);
      const limit = guard.limits[LIMIT_NAMES[budget]];
      limits.push(`jasminegauge_connection_budget_limit${labels} ${limit}`);
    }
    for (const [cause, count] of guard.closed) {
      const labels = `{listener="${listener}",cause="${cause}"}`;
      closed.push(`jasminegauge_connections_closed_total${labels} ${count}`);
    }
  }
  return [
    '# HELP jasminegauge_connection_budget_used Use of a budget, by listener.',
    '# TYPE jasminegauge_connection_budget_used gauge',
    ...used,
    '# HELP jasminegauge_connection_budget_limit Limit of the budget.',
    '# TYPE jasminegauge_connection_budget_limit gauge',
    ...limits,
    '# HELP jasminegauge_connections_closed_total Closed by the budget.',
    '# TYPE jasminegauge_connections_closed_total counter',
    ...closed,
    '',
  ].join('\n');
}

/** Names of the limits by budget. */
const LIMIT_NAMES: Readonly<Record<string, keyof ConnectionLimits>> = {
  connections: 'connections',
  requests: 'requests',
  body_bytes: 'bodyBytes',
  input_bytes: 'inputBytes',
  output_bytes: 'outputBytes',
};
