import {Instance} from '../src/common/base/platform.js';
import {JsonServer, readJson, sendJson} from '../src/node/json_server.js';

/** Injected faults, set by a test or by `PUT /faults`. */
export interface ListFaults {
  /** Reads of the list get 503. */
  down: boolean;
  /** Reads get a list without instances. */
  empty: boolean;
  /** Reads get the list as it was this many milliseconds ago. */
  lagMs: number;
}

/** The list as it was from `timeMs` on. */
interface ListVersion {
  readonly timeMs: number;
  readonly version: number;
  readonly instances: readonly Instance[];
}

const MAX_BODY_BYTES = 1024 * 1024;

/**
 * Fake of the platform's instance list. `PUT /instances/{id}` adds or replaces
 * an instance, `DELETE /instances/{id}` removes it, `PUT /faults` sets faults.
 */
export class FakeInstanceList {
  private readonly instances = new Map<string, Instance>();
  private history: ListVersion[] = [{timeMs: 0, version: 0, instances: []}];
  private readonly server = new JsonServer();
  readonly faults: ListFaults = {down: false, empty: false, lagMs: 0};

  constructor() {
    this.server
      .route('GET', '/instances', exchange => {
        if (this.faults.down) {
          sendJson(exchange.response, 503, {error: 'down'});
          return;
        }
        sendJson(exchange.response, 200, this.visibleList());
      })
      .route('PUT', '/instances/{id}', async exchange => {
        const body = await readJson(exchange, MAX_BODY_BYTES);
        this.put({...(body as Instance), id: exchange.parameters.id});
        sendJson(exchange.response, 200, {});
      })
      .route('DELETE', '/instances/{id}', exchange => {
        this.remove(exchange.parameters.id);
        sendJson(exchange.response, 200, {});
      })
      .route('PUT', '/faults', async exchange => {
        const body = await readJson(exchange, MAX_BODY_BYTES);
        Object.assign(this.faults, body);
        sendJson(exchange.response, 200, this.faults);
      });
  }

  /** Starts to listen; resolves with the port. */
  listen(port: number, host = '127.0.0.1'): Promise<number> {
    return this.server.listen(port, host);
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await this.server.close();
  }

  /** Adds an instance, or replaces the one with its id. */
  put(instance: Instance): void {
    this.instances.set(instance.id, instance);
    this.addVersion();
  }

  remove(id: string): void {
    this.instances.delete(id);
    this.addVersion();
  }

  private addVersion(): void {
    const latest = this.history[this.history.length - 1];
    this.history.push({
      timeMs: Date.now(),
      version: latest.version + 1,
      instances: [...this.instances.values()],
    });
    this.history = this.history.slice(-1000);
  }

  /** The newest version that is at least `lagMs` old. */
  private visibleList() {
    const visibleMs = Date.now() - this.faults.lagMs;
    const latest =
      this.history.filter(version => version.timeMs <= visibleMs).pop() ??
      this.history[0];
    return {
      version: latest.version,
      instances: this.faults.empty ? [] : latest.instances,
    };
  }
}
