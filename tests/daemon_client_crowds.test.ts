import {setTimeout as sleep} from 'node:timers/promises';
import {
  ClientCrowd,
  CrowdClient,
  silentConnection,
  unfinishedMessage,
  unfinishedUpload,
  unreadRequests,
} from '../platform/testing/client_crowd.js';
import {MEMORY_MB} from '../platform/testing/crowd_deployment.js';
import {ProcessUsageWatch} from '../platform/testing/process_usage_watch.js';
import {Deployment, Entry} from '../test_support/deployment.js';
import {call} from '../test_support/http.js';
import {startDeployment} from './support.js';

const HEAP_FLAGS = ['--max-old-space-size=90', '--max-semi-space-size=4'];

/** Bytes of bodies that a server of the daemon holds. */
const MAX_HELD_BODY_BYTES = 8_000_000;

/** Time for which a crowd stays before the ordinary request is sent. */
const CROWD_TIME_MS = 5000;

const TEST_TIMEOUT_MS = 120_000;

const JOBS_PATH = '/v1/jobs';
const SERVICE_PATH = '/v1/services/order-desk/cut';
const TICKETS_PATH = '/v1/tickets';

function repeat(count: number, client: CrowdClient): CrowdClient[] {
  return Array.from({length: count}, () => client);
}

function portOf(url: string): number {
  return Number(new URL(url).port);
}

/** Crowds by what their clients do, and the port that they use. */
const CROWDS: ReadonlyArray<
  readonly [
    name: string,
    port: (entry: Entry) => number,
    clients: readonly CrowdClient[],
  ]
> = [
  [
    'jobs that stop short',
    ({callerUrl}) => portOf(callerUrl),
    repeat(300, unfinishedUpload(900_000, 16_000, JOBS_PATH)),
  ],
  [
    'requests of a service that stop short in small chunks',
    ({callerUrl}) => portOf(callerUrl),
    repeat(200, unfinishedUpload(240_000, 1, SERVICE_PATH)),
  ],
  [
    'requests sent ahead whose responses are not read',
    ({callerUrl}) => portOf(callerUrl),
    repeat(200, unreadRequests(10_000, '/ready')),
  ],
  [
    'tickets that stop short, at the port for operators',
    ({operatorUrl}) => portOf(operatorUrl),
    repeat(300, unfinishedUpload(900_000, 16_000, TICKETS_PATH)),
  ],
  [
    'requests sent ahead and silent connections, at the port for peers',
    ({peerPort}) => peerPort,
    [
      ...repeat(300, silentConnection()),
      ...repeat(200, unreadRequests(10_000, '/')),
    ],
  ],
  [
    'messages that stop short, at the port for peers',
    ({peerPort}) => peerPort,
    repeat(300, unfinishedMessage(900_000)),
  ],
];

describe('a daemon stays within its memory and serves an ordinary caller', () => {
  let deployment: Deployment;

  beforeEach(async () => {
    deployment = await startDeployment({
      entriesPerDataCentre: 1,
      nodeArguments: HEAP_FLAGS,
      settings: {limits: {maxHeldBodyBytes: MAX_HELD_BODY_BYTES}},
    });
  });

  afterEach(() => deployment.stop());

  it.each(CROWDS)(
    'beside a crowd with %s',
    async (_name, port, clients) => {
      // Such clients ended the process or kept others from an answer.
      const [entry] = deployment.entries;
      const watch = new ProcessUsageWatch(entry.process?.pid ?? 0);
      const crowd = new ClientCrowd('127.0.0.1', port(entry));
      await crowd.join(clients);
      await sleep(CROWD_TIME_MS);
      const status = await call(`${entry.callerUrl}${SERVICE_PATH}`, {
        method: 'POST',
        body: {panels: 1},
        headers: {'x-idempotent': 'true'},
      }).then(
        answer => answer.status,
        () => 0,
      );
      watch.stop();
      crowd.leave();
      const {isAlive, maxResidentMb} = watch;
      process.stderr.write(
        `daemon: ${Math.round(maxResidentMb)} MB, alive ${isAlive}\n`,
      );
      expect(isAlive).toBe(true);
      expect(maxResidentMb).toBeLessThanOrEqual(MEMORY_MB);
      expect(status).toBe(200);
    },
    TEST_TIMEOUT_MS,
  );
});
