/**
 * Routes for other nodes: this node's revision, and its decision records. A leaving node still serves them.
 */
import { ok } from 'neverthrow';
import type { Static, TSchema } from 'typebox';
import type { CoordinationResult } from '../../../coordination/resource/coordination-error.js';
import { DecisionQuerySchema, RevisionQuerySchema } from '../../../protocol/resource/peer.js';
import { Validator } from '../../../protocol/validation.js';
import type { ConfigView } from '../../../state/resource/configuration/index.js';
import type { DecisionLog } from '../../../state/resource/decision-log.js';
import { sendJson } from '../../../transport/http-server.js';
import type { Route } from './api-server.js';
import { type Exchange, readJson } from './exchange.js';

/** Dependencies of the routes. */
export interface PeerParts {
  readonly view: ConfigView;
  readonly decisions: DecisionLog;
}

const BODY_LIMIT_BYTES = 64 * 1024;

function peerRoute<Schema extends TSchema>(
  path: string,
  schema: Schema,
  answer: (message: Static<Schema>) => unknown,
): Route {
  const validator = new Validator(schema);
  const handler = async (exchange: Exchange): CoordinationResult<void> => {
    const message = await readJson(exchange, validator, BODY_LIMIT_BYTES);
    if (message.isErr()) return message.map(() => undefined);
    sendJson(exchange.response, 200, answer(message.value));
    return ok(undefined);
  };
  return { method: 'POST', pattern: `/peer/${path}`, roles: ['peer'], isWork: false, handler };
}

/** Routes of peers. */
export function peerRoutes(parts: PeerParts): Route[] {
  return [
    peerRoute('revision', RevisionQuerySchema, () => ({ revision: parts.view.revision })),
    peerRoute('decisions', DecisionQuerySchema, ({ subject }) => ({
      decisions: parts.decisions.find(subject),
    })),
  ];
}
