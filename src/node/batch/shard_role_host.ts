import {Clock} from '../../common/base/clock.js';
import {CostMeter} from '../../common/batch/cost_meter.js';
import {ProcessUsage} from '../../common/batch/cost_report.js';
import {ProcessIdentity} from '../../common/batch/earlier_authority.js';
import {EvacuatedDataCentres} from '../../common/batch/evacuation/evacuated_data_centres.js';
import {InstanceRecord} from '../../common/batch/job_records.js';
import {JobView} from '../../common/batch/job_view.js';
import {
  DecisionLog,
  SchedulerTimings,
} from '../../common/batch/scheduler_state.js';
import {ShardLoad} from '../../common/batch/shard_layout.js';
import {KeyedLog} from '../../common/batch/store.js';
import {BatchConfiguration} from '../../common/batch/types.js';
import {LogTail} from './log_tail.js';
import {RelayedWorkerCalls} from './relayed_worker_calls.js';
import {SpecLoader} from './spec_loader.js';
import {WorkerList} from './worker_list.js';

/** What all roles of an instance share. */
export interface ShardRoleHost {
  /** Tells this process apart from all others. */
  readonly identity: ProcessIdentity;
  readonly announcement: InstanceRecord;
  readonly log: KeyedLog;
  readonly clock: Clock;
  readonly wallClock: Clock;
  readonly permissionClock: Clock;
  readonly decisions: DecisionLog;
  readonly timings: () => SchedulerTimings;
  readonly createWorkerCalls: () => RelayedWorkerCalls;
  readonly costs: CostMeter;
  readonly processUsage: ProcessUsage;
  readonly view: JobView;
  readonly workers: WorkerList;
  readonly statesTail: LogTail;
  readonly intakeTail: LogTail;
  readonly workersTail: LogTail;
  readonly operatorTail: LogTail;
  readonly evacuated: EvacuatedDataCentres;
  readonly configuration: () => BatchConfiguration;
  /** Loads of the shards whose schedulers are alive. */
  readonly loads: () => ReadonlyMap<string, ShardLoad>;
  /** Loads specifications that are not kept; absent if all are. */
  readonly specs?: SpecLoader;
  readonly isStopping: () => boolean;
  /** Called when this instance becomes or is no longer a shard's scheduler. */
  readonly onRoleChange: () => void;
}
