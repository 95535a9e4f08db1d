import {createServer, AddressInfo} from 'node:net';

const HOST = '127.0.0.1';

/** Returns a loopback address whose port was free a moment ago. */
export async function freeAddress(): Promise<string> {
  const server = createServer();
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const {port} = server.address() as AddressInfo;
  await new Promise(resolve => server.close(resolve));
  return `${HOST}:${port}`;
}
