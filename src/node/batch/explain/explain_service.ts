import {randomBytes} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {Millis} from '../../../common/base/clock.js';
import {RefusalKind} from '../../../common/base/refusal.js';
import {
  Admission,
  Explanation,
  JobExplanation,
  ViewAges,
} from '../../../common/batch/explain/explanation.js';
import {JobExplainer} from '../../../common/batch/explain/job_explainer.js';
import {isFinal, JobPhase} from '../../../common/batch/job_records.js';
import {JobView} from '../../../common/batch/job_view.js';
import {Scheduler} from '../../../common/batch/scheduler.js';
import {
  BatchConfiguration,
  JobShape,
  Queue,
} from '../../../common/batch/types.js';
import {JobLookup} from '../job_lookup.js';
import {askInstance} from './explain_client.js';
import {ExplainReply, faultsReply, refusal} from './explain_reply.js';
import {ExplainRequest, RequestFault} from './explain_request.js';

/** Time for the look-up of a job that the replica doesn't show. */
const LOOKUP_TIMEOUT_MS: Millis = 700;

/** Queues that a message lists, at most. */
const MAX_LISTED_QUEUES = 20;

const PHASE_NAMES: Readonly<Record<JobPhase, string>> = {
  [JobPhase.QUEUED]: 'queued',
  [JobPhase.RUNNING]: 'running',
  [JobPhase.COMPLETE]: 'complete',
  [JobPhase.FAILED]: 'failed',
  [JobPhase.CANCELLED]: 'cancelled',
};

const STORED: Admission = {
  isAdmitted: true,
  status: 200,
  reason: 'The job is stored.',
};

/** What explanations use of the instance. */
export interface ExplainHost {
  readonly name: string;
  /** Address at which other instances ask this one. */
  readonly relayAddress: string | undefined;
  readonly configuration: BatchConfiguration | undefined;
  readonly isReady: boolean;
  readonly view: JobView;
  readonly lookup: Pick<JobLookup, 'status'>;
  /** Whether no log record could hold the progress of a job. */
  isTooLarge(shape: JobShape): boolean;
  /** Scheduler of a shard, if this instance has it. */
  schedulerFor(shard: string): Scheduler | undefined;
  viewAges(): ViewAges;
}

/** The platform's formats of jobs and routes. */
export interface JobFormats {
  /** Returns a message that names each field that is not accepted. */
  decodeJob(body: Buffer): JobShape | string;
  findQueue(
    configuration: BatchConfiguration,
    host: string,
    path: string,
  ): Queue | undefined;
}

/** Explains jobs, or asks the instance that has their scheduler to. */
export class ExplainService {
  constructor(
    private readonly host: ExplainHost,
    private readonly formats: JobFormats,
  ) {}

  async answer(request: ExplainRequest): Promise<ExplainReply> {
    return request.job === undefined
      ? this.explainStored(request)
      : this.explainSubmission(request);
  }

  private async explainSubmission(
    request: ExplainRequest,
  ): Promise<ExplainReply> {
    const {configuration} = this.host;
    if (configuration === undefined) {
      const reason = 'The instance has read no configuration yet.';
      return this.notAdmitted(503, reason);
    }
    const shape = this.formats.decodeJob(
      Buffer.from(JSON.stringify(request.job)),
    );
    if (typeof shape === 'string') return faultsReply(jobFaults(shape));
    const queue = this.queueOf(request, configuration);
    if (queue === undefined) {
      if (request.queue !== undefined) {
        return unknownQueueReply(request.queue, configuration);
      }
      const route = `${request.host}${request.path}`;
      return this.notAdmitted(404, `No queue serves ${route}.`);
    }
    const admission = this.admissionOf(shape);
    if (admission.status === 413) {
      return this.notAdmitted(413, admission.reason);
    }
    const id = request.id ?? randomBytes(8).toString('hex');
    if (this.host.view.jobs.has(id)) return storedReply(id);
    const shard = this.host.view.layout.shardOfJob(id);
    return this.explainIn(shard, {...request, id}, admission, scheduler =>
      new JobExplainer(scheduler).describe(id, queue, shape),
    );
  }

  private queueOf(
    {queue, host = '', path = ''}: ExplainRequest,
    configuration: BatchConfiguration,
  ): Queue | undefined {
    return queue === undefined
      ? this.formats.findQueue(configuration, host, path)
      : configuration.queues.find(({name}) => name === queue);
  }

  private admissionOf(shape: JobShape): Admission {
    if (this.host.isTooLarge(shape)) {
      const reason = 'The job is too large to be stored; split it.';
      return {isAdmitted: false, status: 413, reason};
    }
    if (!this.host.isReady) {
      const reason =
        'The instance is not ready: it stops, or has not read the log for 3 s.';
      return {isAdmitted: false, status: 503, reason};
    }
    const reason = 'The job would be stored.';
    return {isAdmitted: true, status: 200, reason};
  }

  private async explainStored(request: ExplainRequest): Promise<ExplainReply> {
    const id = request.id!;
    const {view, lookup} = this.host;
    if (view.phase(id) === undefined) {
      const timeout = sleep(LOOKUP_TIMEOUT_MS, undefined, {ref: false});
      const found = await Promise.race([lookup.status(id), timeout]);
      if (found === undefined || found.isLeft()) {
        const message =
          'The log can not be read at present, so it is unknown whether there ' +
          `is a job ${id}. Ask again in a few seconds.`;
        return refusal(503, RefusalKind.LOG_UNAVAILABLE, message);
      }
    }
    const known = view.jobs.get(id);
    const phase = view.phase(id);
    if (known === undefined || phase === undefined) {
      const message =
        `There is no job ${id}, or it ended long ago; accepted: the id of a ` +
        'job that was submitted and has not ended.';
      return refusal(404, RefusalKind.NOT_FOUND, message);
    }
    if (isFinal(phase)) return overReply(id, phase);
    return this.explainIn(view.ownerOf(known), request, STORED, scheduler => {
      const job = scheduler.state.jobs.get(id);
      if (job === undefined) return undefined;
      return new JobExplainer(scheduler).explainStored(job);
    });
  }

  /** Explains by the scheduler of a shard, here or at its instance. */
  private async explainIn(
    shard: string,
    request: ExplainRequest,
    admission: Admission,
    explain: (scheduler: Scheduler) => JobExplanation | undefined,
  ): Promise<ExplainReply> {
    const {host} = this;
    const scheduler = host.schedulerFor(shard);
    if (scheduler === undefined) return this.forward(shard, request, admission);
    const job = explain(scheduler);
    if (job === undefined) {
      const message =
        `The scheduler does not have the job ${request.id} at present: it was ` +
        'stored a moment ago, ends, is handed over, or waits until the ' +
        'scheduler has memory for it. Ask again in a second.';
      return refusal(409, RefusalKind.CONFLICT, message);
    }
    const body: Explanation = {
      admission,
      askedInstance: host.name,
      job,
      scheduler: {instance: host.name, ages: host.viewAges()},
    };
    return {status: 200, body};
  }

  private async forward(
    shard: string,
    request: ExplainRequest,
    admission: Admission,
  ): Promise<ExplainReply> {
    const {view, name, relayAddress} = this.host;
    const record = view.schedulerOf(shard);
    const address = record?.address;
    const isElsewhere = address !== undefined && address !== relayAddress;
    if (request.isForwarded || !isElsewhere || record?.resigned) {
      const subject = shard === '' ? 'the fleet' : `the shard ${shard}`;
      const message =
        `${name} knows no scheduler of ${subject} that it could ask. A new ` +
        'one begins within a few seconds; ask again then.';
      return refusal(503, RefusalKind.NO_LEADER, message);
    }
    const reply = await askInstance(address, request);
    if (reply.status !== 200) return reply;
    return {...reply, body: {...reply.body, admission, askedInstance: name}};
  }

  private notAdmitted(status: number, reason: string): ExplainReply {
    const admission = {isAdmitted: false, status, reason};
    const body: Explanation = {admission, askedInstance: this.host.name};
    return {status: 200, body};
  }
}

/**
 * Splits the message about a job. For wrong fields it has the form
 * `✖ message → at field` for each, with what is expected in the message.
 */
function jobFaults(message: string): readonly RequestFault[] {
  return message
    .split('✖ ')
    .filter(part => part !== '')
    .map(part => {
      const [text, field] = part.split('→ at ').map(side => side.trim());
      return {
        field: field === undefined ? 'job' : `job.${field}`,
        message: text,
      };
    });
}

/** The tasks of a stored job have the names of those that are described. */
function storedReply(id: string): ExplainReply {
  const message =
    `The job ${id} is stored; accepted: the id alone, or a job with an id that ` +
    'is not in use.';
  return refusal(409, RefusalKind.CONFLICT, message);
}

function overReply(id: string, phase: JobPhase): ExplainReply {
  const message =
    `The job ${id} is ${PHASE_NAMES[phase]}; accepted: the id of a job that ` +
    'has not ended.';
  return refusal(409, RefusalKind.CONFLICT, message);
}

function unknownQueueReply(
  name: string,
  {queues}: BatchConfiguration,
): ExplainReply {
  const names = queues.slice(0, MAX_LISTED_QUEUES).map(queue => queue.name);
  const more = queues.length > names.length ? ' and others' : '';
  return faultsReply([
    {
      field: 'queue',
      message: `there is no ${JSON.stringify(name)}`,
      accepted: `${names.join(', ') || 'none, as there are no queues'}${more}`,
    },
  ]);
}
