/** Routes of other nodes. */
import { ok, type Result } from 'neverthrow';
import type { Static, TSchema } from 'typebox';
import type { ConfigDistribution } from '../../coordination/config-distribution.js';
import type { CoordinationError } from '../../coordination/coordination-error.js';
import type { Membership } from '../../coordination/membership.js';
import {
  ConfigPullSchema,
  DecisionQuerySchema,
  IndirectProbeSchema,
  ProbeSchema,
  RevisionQuerySchema,
} from '../../protocol/peer.js';
import { Validator } from '../../protocol/validation.js';
import type { DecisionLog } from '../../state/decision-log.js';
import { callerGone, sendJson } from '../../transport/http-server.js';
import type { Route } from './api-server.js';
import { type Exchange, readJson } from './exchange.js';

/** What the routes need. */
export interface PeerParts {
  readonly membership: Membership;
  readonly distribution: ConfigDistribution;
  readonly decisions: DecisionLog;
}

const BODY_LIMIT_BYTES = 4 * 1024 * 1024;

function peerRoute<Schema extends TSchema>(
  path: string,
  schema: Schema,
  answer: (message: Static<Schema>, exchange: Exchange) => Promise<unknown>,
): Route {
  const validator = new Validator(schema);
  const handler = async (exchange: Exchange): Promise<Result<void, CoordinationError>> => {
    const message = await readJson(exchange, validator, BODY_LIMIT_BYTES);
    if (message.isErr()) return message.map(() => undefined);
    sendJson(exchange.response, 200, await answer(message.value, exchange));
    return ok(undefined);
  };
  return { method: 'POST', pattern: `/peer/${path}`, roles: ['peer'], isWork: false, handler };
}

/** Routes of peers. */
export function peerRoutes(parts: PeerParts): Route[] {
  return [
    peerRoute('probe', ProbeSchema, async (probe) => parts.membership.answerProbe(probe)),
    peerRoute('probe-indirect', IndirectProbeSchema, async ({ address }) => ({
      alive: await parts.membership.probeFor(address),
    })),
    peerRoute('config', ConfigPullSchema, (pull, exchange) =>
      parts.distribution.answerPull(pull, callerGone(exchange.response)),
    ),
    peerRoute('revision', RevisionQuerySchema, (query) => parts.distribution.answerRevision(query)),
    peerRoute('decisions', DecisionQuerySchema, async ({ subject }) => ({
      decisions: parts.decisions.find(subject),
    })),
  ];
}
