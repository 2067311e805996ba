/**
 * One node of three is stopped as in a rolling restart. Clients of it hold kept connections, idle for a few seconds, and
 * send their next request on them. Each such request takes the application 0.6 s of the 2 s that it has.
 */
import { Agent } from 'node:http';
import { call, HOST, sleep, System } from '../stand-ins-2/system.mjs';

/** As `crew-roster` of the site has them: the most work of a request, and the deadline. */
const WORK_MS = 600;
const DEADLINE_MS = 2_000;
const GRACE_MS = 8_000;
/** Seconds after SIGTERM at which each client sends its next request. */
const SENDS_S = [2.6, 3.0, 3.4, 3.8, 4.2, 4.6, 5.0, 5.4, 5.8, 6.2, 6.5, 6.8, 6.95, 7.1];

const system = new System(new URL('record.txt', import.meta.url).pathname);
const hasTrouble = process.env.TROUBLE !== '0';

async function main() {
  await system.startStore();
  const service = 'booking-app';
  const route = { host: HOST, kind: 'safe', service, priority: 2, maxAttempts: 4 };
  system.store.put('op', 'config', {
    version: 1,
    routes: [
      { ...route, name: 'hello', pathPrefix: '/hello/', timeoutMs: 800, targetLatencyMs: 155 },
      { ...route, name: 'roster', pathPrefix: '/roster/', timeoutMs: DEADLINE_MS, targetLatencyMs: 419 },
    ],
    services: [{ name: service, healthPath: '/health', maxConns: 100, protocol: 'h1', tls: false }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 33_554_432, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  });
  const workMs = ({ url }) => (url.startsWith('/roster/') ? WORK_MS : 20);
  for (const id of ['i-a1', 'i-b1', 'i-c1']) await system.addApplication({ id, service, workMs });
  const [stopped, other, third] = [system.startNode(1), system.startNode(2), system.startNode(3)];
  await system.untilReady([stopped, other, third]);

  const clients = SENDS_S.map((atS, index) => ({ index, atS, agent: new Agent({ keepAlive: true, maxSockets: 1 }) }));
  for (const client of clients) {
    const answer = await send(client, stopped.front, 'hello', 800);
    if (answer.status !== 200) throw new Error(`a client's first request got ${answer.status} ${answer.error ?? ''}`);
  }
  await sleep(2_000);
  const startMs = performance.now();
  if (hasTrouble) {
    system.signal(stopped, 'SIGTERM');
    setTimeout(() => !stopped.hasEnded && system.signal(stopped, 'SIGKILL'), GRACE_MS);
  }
  await Promise.all(
    clients.map(async (client) => {
      await sleep(startMs + client.atS * 1_000 - performance.now());
      // A connection that was closed meanwhile is opened again, by the platform to a node that is ready.
      const isOpen = Object.values(client.agent.freeSockets).flat().some((socket) => !socket.destroyed);
      client.isKept = isOpen;
      client.answer = await send(client, isOpen ? stopped.front : other.front, 'roster', DEADLINE_MS);
    }),
  );
  return judge(clients);
}

async function send(client, { host, port }, kind, deadlineMs) {
  const id = `r-${kind}-${client.index}`;
  client.id = id;
  system.record({ event: 'sent', id, to: host, atS: client.atS });
  const headers = { host: HOST, 'request-id': id, 'deadline-ms': String(deadlineMs), 'content-length': '4' };
  const path = `/${kind}/${client.index}`;
  const answer = await call({ host, port, method: 'POST', path, headers, body: 'seat', agent: client.agent, timeoutMs: deadlineMs });
  const { status, error, tookMs, reused } = answer;
  system.record({ event: 'answered', id, status, error, tookMs, reused });
  return answer;
}

function judge(clients) {
  let lost = 0;
  for (const { id, atS, answer } of clients) {
    const hasRun = system.lines.some((line) => line.event === 'run' && line.id === id);
    const isCut = answer.status === 0 && answer.error !== 'deadline';
    // Excused: sent no later than 3 s after SIGTERM, the replica still at work in the last sixth of the grace time.
    const isExcused = atS <= 3;
    if (hasRun && isCut && !isExcused) lost += 1;
    system.record({ event: 'judged', id, sentAtS: atS, status: answer.status, error: answer.error, hasRun, isLost: hasRun && isCut && !isExcused });
  }
  system.record({ event: 'result', lost, requests: clients.length });
  return lost > 0 ? 1 : 0;
}

let code = 2;
try {
  code = await main();
} catch (cause) {
  system.record({ event: 'could not run', cause: String(cause.stack ?? cause) });
}
await system.stop();
process.exit(code);
