import {Either, Left, Right} from 'purify-ts';
import {Millis, SECOND} from '../common/base/clock.js';
import {Disposable} from '../common/base/disposable.js';
import {Refusal, refuse, RefusalKind} from '../common/base/refusal.js';
import {selectByRendezvousHash} from '../common/base/rendezvous.js';
import {
  ClaimAnswer,
  JobId,
  JobView,
  SchedulerAnswer,
  Submission,
} from '../common/jobs/types.js';
import {ClaimOutcome, ClaimSource} from '../node/proxy_types.js';
import {PeerAnswer, PeerRequest} from '../node/peer_messages.js';
import {PeerMesh} from '../node/peer_mesh.js';
import {PeerRequests} from '../node/peer_requests.js';
import {isFinal} from '../node/job_api.js';
import {DataCentreService} from './data_centre_service.js';
import {PeerStateService} from './peer_state_service.js';
import {Settings} from './types.js';

declare module '../common/kernel/kernel.js' {
  interface Services {
    jobs: JobService;
  }
}

/**
 * Interval at which `result` reads a job again. The end of a job fires an event
 * only in its home data centre, so instances of another one have to poll.
 */
const RESULT_POLL_MS: Millis = SECOND / 4;

/** Limit of the jobs in a list; bounds the size of an answer to a peer. */
const MAX_LISTED_JOBS = 10_000;

function noLeaderRefusal(dataCentre: string): Refusal {
  return refuse(
    RefusalKind.NO_LEADER,
    `No leader of data centre ${dataCentre} is known here.`,
    'Send the request again; a leader is found within seconds.',
    3 * SECOND,
  );
}

function noSuchJobRefusal(id: JobId): Refusal {
  return refuse(
    RefusalKind.NOT_FOUND,
    `There is no job ${id}.`,
    'Check the id; jobs are forgotten some time after their end.',
  );
}

function toPeerAnswer<T>(result: Either<Refusal, T>): PeerAnswer {
  return result.caseOf<PeerAnswer>({
    Left: refusal => ({ok: false, refusal}),
    Right: value => ({ok: true, value: value as never}),
  });
}

function fromPeerAnswer<T>(answer: PeerAnswer): Either<Refusal, T> {
  return answer.ok ? Right(answer.value as T) : Left(answer.refusal);
}

type RequestHandlers = {
  readonly [K in PeerRequest['kind']]: (
    request: Extract<PeerRequest, {kind: K}>,
  ) => Promise<Either<Refusal, unknown>>;
};

/**
 * Sends requests about jobs and claims to the leader of their home data centre,
 * which is this instance or a peer. Rendezvous hashing selects the home data
 * centre of a key; the id of a job starts with the name of its home.
 */
export class JobService implements ClaimSource, Disposable {
  private readonly peerRequests: PeerRequests;

  constructor(
    mesh: PeerMesh,
    private readonly dataCentre: DataCentreService,
    private readonly peerStates: PeerStateService,
    private readonly settings: Settings,
  ) {
    this.peerRequests = new PeerRequests(mesh, request =>
      this.servePeer(request),
    );
  }

  dispose(): void {
    this.peerRequests.dispose();
  }

  submit(
    submission: Submission,
    dataCentre: string | undefined,
  ): Promise<Either<Refusal, JobView>> {
    const home = dataCentre ?? this.homeOfKey(submission.key);
    const {logAppendMs} = this.settings.timeouts;
    return this.requestFromLeader(
      home,
      {kind: 'submit', submission},
      logAppendMs,
    );
  }

  cancel(id: JobId): Promise<Either<Refusal, JobView>> {
    const {logAppendMs} = this.settings.timeouts;
    return this.requestFromLeader(
      this.homeOfJob(id),
      {kind: 'cancel', job: id},
      logAppendMs,
    );
  }

  /**
   * Returns the state of a job at its leader, or the state according to local
   * records if the leader doesn't answer or know the job.
   */
  async job(id: JobId): Promise<Either<Refusal, JobView>> {
    const home = this.homeOfJob(id);
    const {logAppendMs} = this.settings.timeouts;
    const view = await this.requestFromLeader<JobView | null>(
      home,
      {kind: 'job', job: id},
      logAppendMs,
    );
    const job = view.orDefault(null) ?? this.dataCentre.job(id);
    if (job !== undefined) return Right(job);
    return view.chain(() => Left(noSuchJobRefusal(id)));
  }

  /**
   * Waits up to `waitMs` for the final state of a job, also while its state
   * can't be read; then returns the latest state or refusal.
   */
  async result(id: JobId, waitMs: Millis): Promise<Either<Refusal, JobView>> {
    const deadline = Date.now() + waitMs;
    for (;;) {
      const view = await this.job(id);
      const done = view.map(isFinal).orDefault(waitMs === 0);
      const remainingMs = deadline - Date.now();
      if (done || remainingMs <= 0) return view;
      await this.waitForJobEnd(id, Math.min(remainingMs, RESULT_POLL_MS));
    }
  }

  /** Jobs of this data centre at its leader, or else those in local records. */
  async list(): Promise<Either<Refusal, readonly JobView[]>> {
    const {logAppendMs} = this.settings.timeouts;
    const listed = await this.requestFromLeader<readonly JobView[]>(
      this.settings.dataCentre,
      {kind: 'jobs'},
      logAppendMs,
    );
    return listed.alt(Right(this.localJobs()));
  }

  async claim(key: string): Promise<Either<Refusal, ClaimAnswer>> {
    const {instance, timeouts} = this.settings;
    return this.requestFromLeader(
      this.homeOfKey(key),
      {kind: 'claim', key, instance},
      timeouts.claimMs,
    );
  }

  endClaim(key: string, outcome: ClaimOutcome): void {
    const request: PeerRequest = {kind: 'end-claim', key, outcome};
    void this.requestFromLeader(
      this.homeOfKey(key),
      request,
      this.settings.timeouts.claimMs,
    );
  }

  private homeOfKey(key: string): string {
    const names = Object.keys(this.settings.dataCentres);
    return selectByRendezvousHash(key, names) ?? this.settings.dataCentre;
  }

  private homeOfJob(id: JobId): string {
    return id.slice(0, id.indexOf('/'));
  }

  /** Runs a request here if this instance leads `home`, or else at a peer. */
  private async requestFromLeader<T>(
    home: string,
    request: PeerRequest,
    timeoutMs: Millis,
  ): Promise<Either<Refusal, T>> {
    const isLocal = home === this.settings.dataCentre;
    if (isLocal && this.dataCentre.leasedView !== undefined) {
      return (await this.serveLocal(request, timeoutMs)) as Either<Refusal, T>;
    }
    const leader = this.peerStates.findLeader(home);
    if (leader === undefined) return Left(noLeaderRefusal(home));
    return fromPeerAnswer(
      await this.peerRequests.send(leader, request, timeoutMs),
    );
  }

  /**
   * Serves a request of a peer that considers this instance the leader; the
   * scheduler refuses a submission, cancellation or claim if it isn't.
   */
  private async servePeer(request: PeerRequest): Promise<PeerAnswer> {
    const {logAppendMs} = this.settings.timeouts;
    return toPeerAnswer(await this.serveLocal(request, logAppendMs));
  }

  private serveLocal(
    request: PeerRequest,
    timeoutMs: Millis,
  ): Promise<Either<Refusal, unknown>> {
    const askScheduler = async (
      message: Parameters<DataCentreService['request']>[0],
    ): Promise<Either<Refusal, unknown>> => {
      const answer = await this.dataCentre.request(message, timeoutMs);
      return answer.map(toAnswerValue);
    };
    const handlers: RequestHandlers = {
      submit: ({submission}) => askScheduler({kind: 'submit', submission}),
      cancel: ({job}) => askScheduler({kind: 'cancel', job}),
      claim: ({key, instance}) => askScheduler({kind: 'claim', key, instance}),
      'end-claim': async ({key, outcome}) => {
        this.dataCentre.sendToScheduler({kind: 'end-claim', key, outcome});
        return Right(null);
      },
      job: async ({job}) => Right(this.dataCentre.job(job) ?? null),
      jobs: async () => Right(this.localJobs()),
    };
    const handler = handlers[request.kind] as (
      request: PeerRequest,
    ) => Promise<Either<Refusal, unknown>>;
    return handler(request);
  }

  private localJobs(): readonly JobView[] {
    const jobs: JobView[] = [];
    for (const job of this.dataCentre.allJobs()) {
      if (jobs.length >= MAX_LISTED_JOBS) break;
      jobs.push(job);
    }
    return jobs;
  }

  /** Waits at most `ms` until a record read here ends the job. */
  private waitForJobEnd(id: JobId, ms: Millis): Promise<void> {
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        subscription.dispose();
        resolve();
      };
      const timer = setTimeout(finish, ms);
      const subscription = this.dataCentre.onJobEnd(job => {
        if (job.id === id) finish();
      });
    });
  }
}

function toAnswerValue(answer: SchedulerAnswer): JobView | ClaimAnswer {
  return answer.kind === 'job' ? answer.job : answer.claim;
}
