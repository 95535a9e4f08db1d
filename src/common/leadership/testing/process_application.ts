import {BatchRecord, Offset, View} from '../../stream/types.js';

/** What runs in a simulated process on top of its leadership. */
export interface ProcessApplication {
  /** The process leads the view. */
  lead(view: View, continued: boolean): void;
  follow(): void;
  /** A batch in force was read. */
  batch(offset: Offset, batch: BatchRecord, own: boolean): void;
  log(available: boolean): void;
  tick(): void;
}
