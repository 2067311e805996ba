/** Shared by the routes that read and change resources: dependencies, kind and role checks, status. */
import { err, ok, type Result } from 'neverthrow';
import type { ConfigFollower } from '../../../coordination/resource/configuration/index.js';
import {
  CoordinationError,
  type CoordinationResult,
} from '../../../coordination/resource/coordination-error.js';
import type { NodeRegistry } from '../../../coordination/resource/membership/index.js';
import { isKind } from '../../../protocol/resource/manifest.js';
import type { PeerClient } from '../../../protocol/resource/peer.js';
import { KINDS, type Kind, type Resource, ROLLOUT_KIND } from '../../../protocol/resource/resource.js';
import type { BackendRegistry } from '../../../state/resource/backends/index.js';
import type { ConfigStore, ConfigView } from '../../../state/resource/configuration/index.js';
import type { DecisionLog } from '../../../state/resource/decision-log.js';
import type { RolloutLedger } from '../../../state/resource/samples/index.js';
import type { Route } from './api-server.js';
import type { Exchange } from './exchange.js';
import { statusOf } from './resource-status.js';

/** Dependencies of the routes. */
export interface ResourceParts {
  readonly view: ConfigView;
  readonly store: ConfigStore;
  readonly registry: BackendRegistry;
  readonly follower: ConfigFollower;
  readonly nodes: NodeRegistry;
  readonly peers: PeerClient;
  readonly rollouts: RolloutLedger;
  readonly decisions: DecisionLog;
  /** Aborted when the node begins to leave; open watches end then. */
  readonly leaving: AbortSignal;
}

/** Builds routes whose handlers take the parts; all of them are work, which a leaving node rejects. */
export const resourceRoute =
  (parts: ResourceParts) =>
  (
    method: Route['method'],
    pattern: string,
    roles: Route['roles'],
    handler: (parts: ResourceParts, exchange: Exchange) => CoordinationResult<void>,
  ): Route => ({ method, pattern, roles, isWork: true, handler: (exchange) => handler(parts, exchange) });

/** The kind that the route names. */
export function kindOf(exchange: Exchange): Result<Kind, CoordinationError> {
  const { kind } = exchange.params;
  if (kind === 'AccessPolicy' && !isOperator(exchange)) {
    return err(new CoordinationError('forbidden', 'no', 'only operators may see access policies'));
  }
  if (isKind(kind)) return ok(kind);
  const message = `kind ${kind} is not one of ${[...KINDS, ROLLOUT_KIND].join(', ')}`;
  return err(new CoordinationError('not-found', 'no', message));
}

/** Whether the principal acts for the operators, not for a trainer. */
export function isOperator(exchange: Exchange): boolean {
  return exchange.principal.roles.some((role) => role === 'operator' || role === 'approver');
}

/** A resource with its status, as this node sees it. */
export const withStatus = (parts: ResourceParts, resource: Resource) => ({
  ...resource,
  status: statusOf(parts.view, parts.registry, resource),
});
