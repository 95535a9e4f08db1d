import {Millis} from '../../common/base/clock.js';
import {CostMeter, CostPart} from '../../common/batch/cost_meter.js';
import {StartRequest} from '../../common/batch/types.js';
import {
  LeaseRenewal,
  RenewalResponse,
  WorkerAddress,
  WorkerCalls,
  WorkerResponse,
} from '../../common/batch/worker_calls.js';

/** Measures the sending of calls to workers. */
export class MeteredWorkerCalls implements WorkerCalls {
  constructor(
    private readonly calls: WorkerCalls,
    private readonly costs: CostMeter,
  ) {}

  start(
    worker: WorkerAddress,
    request: StartRequest,
    leaseUntil: Millis,
    token: number,
  ): Promise<WorkerResponse> {
    return this.costs.measure(CostPart.STARTS, () =>
      this.calls.start(worker, request, leaseUntil, token),
    );
  }

  stop(
    worker: WorkerAddress,
    task: string,
    attempt: number,
    token: number,
  ): Promise<WorkerResponse> {
    return this.costs.measure(CostPart.STOPS, () =>
      this.calls.stop(worker, task, attempt, token),
    );
  }

  renew(
    worker: WorkerAddress,
    renewal: LeaseRenewal,
  ): Promise<RenewalResponse> {
    return this.costs.measure(CostPart.RENEWALS, () =>
      this.calls.renew(worker, renewal),
    );
  }

  pace(
    worker: WorkerAddress,
    task: string,
    attempt: number,
    percent: number,
    token: number,
  ): Promise<WorkerResponse> {
    // The operations of pacing are the reports after which it runs.
    return this.costs.measure(
      CostPart.PACING,
      () => this.calls.pace(worker, task, attempt, percent, token),
      0,
    );
  }
}
