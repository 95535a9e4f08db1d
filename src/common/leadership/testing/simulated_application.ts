import {BatchRecord, Offset, View} from '../../stream/types.js';

/** Application code that a simulated process runs on top of its leadership. */
export interface SimulatedApplication {
  /** The process leads `view`; `continued` as in `LeadershipAction`. */
  onLead(view: View, continued: boolean): void;
  onFollow(): void;
  /** A batch in force was read; `isOwn` if this process appended it. */
  onBatch(offset: Offset, batch: BatchRecord, isOwn: boolean): void;
  onLogAvailability(available: boolean): void;
  onTick(): void;
}
