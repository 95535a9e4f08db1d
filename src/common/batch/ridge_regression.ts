/**
 * Linear least squares over a growing set of named features, with a prior for
 * each coefficient (ridge regression) and exponential forgetting.
 */
export class RidgeRegression {
  private readonly indices = new Map<string, number>();
  /** Normal matrix and right-hand side of the samples, without the priors. */
  private readonly matrix: number[][] = [];
  private readonly rightHandSide: number[] = [];
  private readonly priors: Prior[] = [];
  /** Evidence from elsewhere, which counts as a further prior. */
  private readonly peerPriors: (Prior | undefined)[] = [];
  /** Coefficients that follow from the own samples and priors alone. */
  private ownSolution: number[] = [];
  private solution: number[] = [];
  private isSolved = true;

  /** @param decayFactor factor applied to earlier samples with each new one. */
  constructor(private readonly decayFactor: number) {}

  /** Adds a feature with its prior; does nothing if the feature is known. */
  addFeature(name: string, prior: Prior): void {
    if (this.indices.has(name)) return;
    this.indices.set(name, this.priors.length);
    this.priors.push(prior);
    this.peerPriors.push(undefined);
    for (const row of this.matrix) row.push(0);
    this.matrix.push(new Array<number>(this.priors.length).fill(0));
    this.rightHandSide.push(0);
    this.isSolved = false;
  }

  /** Number of the features. */
  get size(): number {
    return this.indices.size;
  }

  has(name: string): boolean {
    return this.indices.has(name);
  }

  /** Forgets a known feature with all that was learned about it. */
  removeFeature(name: string): void {
    const removed = this.indices.get(name);
    if (removed === undefined) return;
    this.indices.delete(name);
    for (const [other, index] of this.indices) {
      if (index > removed) this.indices.set(other, index - 1);
    }
    this.matrix.splice(removed, 1);
    for (const row of this.matrix) row.splice(removed, 1);
    this.rightHandSide.splice(removed, 1);
    this.priors.splice(removed, 1);
    this.peerPriors.splice(removed, 1);
    this.isSolved = false;
    this.solve();
  }

  /**
   * Sets what is known about a known feature from elsewhere; it replaces what
   * was set before.
   */
  setPeerPrior(name: string, prior: Prior): void {
    this.peerPriors[this.indices.get(name)!] = prior;
    this.isSolved = false;
  }

  /**
   * Adds a sample; features that it doesn't name are 0. Earlier samples decay
   * in the named features only. Otherwise, a coefficient would return to its
   * prior merely because its feature is absent for a while.
   */
  addSample(features: ReadonlyMap<string, number>, value: number): void {
    this.decaySamples(features);
    for (const [a, x] of features) {
      const row = this.indices.get(a)!;
      this.rightHandSide[row] += x * value;
      for (const [b, y] of features) {
        this.matrix[row][this.indices.get(b)!] += x * y;
      }
    }
    this.isSolved = false;
  }

  /**
   * Scales down the normal matrix in the named features, and adjusts the
   * right-hand side so that the solution from the own samples doesn't change.
   */
  private decaySamples(features: ReadonlyMap<string, number>): void {
    const scale = new Array<number>(this.priors.length).fill(1);
    for (const name of features.keys()) {
      scale[this.indices.get(name)!] = Math.sqrt(this.decayFactor);
    }
    this.matrix.forEach((row, a) => {
      for (let b = 0; b < row.length; b++) {
        const decayed = row[b] * scale[a] * scale[b];
        const own = this.ownSolution[b] ?? 0;
        this.rightHandSide[a] += (decayed - row[b]) * own;
        row[b] = decayed;
      }
    });
  }

  /** Fitted coefficient of a feature; undefined if it has none yet. */
  coefficient(name: string): number | undefined {
    const index = this.indices.get(name);
    return index === undefined ? undefined : this.solution[index];
  }

  /** Decayed sum of squares of a feature's values; 0 for an unknown feature. */
  sumOfSquares(name: string): number {
    const index = this.indices.get(name);
    return index === undefined ? 0 : this.matrix[index][index];
  }

  /** Weight of what is known about a feature from elsewhere. */
  peerWeight(name: string): number {
    const index = this.indices.get(name);
    return index === undefined ? 0 : (this.peerPriors[index]?.weight ?? 0);
  }

  /** Names and coefficients that follow from the own samples alone. */
  *ownCoefficients(): Generator<[string, number]> {
    for (const [name, index] of this.indices) {
      const value = this.ownSolution[index];
      if (value !== undefined) yield [name, value];
    }
  }

  /** Names and coefficients of all fitted features. */
  *coefficients(): Generator<[string, number]> {
    for (const [name, index] of this.indices) {
      const value = this.solution[index];
      if (value !== undefined) yield [name, value];
    }
  }

  /** Fits the coefficients to the samples and priors. */
  solve(): void {
    if (this.isSolved) return;
    this.ownSolution = this.fit(this.priors);
    const hasPeers = this.peerPriors.some(prior => prior !== undefined);
    this.solution = hasPeers
      ? this.fit(this.priors, this.peerPriors)
      : this.ownSolution;
    this.isSolved = true;
  }

  /** Coefficients that fit the samples and several lists of priors. */
  private fit(...lists: readonly (readonly (Prior | undefined)[])[]): number[] {
    const rows = this.matrix.map((row, index) => {
      const copy = [...row, this.rightHandSide[index]];
      for (const priors of lists) {
        const {weight = 0, mean = 0} = priors[index] ?? {};
        copy[index] += weight;
        copy[row.length] += weight * mean;
      }
      return copy;
    });
    return solveLinearSystem(rows);
  }
}

/** Expected coefficient and its weight, as a sum of squares of the feature. */
export interface Prior {
  readonly mean: number;
  readonly weight: number;
}

/**
 * Solves a positive definite linear system by Gaussian elimination; the last
 * column of `rows` is the right-hand side.
 */
function solveLinearSystem(rows: number[][]): number[] {
  const size = rows.length;
  for (let pivot = 0; pivot < size; pivot++) {
    for (let row = pivot + 1; row < size; row++) {
      const factor = rows[row][pivot] / rows[pivot][pivot];
      if (factor === 0) continue;
      for (let column = pivot; column <= size; column++) {
        rows[row][column] -= factor * rows[pivot][column];
      }
    }
  }
  const solution = new Array<number>(size).fill(0);
  for (let row = size - 1; row >= 0; row--) {
    let value = rows[row][size];
    for (let column = row + 1; column < size; column++) {
      value -= rows[row][column] * solution[column];
    }
    solution[row] = value / rows[row][row];
  }
  return solution;
}
