import fc from 'fast-check';
import {Millis, MINUTE, SECOND} from '../src/common/base/clock.js';
import {Ran} from '../src/common/base/refusal.js';
import {jobIdOf} from '../src/common/jobs/job_id.js';
import {FakeDataCentre} from '../src/common/jobs/fake_data_centre.test_support.js';
import {
  FakeWorker,
  ExecutionEvent,
} from '../src/common/jobs/fake_worker.test_support.js';
import {
  checkAtMostOnce,
  checkCapacity,
  checkCompletion,
  checkOneTaskPerJob,
  checkRefusals,
  checkTaskIds,
} from '../src/common/jobs/invariant_checks.test_support.js';
import {Submission} from '../src/common/jobs/types.js';
import {
  arbitraryFaults,
  scheduleFault,
} from '../src/common/leadership/testing/faults.js';
import {SimulatedProcess} from '../src/common/leadership/testing/simulated_process.js';
import {SimulatedDataCentre} from '../src/common/leadership/testing/simulated_data_centre.js';
import {Urgency} from '../src/common/tickets/types.js';
import {DATA_CENTRE, SoakApplication} from './soak_application.js';

const PROCESS_COUNT = 3;
const WORKER_COUNT = 4;
const JOB_COUNT = 25;

/** Period in which faults begin. */
const FAULT_PERIOD_MS: Millis = 45 * SECOND;

/** Longest duration of a fault. */
const MAX_FAULT_MS: Millis = 12 * SECOND;

/** Time to get a leader after the worst faults, and then to run the jobs. */
const RECOVERY_PERIOD_MS: Millis = 4 * MINUTE;

/** Interval at which a caller submits an unaccepted job. */
const RETRY_INTERVAL_MS: Millis = 2 * SECOND;

/**
 * Probability that a caller submits again after a refusal; the others make up
 * the jobs that were refused and must never run.
 */
const RETRY_PROBABILITY = 0.7;

/**
 * A caller that submits until its job is accepted. The checks get it by a cast in
 * place of a `FakeCaller`, so its fields keep the names of that class.
 */
interface SoakCaller {
  readonly submission: Submission;
  readonly job: string;
  accepted: boolean;
  /** Whether every submission was refused as certainly not run. */
  provenNotRun: boolean;
  /** Submissions without an answer; each of them may be accepted. */
  openSubmissions: number;
  /** Whether an answer left open whether the job was accepted. */
  isUncertain: boolean;
  cancelRequested: boolean;
}

/** Counts, violations and trace of a run. */
export interface SoakResult {
  readonly seed: number;
  readonly violations: readonly string[];
  /** Started tasks. */
  readonly starts: number;
  /** Finished tasks. */
  readonly finished: number;
  /** Callers that gave up after refusals as certainly not run. */
  readonly refused: number;
  /** Views in the log. */
  readonly views: number;
  readonly trace: readonly string[];
}

/** A run of leadership, stream and scheduler under faults from a seed. */
class Soak {
  /** Applications by process. */
  private readonly applications = new Map<SimulatedProcess, SoakApplication>();
  private readonly allApplications: SoakApplication[] = [];
  private readonly workers = new Map<string, FakeWorker>();
  private readonly ledger: ExecutionEvent[] = [];
  private readonly callers: SoakCaller[] = [];
  private readonly sim: SimulatedDataCentre;
  private requestCount = 0;

  constructor(private readonly seed: number) {
    this.sim = new SimulatedDataCentre(seed, process => {
      const application = new SoakApplication(process, this.sim, this.workers);
      this.applications.set(process, application);
      this.allApplications.push(application);
      return application;
    });
  }

  run(): SoakResult {
    const {sim} = this;
    for (let i = 0; i < WORKER_COUNT; i++) this.addWorker(i);
    for (let i = 1; i <= PROCESS_COUNT; i++) sim.start(`e${i}`);
    for (let i = 0; i < JOB_COUNT; i++) this.addCaller(i);
    const [scenario] = fc.sample(
      arbitraryFaults(FAULT_PERIOD_MS, MAX_FAULT_MS),
      {
        seed: this.seed,
        numRuns: 1,
      },
    );
    for (const fault of scenario) scheduleFault(sim, fault);
    for (let at = SECOND; at < FAULT_PERIOD_MS; at += 5 * SECOND) {
      sim.queue.after(at, () => this.changeWorkerFault());
    }
    const violations: string[] = [];
    try {
      sim.runUntil(FAULT_PERIOD_MS + MAX_FAULT_MS);
      this.repairWorkers();
      sim.runUntil(FAULT_PERIOD_MS + MAX_FAULT_MS + RECOVERY_PERIOD_MS);
    } catch (error) {
      violations.push((error as Error).message.split('\n')[0]);
    }
    for (const worker of this.workers.values()) worker.advance(sim.time);
    violations.push(...this.check());
    return {
      seed: this.seed,
      violations,
      starts: this.ledger.filter(({event}) => event === 'start').length,
      finished: this.ledger.filter(({event}) => event === 'finished').length,
      refused: this.callers.filter(({provenNotRun}) => provenNotRun).length,
      views: sim.log.filter(({data}) => data.kind === 'view').length,
      trace: sim.trace,
    };
  }

  private check(): string[] {
    const {ledger, workers, callers} = this;
    const checked = {ledger, workers, callers} as unknown as FakeDataCentre;
    return [
      ...checkOneTaskPerJob(ledger),
      ...checkTaskIds(ledger),
      ...checkCapacity(checked),
      ...checkAtMostOnce(checked),
      ...checkRefusals(checked),
      ...checkCompletion(checked),
      ...this.allApplications.flatMap(application => application.violations),
    ];
  }

  private addWorker(index: number): void {
    const {sim} = this;
    const fields = {
      capacity: {processors: 4, memoryMb: 4000, accelerators: 1},
      rack: `r${index % 2}`,
      clockOffset: sim.randomBetween(-1e6, 1e6),
      // With the clock of a process (1%) the drift stays below the allowed 2%.
      clockRate: sim.randomBetween(0.995, 1.005),
    };
    const worker = new FakeWorker(`w${index}`, fields, this.ledger);
    this.workers.set(worker.id, worker);
  }

  private addCaller(index: number): void {
    const {sim} = this;
    const key = `job-${index}`;
    const caller: SoakCaller = {
      submission: {
        key,
        jobClass: 'cut',
        team: 'team',
        urgency: Urgency.NORMAL,
        size: {
          processors: 1 + Math.floor(sim.random() * 3),
          memoryMb: 1000,
          accelerators: 0,
        },
        runMs: sim.randomBetween(200, 8000),
        idempotent: sim.random() < 0.5,
      },
      job: jobIdOf(DATA_CENTRE, key),
      accepted: false,
      provenNotRun: false,
      openSubmissions: 0,
      isUncertain: false,
      cancelRequested: false,
    };
    this.callers.push(caller);
    sim.queue.after(sim.randomBetween(100, FAULT_PERIOD_MS), () =>
      this.submit(caller),
    );
  }

  /** Submits to a lease holder, or to any process; retries until accepted. */
  private submit(caller: SoakCaller): void {
    if (caller.accepted || caller.provenNotRun) return;
    const {sim} = this;
    sim.queue.after(RETRY_INTERVAL_MS, () => this.submit(caller));
    const processes = [...sim.processes.values()];
    const holders = sim.leaseHolders();
    const process =
      holders[0] ?? processes[Math.floor(sim.random() * processes.length)];
    if (process === undefined) return;
    const request = `r${++this.requestCount}`;
    caller.openSubmissions++;
    const {submission} = caller;
    this.applications
      .get(process)
      ?.sendRequest(request, {kind: 'submit', request, submission}, answer =>
        answer.caseOf({
          Left: ({ran}) => this.onRefused(caller, ran),
          Right: value => {
            if (value.kind !== 'job') return;
            caller.accepted = true;
            if (value.job.id !== caller.job) {
              throw new Error(`${caller.job} was accepted as ${value.job.id}`);
            }
          },
        }),
      );
  }

  /** Makes some callers give up whose submissions were all refused. */
  private onRefused(caller: SoakCaller, ran: Ran): void {
    caller.openSubmissions--;
    if (ran !== Ran.NO) caller.isUncertain = true;
    const isCertain = !caller.isUncertain && caller.openSubmissions === 0;
    if (!isCertain || this.sim.random() < RETRY_PROBABILITY) return;
    caller.provenNotRun = true;
  }

  /** Kills or disconnects a random worker; ends the fault if it has one. */
  private changeWorkerFault(): void {
    const {sim} = this;
    const workers = [...this.workers.values()];
    const worker = workers[Math.floor(sim.random() * workers.length)];
    if (!worker.isUp) worker.restart();
    else if (!worker.isConnected) worker.isConnected = true;
    else if (sim.random() < 0.5) worker.kill(sim.time);
    else worker.isConnected = false;
    sim.addTrace(`worker ${worker.id} up ${worker.isUp} ${worker.isConnected}`);
  }

  /** Ends the faults of all workers. */
  private repairWorkers(): void {
    for (const worker of this.workers.values()) {
      if (!worker.isUp) worker.restart();
      worker.isConnected = true;
    }
  }
}

/** Runs leadership, stream and scheduler under faults generated from `seed`. */
export function runSoak(seed: number): SoakResult {
  return new Soak(seed).run();
}
