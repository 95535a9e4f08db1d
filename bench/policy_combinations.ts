import {PlacementPolicy} from '../src/common/jobs/placement.js';
import {ReactionPolicy} from '../src/common/jobs/reaction.js';
import {RoutingPolicy} from '../src/common/tickets/types.js';

/** How requests and jobs are handled in one run. */
export interface Combination {
  readonly routing: RoutingPolicy;
  /** Without admission, requests go straight to the targets. */
  readonly admission: boolean;
  readonly batch: 'none' | 'scheduler' | 'oracle';
  readonly placement: PlacementPolicy;
  readonly reaction: ReactionPolicy;
}

const DEFAULT: Combination = {
  routing: RoutingPolicy.TWO_CHOICES,
  admission: true,
  batch: 'scheduler',
  placement: PlacementPolicy.BEST_FIT,
  reaction: ReactionPolicy.THROTTLE_THEN_EVICT,
};

/** The combinations by name. */
export const COMBINATIONS: Readonly<Record<string, Combination>> = {
  default: DEFAULT,
  'no-batch': {...DEFAULT, batch: 'none'},
  'round-robin without admission': {
    ...DEFAULT,
    routing: RoutingPolicy.ROUND_ROBIN,
    admission: false,
  },
  'first-fit on declared sizes': {
    ...DEFAULT,
    placement: PlacementPolicy.FIRST_FIT,
  },
  'no interference reaction': {...DEFAULT, reaction: ReactionPolicy.NONE},
  oracle: {...DEFAULT, batch: 'oracle'},
};
