import {Millis} from '../base/clock.js';
import {Ran} from '../base/refusal.js';
import {Urgency} from '../tickets/types.js';
import {FakeNode} from './fake_node.test_support.js';
import {jobIdOf} from './job_id.js';
import {Simulation} from './simulation.test_support.js';
import {JobId, JobState, JobView, Submission} from './types.js';

/** Time after which a caller sends an unanswered request again. */
const ANSWER_TIMEOUT_MS: Millis = 3000;

/** Probability that a caller sends a refused job again. */
const RETRY_PROBABILITY = 0.8;

/** A caller with one job. It repeats its request until it gets an answer. */
export class FakeCaller {
  readonly submission: Submission;
  readonly job: JobId;
  /** Whether every submission so far was refused as certainly not run. */
  provenNotRun = true;
  /** Whether a submission was answered with the job. */
  accepted = false;
  /** Simulated time of the answer that the job was cancelled. */
  cancelledAt: Millis | undefined;
  cancelRequested = false;
  private requestCount = 0;
  constructor(
    index: number,
    private readonly simulation: Simulation,
    private readonly nodes: readonly FakeNode[],
  ) {
    const key = `key-${index}`;
    this.job = jobIdOf('dc', key);
    this.submission = {
      key,
      jobClass: 'cut',
      team: simulation.pick(['a', 'b']),
      urgency: simulation.pick(Object.values(Urgency)),
      size: {
        processors: simulation.pick([0.5, 1, 2, 3]),
        memoryMb: simulation.pick([200, 1000, 2500]),
        accelerators: simulation.chance(0.2) ? 1 : 0,
      },
      runMs: simulation.between(200, 8000),
      idempotent: simulation.chance(0.6),
    };
  }

  /** Submits the job to a random instance. */
  submit(): void {
    const {simulation, submission} = this;
    const message = {kind: 'submit', submission} as const;
    this.sendRequest(message, answer =>
      answer.caseOf({
        Left: ({ran}) => {
          if (ran !== Ran.NO) this.provenNotRun = false;
          // After an unknown outcome the caller always retries; after a refusal
          // it may give up, so that some refused jobs are never submitted again.
          if (ran !== Ran.NO || simulation.chance(RETRY_PROBABILITY)) {
            simulation.after(simulation.between(100, 1000), () =>
              this.submit(),
            );
          }
        },
        Right: () => {
          this.provenNotRun = false;
          this.accepted = true;
        },
      }),
    );
  }

  /** Cancels the job, if it has been accepted. */
  cancel(): void {
    if (!this.accepted) return;
    const {simulation} = this;
    this.cancelRequested = true;
    this.sendRequest({kind: 'cancel', job: this.job}, answer =>
      answer.caseOf({
        Left: () => {
          simulation.after(simulation.between(100, 1000), () => this.cancel());
        },
        Right: value => {
          if (value.kind === 'job') this.onCancelAnswer(value.job);
        },
      }),
    );
  }

  private onCancelAnswer({state}: JobView): void {
    if (state === JobState.CANCELLED) this.cancelledAt = this.simulation.now;
  }

  /** Sends a request to a random instance and repeats it after a timeout. */
  private sendRequest(
    message:
      | {readonly kind: 'submit'; readonly submission: Submission}
      | {readonly kind: 'cancel'; readonly job: JobId},
    listener: Parameters<FakeNode['sendRequest']>[2],
  ): void {
    const request = `${this.submission.key}/${++this.requestCount}`;
    const node = this.simulation.pick(this.nodes);
    let done = false;
    node.sendRequest(request, {...message, request}, answer => {
      if (done) return;
      done = true;
      listener(answer);
    });
    this.simulation.after(ANSWER_TIMEOUT_MS, () => {
      if (done) return;
      done = true;
      // The submission may have been accepted although no answer came.
      this.provenNotRun = this.provenNotRun && message.kind !== 'submit';
      if (message.kind === 'submit') this.submit();
      else this.cancel();
    });
  }
}
