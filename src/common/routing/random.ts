import {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

/** Random numbers for routing, drawn from an injected generator. */
export class Random {
  constructor(private readonly generator: RandomGenerator) {}

  /** Returns an integer in [0, `bound`); `bound` is at least 1. */
  nextInt(bound: number): number {
    return bound <= 1 ? 0 : uniformInt(this.generator, 0, bound - 1);
  }

  /** Returns true with the given probability, from 0 to 1. */
  nextBoolean(probability: number): boolean {
    return uniformFloat64(this.generator) < probability;
  }
}
