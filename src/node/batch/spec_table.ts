/** Specs of a frame; each is sent once, as all starts of a job share one. */
export class SpecTable {
  /** Index of each spec, in ascending order. */
  private readonly indices = new Map<string, number>();

  get all(): readonly string[] {
    return [...this.indices.keys()];
  }

  /** Index of a spec, which is added if it is new. */
  indexOf(spec: string): number {
    const known = this.indices.get(spec);
    if (known !== undefined) return known;
    const index = this.indices.size;
    this.indices.set(spec, index);
    return index;
  }
}
