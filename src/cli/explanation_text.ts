import {
  Explanation,
  JobExplanation,
  RoomExplanation,
  StepExplanation,
  StepPlacement,
  ViewAges,
  WorkerExplanation,
} from '../common/batch/explain/explanation.js';
import {formatTable, replaceControlCharacters} from './text_table.js';

/** Formats an explanation for people. */
export function formatExplanation(explanation: Explanation): string {
  const {admission, askedInstance, job, scheduler} = explanation;
  const verdict = admission.isAdmitted ? 'admitted' : 'not admitted';
  const lines = [
    `${verdict} by ${askedInstance} (${admission.status}): ${admission.reason}`,
  ];
  if (job !== undefined) lines.push(...formatJob(job));
  if (scheduler !== undefined) {
    lines.push(
      `views of the scheduler's instance ${scheduler.instance}: ` +
        formatAges(scheduler.ages),
    );
  }
  return lines.map(line => line.split('\n').map(clean).join('\n')).join('\n');
}

function clean(line: string): string {
  return replaceControlCharacters(line);
}

function* formatJob(job: JobExplanation): Generator<string> {
  const shard = job.shard === '' ? 'whole fleet' : job.shard;
  const source = job.isStored ? 'stored' : 'not submitted';
  yield (
    `job ${job.id} (${source}), queue ${job.queue}, ` +
    `priority ${job.priority}, shard: ${shard}, epoch ${job.epoch}`
  );
  if (job.pause !== undefined) yield `paused: ${job.pause}`;
  for (const step of job.steps) yield* formatStep(step);
  yield formatReports(job);
}

function formatReports({workers, reportAges}: JobExplanation): string {
  if (reportAges === undefined) return `workers: ${workers}, none usable`;
  const {usable, medianMs, oldestMs} = reportAges;
  return (
    `workers: ${workers}, ${usable} usable with reports that are ` +
    `${medianMs} ms old (median; oldest ${oldestMs} ms)`
  );
}

function* formatStep(step: StepExplanation): Generator<string> {
  yield (
    `step ${step.step} of occurrence ${step.occurrence}: ${step.state}, ` +
    `${step.waiting} of ${step.tasks} tasks wait`
  );
  if (step.placement !== undefined) yield* formatPlacement(step.placement);
}

function* formatPlacement(placement: StepPlacement): Generator<string> {
  const {isLate, slackMs, reservation} = placement;
  const slack = isLate ? 'late' : `slack ${slackMs} ms`;
  yield (
    `  rank ${placement.rank} (${slack}); ahead: ` +
    `${placement.stepsAhead} steps with ${placement.tasksAhead} tasks`
  );
  yield (
    `  if it came first now: ${placement.placed} of ` +
    `${placement.tried} tasks placed${formatChosen(placement)}`
  );
  if (placement.isForced) {
    yield '  its first task starts regardless of interference';
  }
  yield `  reservation: ${formatRoom(reservation)}`;
  const excluded = Object.entries(placement.excluded)
    .map(([reason, count]) => `${reason} ${count}`)
    .join(', ');
  yield `  workers excluded: ${excluded || 'none'}`;
  yield `  workers with room: ${placement.candidates}`;
  if (placement.weighed.length > 0) yield formatWorkers(placement.weighed);
}

function formatChosen({chosen, placed}: StepPlacement): string {
  if (placed === 0) return '';
  const counts = new Map<string, number>();
  for (const {worker} of chosen) {
    counts.set(worker, (counts.get(worker) ?? 0) + 1);
  }
  const workers = [...counts].map(([worker, count]) =>
    count === 1 ? worker : `${worker} (${count})`,
  );
  const more = placed > chosen.length ? ', and others' : '';
  return ` on ${workers.join(', ')}${more}`;
}

function formatRoom(room: RoomExplanation | undefined): string {
  if (room === undefined) return 'none';
  const {workers, expectedInMs, dueInMs} = room;
  const place = `${workers.join(', ')}, room expected in ${expectedInMs} ms`;
  return dueInMs === undefined
    ? place
    : `none yet; in ${dueInMs} ms it may get one on ${place}`;
}

function formatWorkers(workers: readonly WorkerExplanation[]): string {
  const rows = workers.map(worker => [
    `  ${worker.worker}`,
    worker.dataCentre,
    worker.rack,
    worker.free.cpuMilli,
    worker.free.memoryMb,
    worker.free.gpus,
    worker.cost ?? 'infinite',
    Object.entries(worker.parts)
      .map(([part, cost]) => `${part} ${cost ?? 'infinite'}`)
      .join(', '),
    worker.obstacle,
    worker.reportAgeMs,
  ]);
  const headings = [
    '  WORKER',
    'DATA CENTRE',
    'RACK',
    'FREE CPU (m)',
    'MB',
    'GPU',
    'COST',
    'PARTS',
    'EXCLUDED BY',
    'REPORT (ms)',
  ];
  return formatTable(headings, rows);
}

function formatAges(ages: ViewAges): string {
  const version = ages.configurationVersion ?? 'none';
  return [
    `configuration ${version} ${formatAge(ages.configurationMs)}`,
    `intake ${formatAge(ages.intakeMs)}`,
    `states ${formatAge(ages.statesMs)}`,
    `list of workers ${formatAge(ages.workerListMs)}`,
  ].join(', ');
}

function formatAge(ageMs: number | null): string {
  return ageMs === null ? 'not read' : `read ${ageMs} ms ago`;
}
