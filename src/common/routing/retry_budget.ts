/**
 * Capacity of the bucket in retries. Bounds the burst of retries at the start
 * of an outage.
 */
export const MAX_BUDGET_TOKENS = 10;

/**
 * Token bucket that limits retries and hedges of one service to a fraction of
 * its offered requests. It is filled by requests, not by time, so that attempts
 * never exceed `initial + offered × (1 + fraction)`, whatever fails.
 */
export class RetryBudget {
  /** @param tokens retries that are possible before the first request. */
  constructor(private tokens = 0) {}

  /**
   * Counts a first attempt. `fraction` is the configured number of retries per
   * request, such as 0.1.
   */
  deposit(fraction: number): void {
    this.tokens = Math.min(MAX_BUDGET_TOKENS, this.tokens + fraction);
  }

  get available(): boolean {
    // Rounding leaves sums of fractions such as 0.1 slightly below 1.
    return this.tokens >= 1 - 1e-9;
  }

  /** Withdraws one retry. Returns false when the budget is spent. */
  tryWithdraw(): boolean {
    if (!this.available) return false;
    this.tokens = Math.max(0, this.tokens - 1);
    return true;
  }
}
