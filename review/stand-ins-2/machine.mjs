import {spawn} from 'node:child_process';
import {readFileSync, writeFileSync, createWriteStream} from 'node:fs';
import {join} from 'node:path';
import process from 'node:process';

/** Words of the `run` line of the deploy file. */
function runLine(root) {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  return /^run = "(.*)"$/m.exec(text)[1].split(' ');
}

/** A machine of the system: one process, started as the deploy file says. */
export class Machine {
  /** Decisions that it logged, as objects. */
  decisions = [];
  exits = [];

  /** @param options root, folder, name, host, zone, zones, ports, store, share */
  constructor(options) {
    Object.assign(this, options);
    const {front, ready, control, peers} = this.ports;
    this.front = `${this.host}:${front}`;
    this.ready = `${this.host}:${ready}`;
    const lines = [
      `node=${this.name}`,
      'role=entry',
      'machine-class=front',
      'serves=front',
      `ip=${this.host}`,
      `zone=${this.zone}`,
      'region=waikato',
      ...this.zones.map(zone => `zones.${zone}=waikato`),
      `listen.front=${this.front}`,
      `listen.ready=${this.ready}`,
      `listen.control=${this.host}:${control}`,
      `port-range=${peers},${peers + 15}`,
      'bootstrap=true',
      `limits.cpu-share=${this.share}`,
      'limits.cores=1',
      'limits.memory-mb=350',
      'limits.max-fds=4100',
      'discovery=platform',
      'entry=vip',
      'heartbeat-ms=1100',
      'contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing',
      'bounds.contact-ms=3000',
      'bounds.ack-ms=4000',
      'bounds.drain-ms=2000',
      'bounds.grace-s=6',
      'bounds.config-apply-ms=2000',
      'bounds.max-hold-ms=10000',
      'bounds.stop-ms=400',
      'bounds.gang-wait-ms=3000',
      'bounds.cancel_ms=3000',
      'bounds.visible_ms=3000',
      'bounds.early_ms=250',
      'bounds.finish_s=14',
      'bounds.status_s=120',
      'bounds.remote-factor=2',
      'control-mode=call',
      `platform.address=${this.store}`,
      'platform.form=log',
      'platform.writes-per-s=800',
      'platform.reads-per-s=2000',
      'platform.record-bytes=262144',
      'platform.call-bytes=2097152',
    ];
    this.settings = join(this.folder, `${this.name}.conf`);
    writeFileSync(this.settings, lines.join('\n') + '\n');
  }

  start() {
    const [program, ...words] = runLine(this.root);
    const log = createWriteStream(join(this.folder, `${this.name}.log`), {
      flags: 'a',
    });
    const child = spawn(
      program === 'node' ? process.execPath : program,
      words,
      {
        cwd: this.root,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          JASMINEGAUGE_SETTINGS: this.settings,
        },
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    this.child = child;
    let rest = '';
    child.stdout.on('data', data => {
      log.write(data);
      const lines = (rest + data).split('\n');
      rest = lines.pop();
      for (const line of lines) {
        try {
          this.decisions.push(JSON.parse(line));
        } catch {
          // Not a decision.
        }
      }
    });
    child.stderr.pipe(log, {end: false});
    child.once('exit', (code, signal) => this.exits.push(signal ?? code));
  }

  /** Whether it has begun a term as scheduler and not ended it. */
  get isScheduler() {
    const last = this.decisions.findLast(({decision}) =>
      ['term-begins', 'term-ends'].includes(decision),
    );
    return last?.decision === 'term-begins';
  }

  signal(name) {
    this.child?.kill(name);
  }
}
