import {DecisionLog} from '../../common/batch/scheduler_state.js';

/** Adds the shard to each decision. */
export class ShardDecisionLog implements DecisionLog {
  constructor(
    private readonly log: DecisionLog,
    private readonly shard: string,
  ) {}

  decide(decision: string, fields: Readonly<Record<string, unknown>>): void {
    this.log.decide(decision, {shard: this.shard, ...fields});
  }
}
