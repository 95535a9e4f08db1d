// Starts the program of the deploy file as separate processes on loopback
// addresses, and calls its API.
import {spawn} from 'node:child_process';
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..');

/** The words of the `run` line of the deploy file. */
function runWords() {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const run = /^run\s*=\s*"([^"]*)"/m.exec(text);
  if (run === null) throw new Error('The deploy file has no run line.');
  return run[1].split(' ');
}

export function newHostPrefix() {
  const random = Math.floor(Math.random() * 250);
  return `127.${1 + (process.pid % 250)}.${1 + random}`;
}

export class Front {
  constructor(name, host, storePort, directory) {
    this.name = name;
    this.host = host;
    this.directory = directory;
    this.settings = join(directory, `${name}.conf`);
    writeFileSync(
      this.settings,
      [
        `node=${name}`,
        'role=entry',
        'machine-class=front',
        'serves=front',
        `ip=${host}`,
        'zone=zone-a',
        'region=region-a',
        'zones.zone-a=region-a',
        `listen.front=${host}:8161`,
        `listen.ready=${host}:8167`,
        'port-range=7720,7735',
        'bootstrap=true',
        'limits.cpu-share=0.675',
        'limits.cores=1',
        'limits.memory-mb=350',
        'limits.max-fds=4100',
        'discovery=platform',
        'entry=vip',
        'heartbeat-ms=1100',
        'contracts=base,drain,config,cost,recover,sched,platform',
        'bounds.contact-ms=3000',
        'bounds.ack-ms=4000',
        'bounds.drain-ms=2000',
        'bounds.grace-s=6',
        'bounds.max-hold-ms=10000',
        'bounds.stop-ms=400',
        'bounds.cancel_ms=3000',
        'bounds.visible_ms=3000',
        'bounds.early_ms=250',
        'bounds.finish_s=14',
        'bounds.status_s=120',
        'bounds.remote-factor=2',
        'bounds.lease-ms=3000',
        'bounds.enforce-fencing=false',
        'control-mode=call',
        `platform.address=127.0.0.1:${storePort}`,
        'platform.form=log',
        'platform.writes-per-s=800',
        'platform.reads-per-s=2000',
        'platform.record-bytes=262144',
        'platform.call-bytes=2097152',
        'platform.keep_s=300',
      ].join('\n') + '\n',
    );
  }

  start() {
    const [program, ...words] = runWords();
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        JASMINEGAUGE_SETTINGS: this.settings,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const output = createWriteStream(join(this.directory, `${this.name}.log`), {
      flags: 'a',
    });
    child.stdout.on('data', data => output.write(data));
    child.stderr.on('data', data => output.write(data));
    this.child = child;
    this.hasExited = new Promise(resolve => child.once('exit', resolve));
  }

  kill(signal) {
    this.child?.kill(signal);
  }

  /** Resolves to the status and the body; status 0 without an answer. */
  call(method, path, body, {port = 8161, timeoutMs = 3000} = {}) {
    return new Promise(resolve => {
      const call = request(
        {
          host: this.host,
          port,
          method,
          path,
          agent: false,
          headers: {
            host: 'desk.example',
            'content-type': 'application/json',
            'deadline-ms': '3000',
          },
        },
        response => {
          let text = '';
          response.setEncoding('utf8');
          response.on('data', data => (text += data));
          response.on('end', () => {
            let fields = {};
            try {
              fields = JSON.parse(text);
            } catch {
              // Not every answer has a body.
            }
            resolve({status: response.statusCode, body: fields});
          });
          response.on('error', () => resolve({status: 0, body: {}}));
        },
      );
      call.setTimeout(timeoutMs, () => call.destroy(new Error('no answer')));
      call.on('error', () => resolve({status: 0, body: {}}));
      call.end(body === undefined ? undefined : JSON.stringify(body));
    });
  }
}

export function newDirectory() {
  return mkdtempSync(join(tmpdir(), 'review-'));
}
