import {SeedFigures} from './policy.js';

/** A target of the project, as a ratio between runs of one seed. */
export interface Target {
  readonly name: string;
  readonly bound: string;
  readonly figure: (runs: SeedFigures) => number;
  readonly reached: (figure: number) => boolean;
}

/** The baseline that learns nothing from measured sizes: `first-fit …`. */
const NO_LEARNING = 'first-fit on declared sizes';

export const TARGETS: readonly Target[] = [
  {
    name: 'service p99 against no-batch',
    bound: 'at most 1.15',
    figure: ({combinations}) =>
      combinations.default.p99Ms / combinations['no-batch'].p99Ms,
    reached: figure => figure <= 1.15,
  },
  {
    name: 'batch throughput against oracle',
    bound: 'at least 0.9',
    figure: ({combinations}) =>
      combinations.default.batchThroughput /
      combinations.oracle.batchThroughput,
    reached: figure => figure >= 0.9,
  },
  {
    name: `evictions of ${NO_LEARNING} against default`,
    bound: 'at least 5',
    figure: ({combinations}) =>
      combinations[NO_LEARNING].evictions / combinations.default.evictions,
    reached: figure => figure >= 5,
  },
  {
    name: 'goodput at load 2 against its peak',
    bound: 'at least 0.9',
    figure: ({loads}) => {
      const twice = loads.find(({load}) => load === 2)!;
      const peak = Math.max(...loads.map(({figures}) => figures.goodput));
      return twice.figures.goodput / peak;
    },
    reached: figure => figure >= 0.9,
  },
  ...['refused', 'broken'].map(outage => ({
    name: `attempts for each request in a total outage, ${outage}`,
    bound: 'at most 1.1',
    figure: ({attempts}: SeedFigures) => attempts[outage],
    reached: (figure: number) => figure <= 1.1,
  })),
];
