import {
  JobAdmission,
  JobVerdict,
} from '../../../common/batch/admission/job_admission.js';

/** What the memory of jobs at an instance is told of. */
export interface JobMemoryReport {
  readonly admission: JobAdmission;
  /** Jobs for which the schedulers of this instance have no memory yet. */
  readonly deferredJobs: number;
}

/** Memory of jobs and its limit, in the Prometheus text format. */
export function jobMemoryMetrics(report: JobMemoryReport): string {
  const {admission, deferredJobs} = report;
  const {NO_MEMORY, OVER_SHARE} = JobVerdict;
  const refused = [NO_MEMORY, OVER_SHARE].map(
    cause =>
      `jasminegauge_jobs_refused_total{cause="${cause}"} ` +
      `${admission.refused.get(cause) ?? 0}`,
  );
  const limit = admission.limitBytes;
  return [
    '# HELP jasminegauge_job_memory_bytes Estimated memory of known jobs.',
    '# TYPE jasminegauge_job_memory_bytes gauge',
    `jasminegauge_job_memory_bytes ${admission.memory.total}`,
    '# HELP jasminegauge_job_memory_limit_bytes Least limit of all instances.',
    '# TYPE jasminegauge_job_memory_limit_bytes gauge',
    `jasminegauge_job_memory_limit_bytes ${limit === Infinity ? '+Inf' : limit}`,
    '# HELP jasminegauge_jobs_refused_total Jobs without memory for them.',
    '# TYPE jasminegauge_jobs_refused_total counter',
    ...refused,
    '# HELP jasminegauge_jobs_deferred Stored jobs that no scheduler holds yet.',
    '# TYPE jasminegauge_jobs_deferred gauge',
    `jasminegauge_jobs_deferred ${deferredJobs}`,
    '',
  ].join('\n');
}
