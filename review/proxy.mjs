// Forwards TCP connections to a loopback port. A cut is silent, as that of a
// partition: bytes are held back, and are lost if their sender goes meanwhile.
import {createServer, connect} from 'node:net';

export class Proxy {
  #links = new Set();
  #isCut = false;

  constructor(port) {
    this.server = createServer({allowHalfOpen: false}, caller =>
      this.#accept(caller, port),
    );
  }

  async listen() {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    return this.server.address().port;
  }

  close() {
    this.server.close();
    for (const link of this.#links) {
      link.caller.destroy();
      link.target?.destroy();
    }
  }

  cut() {
    this.#isCut = true;
    for (const {caller, target} of this.#links) {
      caller.pause();
      target?.pause();
    }
  }

  heal() {
    this.#isCut = false;
    for (const link of [...this.#links]) {
      if (link.isClosed) this.#drop(link);
      else if (link.target === undefined) link.connect();
      else {
        link.caller.resume();
        link.target.resume();
      }
    }
  }

  #drop(link) {
    this.#links.delete(link);
    link.caller.destroy();
    link.target?.destroy();
  }

  #accept(caller, port) {
    const link = {caller, target: undefined, isClosed: false};
    this.#links.add(link);
    const onClose = () => {
      link.isClosed = true;
      // The other side learns of it when the partition is over.
      if (!this.#isCut) this.#drop(link);
    };
    caller.on('error', () => {});
    caller.on('close', onClose);
    caller.pause();
    link.connect = () => {
      const target = connect(port, '127.0.0.1');
      link.target = target;
      target.on('error', () => {});
      target.on('close', onClose);
      caller.on('data', data => target.write(data));
      target.on('data', data => caller.write(data));
      caller.on('end', () => target.end());
      target.on('end', () => caller.end());
      caller.resume();
    };
    if (!this.#isCut) link.connect();
  }
}
