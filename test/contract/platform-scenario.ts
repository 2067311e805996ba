/**
 * A played day of two nodes that serve the platform: lookups, refusals, a batch job, a drained replica, an order, a replica that
 * ends under a request, a node that the store does not serve. What goes over the wire and into the store is surveyed.
 */
import type { ReplicaServer } from '../../emulator/replica/replica-server.js';
import type { Transaction } from '../../emulator/store/row-store.js';
import { job } from '../support/jobs.js';
import { kill, LOOKUP_PATH, type ServiceNodeProcess, ServiceSystem } from '../support/service-system.js';
import { bearing, tenantConfiguration } from '../support/tenants.js';
import { until } from '../support/wait.js';
import { jsonOf, normal, Relay, RequestRecorder, Survey } from './recorder.js';

export const KEY = 'large-key-1';
export const SERVING_NODES = 'serving-nodes';
export const FATAL_BODY = 'ends whoever runs it';
const FORWARDED_CALLS = ['submit', 'read', 'item', 'end'];
/** Tables that stand-ins of the platform write. */
const FOREIGN_TABLES = ['op', 'servers'];
const MORE_THAN_SLOTS = 12;

interface Announcement {
  address: string;
  peerAddress: string;
}

/** Reads and changes the JSON value of a row that is about to be written. */
function changeValue(write: { value: string }, change: (value: Announcement) => void): void {
  const value = jsonOf(Buffer.from(write.value, 'base64')) as Announcement;
  change(value);
  write.value = Buffer.from(JSON.stringify(value)).toString('base64');
}

/** The played day. */
export class PlatformScenario {
  readonly rows = new Survey();
  readonly wire = new Survey();
  readonly answers = new Survey();
  /** Text of the metrics. */
  metrics = '';
  /** Bytes of the operator's row as a node gives them to another. */
  configuration: { readonly fromPeer: string; readonly inStore: unknown } | undefined;
  system!: ServiceSystem;
  nodes: ServiceNodeProcess[] = [];
  private readonly recorder = new RequestRecorder();
  private readonly roles = new Map<number, string>();
  private readonly relays = new Map<string, { caller: Relay; peer: Relay }>();

  async play(): Promise<void> {
    await this.start();
    const [first, second] = this.nodes as [ServiceNodeProcess, ServiceNodeProcess];
    await this.playLookups(first, second);
    await this.playJob(first);
    await this.playChanges(first);
    await this.playHandWritten();
    await this.playCutOff(second);
    this.metrics = await (await fetch(first.metricsUrl)).text();
    await kill(first, 'SIGTERM');
    this.survey();
  }

  async stop(): Promise<void> {
    this.recorder.stop();
    for (const { caller, peer } of this.relays.values()) {
      caller.stop();
      peer.stop();
    }
    await this.system?.stop();
  }

  /** Log lines of all nodes. */
  get log() {
    return this.nodes.flatMap(({ log }) => log);
  }

  private async start(): Promise<void> {
    this.recorder.start();
    this.system = await ServiceSystem.start();
    const { system } = this;
    system.configure(tenantConfiguration(2));
    system.trainer.key = KEY;
    await system.reportUsage(1_000, 2_000);
    for (const name of ['node-1', 'node-2']) {
      const [caller, peer] = await Promise.all([Relay.start(), Relay.start()]);
      this.relays.set(name, { caller, peer });
      this.roles.set(caller.port, 'node').set(peer.port, 'peer');
    }
    system.store.onTransaction = (transaction) => this.observe(transaction);
    this.roles.set(Number(system.address.split(':')[1]), 'store');
    await this.noteReplica(system.addApplication({ slots: 1 }), 'application');
    await this.noteReplica(system.addEngine({ events: 20, workMs: 30 }), 'engine');
    for (const name of ['node-1', 'node-2']) this.nodes.push(await system.addNode(name));
    for (const node of this.nodes) await system.untilReady(node);
    await until('the nodes know each other', () =>
      this.nodes.every(({ log }) =>
        log.some(({ context }) => context.subject === 'peers' && context.change === '1 known'),
      ),
    );
  }

  private async noteReplica(adding: Promise<ReplicaServer>, role: string): Promise<ReplicaServer> {
    const replica = await adding;
    this.roles.set(Number(replica.address.split(':')[1]), role);
    return replica;
  }

  /** Surveys what is written, and puts relays before the nodes. */
  private observe(transaction: Transaction): void {
    for (const write of transaction.put ?? []) {
      if (FOREIGN_TABLES.includes(write.table)) continue;
      const name = `${write.table} ${normal(write.part ?? '')} ${normal(write.key)}`;
      const value = jsonOf(Buffer.from(write.value, 'base64'));
      this.rows.add(typeof value === 'string' ? `${name} ${normal(value)}` : name, value);
      const relays = write.table === SERVING_NODES ? this.relays.get(write.key) : undefined;
      if (!relays) continue;
      changeValue(write, (announced) => {
        relays.caller.target = announced.address;
        relays.peer.target = announced.peerAddress;
        announced.address = `127.0.0.1:${relays.caller.port}`;
        announced.peerAddress = `127.0.0.1:${relays.peer.port}`;
      });
    }
  }

  /** Lookups through both nodes until one has given a request to the other; refusals. */
  private async playLookups(first: ServiceNodeProcess, second: ServiceNodeProcess): Promise<void> {
    const { system } = this;
    let count = 0;
    const lookup = async (node: ServiceNodeProcess, key = KEY, path = `${LOOKUP_PATH}x`) => {
      count += 1;
      const headers = { ...bearing(key), 'request-priority': '1' };
      const answer = await system.lookup(node, `request-${count}`, headers, path);
      const { status = 0, headers: answered, body } = answer ?? {};
      this.answers.add(`POST ${normal(path)} ${status}`, { headers: answered, body: body && jsonOf(body) });
      return status;
    };
    await until('a request was given to the other node', async () => {
      for (const node of [first, second]) await lookup(node);
      return this.recorder.requests.some(({ path }) => path === '/dispatch');
    });
    await lookup(first, 'no-such-key');
    await lookup(first, KEY, '/unknown/x');
    const application = system.replicas[0] as ReplicaServer;
    application.workMs = 1_500;
    await Promise.all(
      Array.from({ length: MORE_THAN_SLOTS }, (_, index) => lookup(index % 2 ? first : second)),
    );
    application.workMs = 5;
    await until('a request was refused', () => this.log.some(({ message }) => message === 'request-refused'));
  }

  private async playJob(node: ServiceNodeProcess): Promise<void> {
    const { system } = this;
    await system.trainer.submit(node.url, job('job-1'));
    await system.trainer.readAll([node.url], 'job-1', 6);
    const call = async (method: string, path: string) => {
      const answer = await system.http.exchange({
        method,
        url: `${node.url}${path}`,
        headers: { host: 'service.example', ...bearing(KEY) },
        totalTimeoutMs: 10_000,
      });
      const { status, headers, body } = answer._unsafeUnwrap();
      const name = `${method} ${normal(path)} ${status}`;
      this.answers.add(name, { headers, body: jsonOf(body) });
    };
    await call('GET', '/lots/job-1?afterRev=0');
    await call('GET', '/items/job-1?id=job-1-item-0');
    await call('GET', '/lots/unknown?afterRev=0');
    await call('DELETE', '/lots/job-1');
  }

  /** An order, a drained replica, settings that are read again, a report of usage. */
  private async playChanges(node: ServiceNodeProcess): Promise<void> {
    const { system } = this;
    const engine = system.replicas[1] as ReplicaServer;
    system.nameVersion(2);
    await until('an order was given', () => engine.orders.length > 0);
    const drained = await this.noteReplica(system.addApplication({ slots: 1 }), 'application');
    drained.announce('draining');
    const logged = (change: string) =>
      until(change, () => node.log.some(({ context }) => context.change === change));
    await logged('draining');
    node.child.kill('SIGHUP');
    await logged('settings read again');
    await until('usage was reported', () => system.usage.reports.some(({ counts }) => counts.large));
  }

  /** Messages between nodes, written by hand with the names of fields that nodes use. */
  private async playHandWritten(): Promise<void> {
    const call = async (path: string, init: RequestInit = {}) => {
      const { peerAddress } = this.system.store.rows.read<Announcement>(
        SERVING_NODES,
        'node-1',
      ) as Announcement;
      const answer = await fetch(`http://${peerAddress}${path}`, init);
      return { status: answer.status, text: await answer.text() };
    };
    const message = {
      service: 'application',
      workKind: 'lookup',
      id: 'hand-written',
      method: 'POST',
      path: `${LOOKUP_PATH}x`,
      host: 'service.example',
      headers: { 'request-id': 'hand-written' },
      tenant: 'large',
      rank: 1,
      party: 'large',
      isPatient: false,
      isExtra: false,
      isRetry: false,
      aimMs: 1_000,
      leftMs: 2_000,
      excluded: [],
      configVersion: 2,
      isServed: true,
    };
    const dispatched = await call('/dispatch', {
      method: 'POST',
      body: `${JSON.stringify(message)}\nquestion`,
    });
    const [line = '', body] = dispatched.text.split('\n');
    this.answers.add(`hand-written dispatch ${dispatched.status}`, { outcome: JSON.parse(line), body });
    const configuration = await call('/configuration?newer-than=1');
    this.configuration = {
      fromPeer: configuration.text,
      inStore: this.system.store.rows.read('op', 'config'),
    };
    for (const version of [1, 2])
      this.answers.add(`configuration after ${version}`, {
        status: (await call(`/configuration?newer-than=${version}`)).status,
      });
    const reports = [{ key: 'a-digest/replica-9', value: '127.0.0.1:9\n12345' }];
    const headers = { 'content-type': 'application/json' };
    const told = await call('/fatal-runs', { method: 'POST', headers, body: JSON.stringify({ reports }) });
    this.answers.add(`hand-written fatal-runs ${told.status}`, JSON.parse(told.text));
    const again = await call('/fatal-runs', {
      method: 'POST',
      headers,
      body: JSON.stringify({ reports: [] }),
    });
    this.answers.add(`hand-written fatal-runs again ${again.status}`, JSON.parse(again.text));
    const wrong = await call('/fatal-runs', { method: 'POST', headers, body: '{}' });
    this.answers.add('wrong fatal-runs', { status: wrong.status, body: JSON.parse(wrong.text) });
  }

  /** A node that the store does not serve asks another one, passes calls on, and tells of a replica that ended. */
  private async playCutOff(cut: ServiceNodeProcess): Promise<void> {
    const { system } = this;
    cut.proxy.set('cut');
    await until('the store is out of reach', async () => (await system.status(cut.readyUrl)) === 503);
    const passedOn = (call: string) => () =>
      cut.log.some(({ message, context }) => message === 'job-call-passed-on' && context.call === call);
    const submitted = job('job-2', { groups: 1 });
    await system.trainer.submit(cut.url, submitted);
    await system.trainer.read(cut.url, 'job-2', 0);
    await system.trainer.item(cut.url, 'job-2', 'job-2-item-0');
    await system.trainer.readAll([cut.url], 'job-2', 2);
    await system.trainer.end(cut.url, 'job-2');
    for (const call of FORWARDED_CALLS) await until(`the call ${call} is passed on`, passedOn(call));
    const application = system.replicas[0] as ReplicaServer;
    application.fatalPrefix = FATAL_BODY;
    await system.lookup(cut, 'fatal-1', bearing(KEY), `${LOOKUP_PATH}x`, FATAL_BODY);
    await until('it was told to the other node', () =>
      this.recorder.requests.some(
        ({ path, chunks }) => path === '/fatal-runs' && Buffer.concat(chunks).includes(application.id),
      ),
    );
    await until(
      'it is in the store',
      () => system.store.rows.scan('jobs', 'fatal-runs', '', undefined).length > 1,
    );
  }

  private survey(): void {
    for (const { port, method, path, headers, chunks } of this.recorder.requests) {
      const role = this.roles.get(port);
      // Requests of a test have this field, those of nodes don't.
      if (role === undefined || headers['user-agent'] !== undefined) continue;
      const url = new URL(path, 'http://stand-in');
      const query = Object.fromEntries(url.searchParams);
      const table = query.table === undefined ? '' : ` of ${query.table}`;
      const bytes = Buffer.concat(chunks);
      const end = bytes.indexOf('\n');
      const body =
        url.pathname === '/dispatch'
          ? { message: jsonOf(bytes.subarray(0, end)), body: jsonOf(bytes.subarray(end + 1)) }
          : jsonOf(bytes);
      this.wire.add(`${role} ${method} ${normal(url.pathname)}${table}`, { headers, query, body });
    }
    for (const [, { caller, peer }] of this.relays)
      for (const { path, status, body } of [...caller.answers, ...peer.answers]) {
        const name = `${normal(path)} ${status}`;
        const [line = '', ...rest] = body.toString('utf8').split('\n');
        const value =
          path === '/dispatch' ? { outcome: JSON.parse(line), body: rest.join('\n') } : jsonOf(body);
        this.wire.add(`answer ${name}`, value);
      }
  }
}
