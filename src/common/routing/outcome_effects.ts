import {AttemptOutcome} from './types.js';

/** How the outcome of an attempt counts in the health of its target. */
export const OutcomeEffect = {
  SUCCESS: 'success',
  FAILURE: 'failure',
  NONE: 'none',
} as const;
export type OutcomeEffect = (typeof OutcomeEffect)[keyof typeof OutcomeEffect];

export const OUTCOME_EFFECTS: Readonly<Record<AttemptOutcome, OutcomeEffect>> =
  {
    [AttemptOutcome.SUCCEEDED]: OutcomeEffect.SUCCESS,
    [AttemptOutcome.FAILED]: OutcomeEffect.FAILURE,
    [AttemptOutcome.NOT_SENT]: OutcomeEffect.FAILURE,
    [AttemptOutcome.BROKEN]: OutcomeEffect.FAILURE,
    [AttemptOutcome.TIMED_OUT]: OutcomeEffect.FAILURE,
    [AttemptOutcome.CANCELLED]: OutcomeEffect.NONE,
  };
