/** Bad input gets a clear typed error, and the node stays up. */
import { writeFileSync } from 'node:fs';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { EMULATOR_TOKENS } from '../../../emulator/cluster.js';
import { EMULATOR_APPLICATION, EMULATOR_MODEL } from '../../../emulator/declarations.js';
import { uniqueId } from '../../../src/common/identifier.js';
import { runCli } from '../../support/processes.js';
import { type SystemNode, TestSystem } from '../../support/system.js';

describe('bad input', () => {
  const system = new TestSystem({ nodes: 1, applications: 1 });
  let node: SystemNode;

  before(async () => {
    await system.start();
    [node] = system.nodes as [SystemNode];
  });
  after(() => system.stop());
  afterEach('the node still answers', async () => {
    expect((await system.callApplication(node, uniqueId()))._unsafeUnwrap().status).to.equal(200);
  });

  async function send(method: string, path: string, token: string | undefined, body?: string) {
    const headers: Record<string, string> = token ? { authorization: `Bearer ${token}` } : {};
    const answer = await system.client.exchange({ method, url: `${node.address}${path}`, headers, body });
    const { status, headers: answered, body: bytes } = answer._unsafeUnwrap();
    expect(answered['content-type']).to.equal('application/problem+json');
    return {
      status,
      ...(JSON.parse(bytes.toString('utf8')) as {
        code: string;
        executed: string;
        fields?: { field: string }[];
      }),
    };
  }

  const { operator, caller, trainer } = EMULATOR_TOKENS;
  const work = `/services/${EMULATOR_APPLICATION}/work`;

  it('is answered by code and status', async () => {
    const cases: [Promise<{ status: number; code: string; executed: string }>, number, string][] = [
      [send('GET', '/nowhere', operator), 404, 'not-found'],
      [send('GET', '/v1/status', undefined), 401, 'unauthenticated'],
      [send('GET', '/v1/status', 'wrong'), 401, 'unauthenticated'],
      [send('GET', '/v1/status', caller), 403, 'forbidden'],
      [send('POST', work, operator), 403, 'forbidden'],
      [send('POST', '/services/unknown/x', caller), 404, 'not-found'],
      [send('GET', '/v1/resources/Unknown', operator), 404, 'not-found'],
      [send('PUT', '/v1/resources/Service/x', operator, '{"kind":'), 400, 'invalid-request'],
      [send('POST', work, caller, 'x'.repeat(1024 * 1024 + 1)), 413, 'body-too-large'],
      [send('POST', '/v1/trainers/other/draws', trainer, '{}'), 403, 'forbidden'],
      [send('POST', '/v1/completions', caller, '{"model":"none","prompt":"x"}'), 404, 'not-found'],
      [send('GET', '/v1/resources/AccessPolicy', trainer), 403, 'forbidden'],
    ];
    for (const [answer, status, code] of cases) {
      expect(await answer).to.include({ status, code, executed: 'no' });
    }
  });

  it('names every bad field with its path', async () => {
    const fieldsOf = async (method: string, path: string, token: string, body: object) =>
      ((await send(method, path, token, JSON.stringify(body))).fields ?? []).map((one) => one.field);
    expect(
      await fieldsOf('PUT', '/v1/resources/Backend/x', operator, {
        apiVersion: 'thymecove/v1',
        kind: 'Backend',
        metadata: { name: 'x' },
        spec: { service: 'UPPER', address: 'ftp://x', zone: 'z', extra: 1 },
      }),
    ).to.include.members(['spec.service', 'spec.address', 'spec.extra']);
    expect(
      await fieldsOf('POST', '/v1/completions', caller, { model: EMULATOR_MODEL, prompt: 1, max_tokens: 0 }),
    ).to.include.members(['prompt', 'max_tokens']);
    expect(
      await fieldsOf('POST', '/v1/trainers/demo-trainer/draws', trainer, { cursor: 0 }),
    ).to.include.members(['cursor', 'versions']);
    expect(
      await fieldsOf('POST', '/v1/trainers/demo-trainer/rollouts', trainer, {
        rolloutId: 'r',
        model: 'other',
        prompts: ['x'],
        samplesPerPrompt: 1,
        maxTokens: 1,
      }),
    ).to.deep.equal(['model']);
  });

  it('of a sender that never finishes its head does not hold the node', async () => {
    const sockets = Array.from({ length: 50 }, () => {
      const socket = connect(Number(new URL(node.address).port), new URL(node.address).hostname);
      socket.on('error', () => {});
      socket.resume();
      socket.write('POST /v1/completions HTTP/1.1\r\nhost: x\r\n');
      return socket;
    });
    await Promise.all(sockets.map((socket) => new Promise((resolve) => socket.once('close', resolve))));
  });

  it('in a head that is too large is refused', async () => {
    const answer = await system.client.exchange({
      method: 'GET',
      url: `${node.address}/v1/status`,
      headers: { authorization: `Bearer ${operator}`, 'x-filler': 'x'.repeat(64 * 1024) },
    });
    expect(answer.isErr() || answer.value.status === 431).to.equal(true);
  });

  it('in the settings is named by path, with exit code 2 and nothing opened', async () => {
    const file = join(tmpdir(), `thymecove-settings-${uniqueId()}.yaml`);
    writeFileSync(
      file,
      'node: { id: UPPER, zone: z }\nlisten: { host: 127.0.0.1, port: 70000 }\nplatform: {}\naccess: { peerToken: short, tokens: [] }\nextra: 1\n',
    );
    const result = await runCli(['node', '--settings', file]);
    expect(result.code).to.equal(2);
    expect(result.stdout).to.equal('');
    for (const field of ['node.id', 'listen.port', 'platform.store', 'access.peerToken', 'extra']) {
      expect(result.stderr).to.contain(`${field}: `);
    }
  });
});
