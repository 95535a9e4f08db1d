import {Size, fits} from '../base/size.js';

/**
 * Sizes that fit on no worker during a placement pass. A size that is at least
 * as large in every dimension need not be tried.
 */
export class UnplaceableSizes {
  /** The minimal sizes: none fits within another. */
  private sizes: Size[] = [];

  /** Whether a size is at least as large as one that did not fit. */
  covers(size: Size): boolean {
    return this.sizes.some(minimal => fits(minimal, size));
  }

  add(size: Size): void {
    this.sizes = this.sizes.filter(other => !fits(size, other));
    this.sizes.push(size);
  }
}
