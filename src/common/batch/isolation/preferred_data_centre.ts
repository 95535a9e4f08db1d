import {selectByWeightedHash} from '../../base/rendezvous.js';
import {ActiveJob, ActiveStep} from '../active_job.js';
import {WorkerState} from '../worker_state.js';

/** A data centre with the processors of its usable workers, in millicores. */
interface DataCentre {
  readonly name: string;
  cpuMilli: number;
}

/**
 * The data centre in which a job's tasks run if there is room. A job that uses
 * one data centre is delayed when that one is isolated; tasks spread over all of
 * them would be delayed by the isolation of any, and most jobs with them.
 */
export class PreferredDataCentre {
  private dataCentres: readonly DataCentre[] = [];
  /** Preferences among the current data centres. */
  private preferences = new WeakMap<ActiveJob, string>();

  /** Sets the workers that are usable now. */
  update(workers: Iterable<WorkerState>): void {
    const byName = new Map<string, DataCentre>();
    for (const {dataCentre: name, capacity} of workers) {
      const known = byName.get(name);
      if (known !== undefined) known.cpuMilli += capacity.cpuMilli;
      else byName.set(name, {name, cpuMilli: capacity.cpuMilli});
    }
    const dataCentres = [...byName.values()].sort((a, b) =>
      a.name < b.name ? -1 : 1,
    );
    if (!isSame(dataCentres, this.dataCentres)) {
      this.preferences = new WeakMap();
    }
    this.dataCentres = dataCentres;
  }

  /**
   * Whether a worker is outside the data centre that a step's job prefers.
   * Perpetual tasks have no preference, as all of them in one data centre would
   * be lost with it, and tasks with their data on a rack prefer that.
   */
  isOutside({shape, occurrence}: ActiveStep, worker: WorkerState): boolean {
    if (this.dataCentres.length < 2) return false;
    if (shape.perpetual || shape.dataRack !== '') return false;
    return worker.dataCentre !== this.of(occurrence.job);
  }

  /** Weighted by processors, and the same for a successor. */
  private of(job: ActiveJob): string {
    let name = this.preferences.get(job);
    if (name === undefined) {
      const {id} = job;
      const {dataCentres} = this;
      name =
        selectByWeightedHash(id, dataCentres, dc => dc.cpuMilli)?.name ?? '';
      this.preferences.set(job, name);
    }
    return name;
  }
}

/**
 * Whether two lists have the same data centres. Weights may differ: a worker
 * that comes or goes must not move the rest of the jobs that run already.
 */
function isSame(
  some: readonly DataCentre[],
  others: readonly DataCentre[],
): boolean {
  if (some.length !== others.length) return false;
  return some.every(({name}, index) => name === others[index].name);
}
