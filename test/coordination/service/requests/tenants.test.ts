/** Authentication of tenants by API key, ownership of jobs, and propagation of key changes to all nodes. */
import { expect } from 'chai';
import type { ReplicaServer } from '../../../../emulator/replica/replica-server.js';
import { HEADER } from '../../../../platform/names.js';
import {
  HOST,
  JOB_PATH,
  MODEL,
  SCORING_PATH,
  type ServiceNodeProcess,
  ServiceSystem,
  usualConfiguration,
} from '../../../support/service-system.js';
import { bearing, LARGE, SMALL, tenantConfiguration } from '../../../support/tenants.js';
import { until } from '../../../support/wait.js';

const UNAUTHORIZED = 401;
/** Time within which a key change must apply on every node that is reachable by other nodes. */
const KEY_CHANGE_BOUND_MS = 3_000;
const JOB = { host: HOST, path: JOB_PATH, model: MODEL, minVersion: 1, groups: 1, groupSize: 2 };

describe('tenant authentication', () => {
  let system: ServiceSystem;
  let application: ReplicaServer;

  beforeEach(async () => {
    system = await ServiceSystem.start();
    system.configure(tenantConfiguration(2));
    application = await system.addApplication();
  });

  afterEach(() => system.stop());

  async function startNode(name: string): Promise<ServiceNodeProcess> {
    const node = await system.addNode(name);
    await system.untilReady(node);
    return node;
  }

  it('identifies tenants to the replica by their key alone, and neither forwards nor logs the key', async () => {
    const node = await startNode('node-1');
    const headers = { ...bearing('large-key-2'), [HEADER.tenant]: 'small' };
    expect((await system.lookup(node, 'request-1', headers))?.status).to.equal(200);
    expect(application.received).to.have.length(1);
    expect(application.received[0]?.tenant).to.equal(LARGE.name);
    expect(application.received[0]?.authorization).to.equal(undefined);
    expect(JSON.stringify(node.log)).to.not.contain('large-key-2');
  });

  it('requires a valid key, except on public routes', async () => {
    const node = await startNode('node-1');
    expect((await system.lookup(node, 'request-1'))?.status).to.equal(UNAUTHORIZED);
    const unknown = await system.lookup(node, 'request-2', bearing('nobody-has-this'));
    expect(unknown?.status).to.equal(UNAUTHORIZED);
    expect(unknown?.headers['www-authenticate']).to.equal('Bearer');
    expect((await system.lookup(node, 'request-3', { authorization: 'Basic bGFyZ2U=' }))?.status).to.equal(
      UNAUTHORIZED,
    );
    expect(application.received).to.have.length(0);
    const spoofedHeaders = { authorization: 'Bearer nobody-has-this', [HEADER.tenant]: 'large' };
    expect((await system.lookup(node, 'request-4', spoofedHeaders, `${SCORING_PATH}x`))?.status).to.equal(
      200,
    );
    expect(application.received[0]?.tenant).to.equal(undefined);
    expect(application.received[0]?.authorization).to.equal(undefined);
    expect(JSON.stringify(node.log)).to.not.contain('nobody-has-this');
  });

  it('requires no key if the configuration has no tenants, and forwards the authorization header', async () => {
    system.configure(usualConfiguration(3));
    const node = await startNode('node-1');
    expect((await system.lookup(node, 'request-1', bearing('own')))?.status).to.equal(200);
    expect(application.received[0]?.authorization).to.equal('Bearer own');
  });

  it('answers 503 instead of 401 on a node without a configuration', async () => {
    system.store.mode = 'silent';
    const node = await system.addNode('node-1');
    expect((await system.lookup(node, 'request-1', bearing('large-key-1')))?.status).to.equal(503);
    expect((await system.lookup(node, 'request-2', bearing('unknown')))?.status).to.equal(503);
  });

  it('adds and revokes keys with each configuration, including the last key', async () => {
    const node = await startNode('node-1');
    expect((await system.lookup(node, 'request-1', bearing('small-key-1')))?.status).to.equal(200);
    system.configure(tenantConfiguration(3, [LARGE, { ...SMALL, apiKeys: [] }]));
    await until('the last key is revoked', async () => {
      const answer = await system.lookup(node, 'request-2', bearing('small-key-1'));
      return answer?.status === UNAUTHORIZED;
    });
    system.configure(tenantConfiguration(4, [LARGE, { ...SMALL, apiKeys: ['small-key-2'] }]));
    await until('the new key is accepted', async () => {
      const answer = await system.lookup(node, 'request-3', bearing('small-key-2'));
      return answer?.status === 200;
    });
    expect((await system.lookup(node, 'request-4', bearing('small-key-1')))?.status).to.equal(UNAUTHORIZED);
  });

  it('revokes a key through another node on a node without access to the store, and permanently', async () => {
    const connectedNode = await startNode('node-1');
    const rejectedNode = await startNode('node-2');
    await until('the nodes know each other', () =>
      rejectedNode.log.some(({ context }) => context.subject === 'peers' && context.change === '1 known'),
    );
    rejectedNode.proxy.set('cut');
    system.configure(tenantConfiguration(3, [{ ...LARGE, apiKeys: ['large-key-2'] }, SMALL]));
    const changedAt = performance.now();
    await until('the key is rejected', async () => {
      const answer = await system.lookup(rejectedNode, 'request-1', bearing('large-key-1'));
      return answer?.status === UNAUTHORIZED;
    });
    expect(performance.now() - changedAt).to.be.lessThan(KEY_CHANGE_BOUND_MS);
    expect((await system.lookup(rejectedNode, 'request-2', bearing('large-key-2')))?.status).to.equal(200);
    expect((await system.lookup(connectedNode, 'request-3', bearing('large-key-1')))?.status).to.equal(
      UNAUTHORIZED,
    );
    rejectedNode.proxy.set('pass');
    await system.untilReady(rejectedNode);
    expect((await system.lookup(rejectedNode, 'request-4', bearing('large-key-1')))?.status).to.equal(
      UNAUTHORIZED,
    );
  });

  it('answers 503 for an unknown key while neither the store nor another node is reachable', async () => {
    const node = await startNode('node-1');
    node.proxy.set('cut');
    await until('the node has lost the store', async () => {
      const answer = await system.lookup(node, 'request-1', bearing('added-meanwhile'));
      return answer?.status === 503 && Number(answer.headers['retry-after']) > 0;
    });
    expect((await system.lookup(node, 'request-2', bearing('large-key-1')))?.status).to.equal(200);
  });

  describe('job ownership', () => {
    let nodes: string[];
    let engine: ReplicaServer;

    beforeEach(async () => {
      engine = await system.addEngine();
      const started = await Promise.all([startNode('node-1'), startNode('node-2')]);
      nodes = started.map(({ url }) => url);
      system.trainer.key = 'large-key-1';
    });

    it('allows access with another key of the tenant after the first one was revoked', async () => {
      const job = { ...JOB, id: 'job-1', scoringPath: `${SCORING_PATH}x` };
      expect(await system.trainer.submit(nodes[0] as string, job)).to.equal(202);
      system.configure(tenantConfiguration(3, [{ ...LARGE, apiKeys: ['large-key-2'] }, SMALL]));
      system.trainer.key = 'large-key-2';
      const results = await system.trainer.readAll(nodes, job.id, 2);
      expect(results.map(({ state }) => state)).to.deep.equal(['completed', 'completed']);
      expect(engine.received.map(({ tenant }) => tenant)).to.deep.equal([LARGE.name, LARGE.name]);
      expect(application.received.every(({ tenant }) => tenant === undefined)).to.equal(true);
      expect(await system.trainer.end(nodes[1] as string, job.id)).to.equal(200);
      expect(await system.trainer.end(nodes[0] as string, job.id)).to.equal(200);
    });

    it('hides the jobs of a tenant from other tenants', async () => {
      engine.workMs = 300;
      const job = { ...JOB, id: 'job-1' };
      expect(await system.trainer.submit(nodes[0] as string, job)).to.equal(202);
      system.trainer.key = 'small-key-1';
      for (const node of nodes) {
        expect((await system.trainer.read(node, job.id, 0)).status).to.equal(404);
        expect((await system.trainer.item(node, job.id, 'job-1-item-0')).status).to.equal(404);
        expect(await system.trainer.end(node, job.id)).to.equal(404);
        expect(await system.trainer.submit(node, job)).to.equal(409);
      }
      system.trainer.key = 'unknown';
      for (const node of nodes) {
        expect((await system.trainer.read(node, job.id, 0)).status).to.equal(UNAUTHORIZED);
        expect(await system.trainer.submit(node, { ...job, id: 'job-2' })).to.equal(UNAUTHORIZED);
      }
      system.trainer.key = 'large-key-2';
      expect(await system.trainer.readAll(nodes, job.id, 2)).to.have.length(2);
    });
  });
});
