/** Starts nodes with the command of the deploy file, on loopback addresses of their own, and records what happens. */
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, request as httpRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { Application, Engine } from './replica.mjs';
import { Store } from './store.mjs';

const ROOT = resolve(import.meta.dirname, '../..');
export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));
export const HOST = 'small.example';
/** Below the 120 s that a script may take. */
const LIMIT_MS = 115_000;

/** The program and arguments of the `run` line of the deploy file. */
function command() {
  const line = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8').match(/^run = "(.*)"$/m)[1];
  const [program, ...args] = line.split(' ');
  return { program: program === 'node' ? process.execPath : program, args };
}

/** A second part of the address that is likely to be free; each node has a last part of its own. */
const NET = `127.${10 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;

export class System {
  constructor(recordFile) {
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.out = createWriteStream(recordFile);
    this.lines = [];
    this.startedMs = performance.now();
    this.nodes = [];
    this.replicas = [];
    this.record = (fields) => {
      const entry = { at: Math.round(performance.now() - this.startedMs), ...fields };
      this.lines.push(entry);
      this.out.write(`${JSON.stringify(entry)}\n`);
      return entry;
    };
    this.store = new Store();
    // Whatever happens, nothing that was started outlasts the script.
    const giveUp = () => {
      for (const { child } of this.nodes) child.kill('SIGKILL');
      process.exit(2);
    };
    for (const name of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.on(name, giveUp);
    setTimeout(giveUp, LIMIT_MS).unref();
  }

  async startStore() {
    this.storeAddress = await this.store.listen('127.0.0.1');
  }

  async addApplication(options) {
    const replica = await new Application(this.store, this.record, options).start();
    this.replicas.push(replica);
    return replica;
  }

  async addEngine(options) {
    const replica = await new Engine(this.store, this.record, options).start();
    this.replicas.push(replica);
    return replica;
  }

  /** Starts a node; `index` gives its address. `storeAddress`: another way to the store, such as a proxy. */
  startNode(index, { name = `front-${index}`, zone = 'zone-a', storeAddress = this.storeAddress, settings = {} } = {}) {
    const ip = `${NET}.${index}`;
    const fields = {
      node: name, role: 'node', machineClass: 'front', serves: 'front', ip, zone, region: 'region-a',
      'zones.zone-a': 'region-a', 'zones.zone-b': 'region-a', 'zones.zone-c': 'region-a',
      'listen.front': `${ip}:18161`, 'listen.ready': `${ip}:18167`, 'listen.control': `${ip}:18166`,
      portRange: '17720,17735', seeds: `${NET}.1:18166`, bootstrap: 'true', inTolerance: 'false',
      'limits.cpuShare': '0.675', 'limits.cores': '2', 'limits.memoryMb': '380', 'limits.maxFds': '8200',
      'limits.linkMbps': '1000.0', 'limits.diskMb': '0', discovery: 'platform', entry: 'vip', heartbeatMs: '1200',
      contracts: 'base,drain,config,cost,recover,samples,stream,engine,batch,platform',
      'tolerate.machines': '1', 'tolerate.zones': '0', 'tolerate.regions': '0',
      'bounds.seedLagS': '3', 'bounds.reuseAfterS': '2', 'bounds.contactMs': '3000', 'bounds.ackMs': '4000',
      'bounds.catchUpS': '4.7', 'bounds.drainMs': '2000', 'bounds.graceS': '8', 'bounds.lossSlackMs': '200',
      'bounds.configApplyMs': '2000', 'bounds.rollbackSlackMs': '250', 'bounds.outerMs': '5000',
      'bounds.recoveryS': '12', 'bounds.passMs': '120', 'bounds.retryAfterS': '0', 'bounds.finishS': '10',
      'bounds.statusS': '120', 'bounds.cancelMs': '3000', 'bounds.settleMs': '1000', 'bounds.quotaOvershoot': '0.1',
      'bounds.requireFencing': 'false', 'bounds.leaseMs': '3000', 'bounds.thawSlackMs': '300',
      'platform.addr': storeAddress, 'platform.form': 'table', 'platform.writes_per_s': '800',
      'platform.reads_per_s': '2000', 'platform.tx_ms': '3.0', 'platform.part_writes_per_s': '300',
      'platform.row_bytes': '65536', 'platform.across': 'true', 'platform.historyS': '20',
      'platform.blob_bytes': '8388608', 'platform.blob_ms': '25.0', 'platform.blob_mb_per_s': '80.0',
      ...settings,
    };
    const file = join(this.folder, `${name}-${this.nodes.length}.conf`);
    writeFileSync(file, Object.entries(fields).map(([key, value]) => `${key}=${value}\n`).join(''));
    const { program, args } = command();
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', THYMECOVE_BOOT: file };
    const child = spawn(program, args, { cwd: ROOT, env, stdio: ['ignore', 'pipe', 'pipe'] });
    const log = createWriteStream(join(this.folder, `${name}-${this.nodes.length}.log`));
    child.stdout.pipe(log);
    child.stderr.pipe(log, { end: false });
    const node = { name, index, ip, child, front: { host: ip, port: 18161 }, ready: { host: ip, port: 18167 }, peer: { host: ip, port: 17720 } };
    child.once('exit', (code, signal) => {
      node.hasEnded = true;
      this.record({ event: 'node ended', node: name, code, signal });
    });
    this.record({ event: 'node started', node: name });
    this.nodes.push(node);
    return node;
  }

  async isReady(node) {
    const answer = await call({ ...node.ready, path: '/ready', timeoutMs: 1_000 });
    return answer.status === 200;
  }

  async untilReady(nodes, limitMs = 20_000) {
    const untilMs = performance.now() + limitMs;
    for (const node of nodes)
      while (!(await this.isReady(node))) {
        if (performance.now() > untilMs || node.hasEnded) throw new Error(`${node.name} is not ready`);
        await sleep(50);
      }
  }

  signal(node, name) {
    this.record({ event: 'signal', node: node.name, signal: name });
    node.child.kill(name);
  }

  /** Ends everything that was started. */
  async stop() {
    for (const { child, hasEnded } of this.nodes)
      if (!hasEnded) {
        child.kill('SIGCONT');
        child.kill('SIGKILL');
      }
    while (this.nodes.some(({ hasEnded }) => !hasEnded)) await sleep(20);
    for (const replica of this.replicas) replica.stop();
    this.store.close();
    await new Promise((done) => this.out.end(done));
    if (!process.env.KEEP_LOGS) rmSync(this.folder, { recursive: true, force: true });
  }
}

/** One HTTP call; `status` is 0 when the connection ended without a whole answer, and `error` says how. */
export function call({ host, port, method = 'GET', path, headers = {}, body, agent, timeoutMs = 5_000 }) {
  return new Promise((resolve) => {
    const startedMs = performance.now();
    const end = (fields) => resolve({ tookMs: Math.round(performance.now() - startedMs), ...fields });
    const request = httpRequest({ host, port, method, path, headers, agent: agent ?? new Agent({ keepAlive: false }) });
    const timer = setTimeout(() => {
      end({ status: 0, error: 'deadline' });
      request.destroy();
    }, timeoutMs);
    request.on('error', (cause) => {
      clearTimeout(timer);
      end({ status: 0, error: cause.code ?? cause.message, reused: request.reusedSocket });
    });
    request.on('response', (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', () => {});
      response.on('close', () => {
        clearTimeout(timer);
        const whole = response.complete;
        end({
          status: whole ? response.statusCode : 0, error: whole ? undefined : 'the answer was cut off',
          headers: response.headers, body: Buffer.concat(chunks), reused: request.reusedSocket,
        });
      });
    });
    request.end(body);
  });
}
