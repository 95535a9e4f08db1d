import {PerformanceObserver} from 'node:perf_hooks';
import {Millis} from '../../common/base/clock.js';
import {ProcessUsage} from '../../common/batch/cost_report.js';

/** Usage of this process since its start, and of its garbage collection. */
export class NodeProcessUsage implements ProcessUsage {
  private collectionMs: Millis = 0;

  constructor() {
    const observer = new PerformanceObserver(list => {
      for (const {duration} of list.getEntries()) this.collectionMs += duration;
    });
    observer.observe({entryTypes: ['gc']});
  }

  processorMs(): Millis {
    const {user, system} = process.cpuUsage();
    return (user + system) / 1000;
  }

  garbageCollectionMs(): Millis {
    return this.collectionMs;
  }
}
