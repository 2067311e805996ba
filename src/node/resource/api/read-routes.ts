/**
 * Routes that read resources: list, watch, read, and who holds a revision. A read first catches up with the
 * store, so that it shows every change that any node has accepted; while the store is not reachable it shows
 * the configuration in force on this node.
 */
import { err, ok } from 'neverthrow';
import {
  CoordinationError,
  type CoordinationResult,
  fromState,
} from '../../../coordination/resource/coordination-error.js';
import { reportRevision } from '../../../coordination/resource/membership/index.js';
import { type Resource, ROLLOUT_KIND } from '../../../protocol/resource/resource.js';
import { sendJson } from '../../../transport/http-server.js';
import type { Route } from './api-server.js';
import { type Exchange, InvalidRequestError } from './exchange.js';
import { kindOf, type ResourceParts, resourceRoute, withStatus } from './resource-common.js';
import { watchResources } from './watch.js';

/** Routes that read resources. */
export function readRoutes(parts: ResourceParts): Route[] {
  const readers = ['operator' as const, 'approver' as const, 'trainer' as const];
  const operators = ['operator' as const, 'approver' as const];
  const base = '/v1/resources/:kind';
  const route = resourceRoute(parts);
  return [
    route('GET', base, readers, list),
    route('GET', `${base}/:name`, readers, read),
    route('GET', '/v1/revisions/:revision', operators, revision),
  ];
}

async function list(parts: ResourceParts, exchange: Exchange): CoordinationResult<void> {
  if (exchange.params.kind === ROLLOUT_KIND) return listRollouts(parts, exchange);
  const kind = kindOf(exchange);
  if (kind.isErr()) return err(kind.error);
  if (exchange.url.searchParams.get('watch') === 'true') {
    return watchResources(parts.view, exchange, kind.value, parts.leaving);
  }
  await parts.follower.catchUp();
  const set = exchange.url.searchParams.get('set');
  const found = parts.view.list(kind.value) as Resource[];
  const items = found.filter((one) => set === null || one.metadata.set === set);
  sendJson(exchange.response, 200, {
    resourceVersion: parts.view.revision,
    items: items.map((one) => withStatus(parts, one)),
  });
  return ok(undefined);
}

async function listRollouts(parts: ResourceParts, exchange: Exchange): CoordinationResult<void> {
  const own = exchange.principal.trainer;
  const names = own ? [own] : parts.view.list('Trainer').map((trainer) => trainer.metadata.name);
  const items: unknown[] = [];
  for (const trainer of names) {
    const rollouts = await parts.rollouts.list(trainer);
    if (rollouts.isErr()) return err(fromState(rollouts.error));
    for (const { rolloutId, row } of rollouts.value) {
      const metadata = { name: rolloutId, resourceVersion: 0, generation: 1 };
      const spec = { trainer, model: row.model, slots: row.slots, state: row.state };
      items.push({ apiVersion: 'thymecove/v1', kind: ROLLOUT_KIND, metadata, spec });
    }
  }
  sendJson(exchange.response, 200, { resourceVersion: parts.view.revision, items });
  return ok(undefined);
}

async function read(parts: ResourceParts, exchange: Exchange): CoordinationResult<void> {
  const kind = kindOf(exchange);
  if (kind.isErr()) return err(kind.error);
  await parts.follower.catchUp();
  const resource = parts.view.get(kind.value, exchange.params.name ?? '') as Resource | undefined;
  if (!resource) return err(notFound(exchange));
  const etag = `"${resource.metadata.resourceVersion}"`;
  sendJson(exchange.response, 200, withStatus(parts, resource), { etag });
  return ok(undefined);
}

function notFound(exchange: Exchange): CoordinationError {
  return new CoordinationError('not-found', 'no', `no ${exchange.params.kind} ${exchange.params.name}`);
}

async function revision(parts: ResourceParts, exchange: Exchange): CoordinationResult<void> {
  const asked = Number(exchange.params.revision);
  if (!Number.isInteger(asked) || asked < 0) {
    return err(new InvalidRequestError([{ field: 'revision', message: 'must be a whole number' }]));
  }
  sendJson(exchange.response, 200, await reportRevision(parts.view, parts.nodes, parts.peers, asked));
  return ok(undefined);
}
