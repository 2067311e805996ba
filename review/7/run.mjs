/**
 * The node that orders loads is cut off for 5 s while an order of its is on the way. Another node takes over and orders
 * the same replica. After the cut the kernel of the first node sends the held bytes again.
 */
import { HOST, sleep, System } from '../stand-ins-2/system.mjs';
import { Link } from '../stand-ins-2/link.mjs';

const MODEL = 'm0';
const NODES = 6;
const CUT_MS = 5_000;
const THAW_SLACK_MS = 300;
const LEASE_MS = 3_000;

const system = new System(new URL('record.txt', import.meta.url).pathname);
const hasTrouble = process.env.TROUBLE !== '0';
let healedAtMs = Number.NEGATIVE_INFINITY;

async function main() {
  await system.startStore();
  system.store.put('op', 'config', {
    version: 1,
    routes: [
      {
        name: 'disputes', host: HOST, pathPrefix: '/disputes/', kind: 'rollout', service: 'dispute-llm', priority: 0,
        maxAttempts: 3, timeoutMs: 10_000, targetLatencyMs: 400, resultDeadlineMs: 7_500, maxQueueS: 12,
      },
    ],
    services: [{ name: 'dispute-llm', healthPath: '/health', maxConns: 150, protocol: 'h1', tls: false, engine: { slots: 8, kvCapacity: 103_490, models: [{ name: MODEL }] } }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 33_554_432, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  });
  system.store.put('op', `version/${MODEL}`, { model: MODEL, version: 1 });
  const replicaLinks = [];
  for (let at = 0; at < 6; at += 1) {
    const engine = await system.addEngine({ id: `i-${at}`, service: 'dispute-llm', models: { [MODEL]: 1 } });
    const link = await Link.start(engine.addr);
    engine.addr = link.address;
    engine.announce();
    replicaLinks.push(link);
  }
  const storeLinks = new Map();
  const nodes = [];
  for (let index = 1; index <= NODES; index += 1) {
    const link = await Link.start(system.storeAddress);
    storeLinks.set(`front-${index}`, link);
    nodes.push(system.startNode(index, { storeAddress: link.address }));
  }
  await system.untilReady(nodes);
  for (let tries = 0; !leader() && tries < 100; tries += 1) await sleep(100);
  await sleep(1_000);
  if (hasTrouble) cutWithTheFirstOrder(replicaLinks, storeLinks);
  system.record({ event: 'version named', version: 2 });
  system.store.put('op', `version/${MODEL}`, { model: MODEL, version: 2 });
  await sleep(16_000);
  for (const link of [...replicaLinks, ...storeLinks.values()]) link.stop();
  return judge();
}

/** The holder of the lease, in the nodes' own record of it. */
function leader() {
  return system.store.json('sessions', 'duty/weight-orders')?.holder.node;
}

/** Cuts the holder off from the store and from all replicas when the bytes of its first order pass. */
function cutWithTheFirstOrder(replicaLinks, storeLinks) {
  let isStruck = false;
  for (const link of replicaLinks)
    link.onBytes = (bytes) => {
      const holder = /"holder":"([^"]*)"/.exec(bytes.toString('latin1'))?.[1];
      if (isStruck || holder === undefined) return;
      isStruck = true;
      system.record({ event: 'cut', node: holder });
      // Only the holder has connections to replicas by now, so that these are all its links.
      const links = [storeLinks.get(holder), ...replicaLinks];
      for (const each of links) each.cut(each === links[0]);
      setTimeout(() => {
        healedAtMs = Math.round(performance.now() - system.startedMs);
        system.record({ event: 'healed', node: holder });
        for (const each of links) each.heal();
      }, CUT_MS);
    };
}

/** ONE, `requireFencing` false: a lower fence after a higher one, one fence of two holders, or turns within `leaseMs`. */
function judge() {
  const breaks = [];
  const byReplica = Map.groupBy ? Map.groupBy(orders(), ({ replica }) => replica) : group(orders());
  for (const [replica, given] of byReplica)
    given.forEach((order, at) => {
      if (order.at >= healedAtMs && order.at <= healedAtMs + THAW_SLACK_MS) return;
      for (const earlier of given.slice(0, at)) {
        if (earlier.fence > order.fence)
          breaks.push(`${replica}: fence ${order.fence} of ${order.holder} ${order.at - earlier.at} ms after fence ${earlier.fence} of ${earlier.holder}, ${order.at - healedAtMs} ms after the cut`);
        else if (earlier.fence === order.fence && earlier.holder !== order.holder) breaks.push(`${replica}: fence ${order.fence} of two holders`);
        else if (earlier.holder !== order.holder && order.at - earlier.at < LEASE_MS) breaks.push(`${replica}: turns within ${order.at - earlier.at} ms`);
      }
    });
  system.record({ event: 'result', orders: orders().length, breaks });
  if (orders().length === 0) throw new Error('no order was given');
  return breaks.length > 0 ? 1 : 0;
}

function orders() {
  return system.lines.filter(({ event }) => event === 'order');
}

function group(list) {
  const groups = new Map();
  for (const order of list) groups.set(order.replica, [...(groups.get(order.replica) ?? []), order]);
  return groups;
}

let code = 2;
try {
  code = await main();
} catch (cause) {
  system.record({ event: 'could not run', cause: String(cause.stack ?? cause) });
}
await system.stop();
process.exit(code);
