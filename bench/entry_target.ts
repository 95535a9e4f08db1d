import {createServer} from 'node:http';
import {AddressInfo} from 'node:net';

/** Targets that this process stands in for. */
const TARGETS = 4;

/** Size of each answer in bytes. */
const ANSWER_BYTES = 256;

const ANSWER = Buffer.alloc(ANSWER_BYTES, 'a');

/** Starts a target that answers at once; resolves with its port. */
function start(): Promise<number> {
  const server = createServer((request, response) => {
    request.resume();
    request.once('end', () => {
      response.writeHead(200, {'content-length': ANSWER_BYTES});
      response.end(ANSWER);
    });
  });
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}

process.once('disconnect', () => process.exit());
const ports = await Promise.all(Array.from({length: TARGETS}, start));
process.send?.(ports);
