/**
 * Routes of `explain` (decisions about a request, a sample or a back end) and `status`. Decisions come from
 * this node, from the deciding node, or from what it flushed; those of nodes that do not respond are left
 * out.
 */
import { err, ok } from 'neverthrow';
import { parseRequestId } from '../../../common/identifier.js';
import {
  CoordinationError,
  type CoordinationResult,
  fromState,
} from '../../../coordination/resource/coordination-error.js';
import type { NodeRegistry } from '../../../coordination/resource/membership/index.js';
import type { Router } from '../../../coordination/resource/requests/index.js';
import type { Explanation, Status } from '../../../protocol/resource/operator.js';
import type { PeerClient } from '../../../protocol/resource/peer.js';
import type { BackendEntry, BackendRegistry } from '../../../state/resource/backends/index.js';
import type { ConfigView, FreshnessLease } from '../../../state/resource/configuration/index.js';
import {
  type DecisionLog,
  type DecisionRecord,
  findFlushedDecisions,
} from '../../../state/resource/decision-log.js';
import type { BatchLedger } from '../../../state/resource/samples/index.js';
import { parseSampleId } from '../../../state/resource/samples/index.js';
import type { Objects } from '../../../state/resource/tables/index.js';
import { sendJson } from '../../../transport/http-server.js';
import type { Route } from './api-server.js';
import type { Exchange } from './exchange.js';
import { isOperator } from './resource-common.js';
import { statusOf } from './resource-status.js';

/** Dependencies of the routes. */
export interface ExplainParts {
  readonly nodeId: string;
  readonly zone: string;
  readonly view: ConfigView;
  readonly registry: BackendRegistry;
  readonly router: Router;
  readonly nodes: NodeRegistry;
  readonly peers: PeerClient;
  readonly decisions: DecisionLog;
  readonly objects: Objects;
  readonly batches: BatchLedger;
  readonly freshness: FreshnessLease;
  readonly nodeState: () => string;
  readonly duties: () => string[];
}

const BACKEND_PREFIX = 'backend/';

/** Routes of `explain` and `status`. */
export function explainRoutes(parts: ExplainParts): Route[] {
  const roles = ['operator' as const, 'approver' as const];
  return [
    {
      method: 'GET',
      pattern: '/v1/explain/:subject',
      roles: [...roles, 'trainer', 'caller'],
      isWork: true,
      handler: (exchange) => explain(parts, exchange),
    },
    {
      method: 'GET',
      pattern: '/v1/status',
      roles,
      isWork: false,
      handler: async (exchange) => {
        sendJson(exchange.response, 200, status(parts));
        return ok(undefined);
      },
    },
  ];
}

async function explain(parts: ExplainParts, exchange: Exchange): CoordinationResult<void> {
  const subject = exchange.params.subject ?? '';
  const sample = parseSampleId(subject);
  if (!isOperator(exchange) && sample?.trainer !== exchange.principal.trainer) {
    return err(
      new CoordinationError('forbidden', 'no', 'only operators may ask about what is not their own'),
    );
  }
  const answer = subject.startsWith(BACKEND_PREFIX)
    ? await explainBackend(parts, subject)
    : sample
      ? await explainSample(parts, subject)
      : await explainRequest(parts, subject);
  if (answer.isErr()) return err(answer.error);
  sendJson(exchange.response, 200, answer.value);
  return ok(undefined);
}

/** Decisions of a request: this node's, the deciding node's, or those that it flushed. */
async function decisionsOfRequest(parts: ExplainParts, requestId: string): Promise<DecisionRecord[]> {
  const own = parts.decisions.find(requestId);
  const origin = parseRequestId(requestId);
  if (own.length > 0 || !origin) return own;
  const member = parts.nodes.get(origin.nodeId);
  if (member && member.id !== parts.nodeId) {
    const answer = await parts.peers.decisions(member.address, requestId);
    if (answer.isOk() && answer.value.decisions.length > 0) return answer.value.decisions as DecisionRecord[];
  }
  return findFlushedDecisions(parts.objects, origin.nodeId, requestId, origin.issuedAtMs);
}

async function explainRequest(parts: ExplainParts, subject: string): CoordinationResult<Explanation> {
  const decisions = await decisionsOfRequest(parts, subject);
  if (decisions.length === 0) {
    return err(new CoordinationError('not-found', 'no', `nothing is known of ${subject}`));
  }
  const last = decisions.at(-1) as DecisionRecord;
  const summary = `${last.kind}: ${last.choice} (${last.reason})`;
  return ok({ subject, kind: 'request', summary, decisions });
}

async function explainSample(parts: ExplainParts, subject: string): CoordinationResult<Explanation> {
  const id = parseSampleId(subject);
  if (!id) return err(new CoordinationError('not-found', 'no', `${subject} is not a sample`));
  const found = await parts.batches.find(id.trainer, id.rolloutId, id.slot, subject);
  if (found.isErr()) return err(fromState(found.error));
  const { slot, delivered } = found.value;
  const expired = slot?.expired.find((one) => one.sampleId === subject);
  const isCurrent = slot?.sampleId === subject;
  if (!isCurrent && !expired)
    return err(new CoordinationError('not-found', 'no', `nothing is known of ${subject}`));
  const requestId = isCurrent ? slot?.decision?.requestId : undefined;
  const decisions = requestId ? await decisionsOfRequest(parts, requestId) : parts.decisions.find(subject);
  return ok({
    subject,
    kind: 'sample',
    summary: describeSample(slot?.segments ?? [], delivered?.cursor, expired),
    decisions,
    detail: { slot, delivered },
  });
}

function describeSample(
  segments: readonly { version: number; tokenCount: number; engine: string }[],
  cursor: number | undefined,
  expired: { oldest: number; newest: number; bound: number } | undefined,
): string {
  if (expired) {
    return `discarded: version ${expired.oldest} is more than ${expired.bound} behind version ${expired.newest}`;
  }
  const parts = segments.map((one) => `${one.tokenCount} tokens by version ${one.version} on ${one.engine}`);
  const where = cursor === undefined ? 'not drawn yet' : `drawn with cursor ${cursor}`;
  return `${parts.join(', ')}; ${where}`;
}

async function explainBackend(parts: ExplainParts, subject: string): CoordinationResult<Explanation> {
  const name = subject.slice(BACKEND_PREFIX.length);
  const backend = parts.view.get('Backend', name);
  if (!backend) return err(new CoordinationError('not-found', 'no', `no Backend ${name}`));
  const entry = parts.registry.get(name);
  const others = parts.nodes.others();
  const answers = await Promise.all(others.map((member) => parts.peers.decisions(member.address, subject)));
  const remote = answers.flatMap((answer) =>
    answer.isOk() ? (answer.value.decisions as DecisionRecord[]) : [],
  );
  const decisions = [...parts.decisions.find(subject), ...remote].sort((a, b) => (a.at < b.at ? -1 : 1));
  const takesWork = entry ? describeEligibility(parts, entry) : 'not known on this node';
  return ok({
    subject,
    kind: 'backend',
    summary: `takes new work: ${takesWork}`,
    decisions,
    detail: { ...backend, status: statusOf(parts.view, parts.registry, backend), engine: entry?.engineState },
  });
}

/** `yes`, or `no` with the reason. */
function describeEligibility(parts: ExplainParts, entry: BackendEntry): string {
  const service = parts.view.get('Service', entry.declaration.spec.service);
  if (!service) return 'no (service is not declared)';
  const reason = parts.router.ineligibility(entry, { service, excluded: new Set() });
  if (reason) return `no (${reason}${reason === 'draining' ? `: ${drainReason(entry)}` : ''})`;
  if (entry.engineState?.role === 'draining') return 'no (engine-draining)';
  return 'yes';
}

function drainReason(entry: BackendEntry): string {
  return entry.declaration.spec.drainReason ?? 'declared';
}

function status(parts: ExplainParts): Status {
  return {
    node: {
      id: parts.nodeId,
      zone: parts.zone,
      state: parts.nodeState(),
      configRevision: parts.view.revision,
      configurationFresh: parts.freshness.isFresh,
      duties: parts.duties(),
    },
    members: parts.nodes.allNodes().map(({ id, zone, state, address }) => ({ id, zone, state, address })),
    backends: parts.registry.all().map((entry) => ({
      name: entry.name,
      service: entry.declaration.spec.service,
      zone: entry.declaration.spec.zone,
      health: entry.lifecycle.current,
      ...(entry.version === undefined ? {} : { version: entry.version }),
      inFlight: entry.inFlight,
      takesWork: describeEligibility(parts, entry),
    })),
  };
}
