import {Refusal} from '../common/base/refusal.js';
import {AttemptAbort} from './attempt.js';
import {alreadyClaimed, deadlinePassed} from './proxy_refusals.js';
import {ClaimOutcome, ClaimSource} from './proxy_types.js';

/** Awaits a promise; rejects with `AttemptAbort` if the request is aborted. */
export type AbortableWait = <T>(work: Promise<T>) => Promise<T>;

/** The claim of one request. Idempotent requests have no key and no claim. */
export class RequestClaim {
  private held = false;

  constructor(
    private readonly claims: ClaimSource,
    private readonly key: string | undefined,
  ) {}

  /** Acquires the claim. Returns the refusal if it is not granted. */
  async acquire(unlessAborted: AbortableWait): Promise<Refusal | undefined> {
    const {claims, key} = this;
    if (key === undefined) return undefined;
    const pending = claims.claim(key);
    try {
      const claimAnswer = await unlessAborted(pending);
      return claimAnswer.caseOf<Refusal | undefined>({
        Left: refusal => refusal,
        Right: claim => {
          if (!claim.granted) return alreadyClaimed(claim.held);
          this.held = true;
          return undefined;
        },
      });
    } catch (error) {
      if (!(error instanceof AttemptAbort)) throw error;
      // The request won't be sent any more, so a late grant is released.
      void pending.then(
        claimAnswer =>
          claimAnswer.ifRight(({granted}) => {
            if (granted) claims.endClaim(key, 'released');
          }),
        () => undefined,
      );
      return deadlinePassed(false);
    }
  }

  /** Ends the claim if it is held. Later calls have no effect. */
  end(outcome: ClaimOutcome): void {
    if (!this.held || this.key === undefined) return;
    this.held = false;
    this.claims.endClaim(this.key, outcome);
  }
}
