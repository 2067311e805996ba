/** Routes for health and metrics; they require no token. */
import { ok } from 'neverthrow';
import type { Metrics } from '../../../common/metrics.js';
import type { WorkGate } from '../../../coordination/resource/requests/index.js';
import { sendJson } from '../../../transport/http-server.js';
import type { Route } from './api-server.js';

/** Routes of `/healthz` (the process answers), `/readyz` (it takes new work) and `/metrics`. */
export function healthRoutes(metrics: Metrics, gate: WorkGate): Route[] {
  const common = { method: 'GET' as const, roles: [], isWork: false };
  return [
    {
      ...common,
      pattern: '/healthz',
      handler: async ({ response }) => {
        sendJson(response, 200, { status: 'ok' });
        return ok(undefined);
      },
    },
    {
      ...common,
      pattern: '/readyz',
      handler: async ({ response }) => {
        const open = gate.check();
        if (open.isOk()) sendJson(response, 200, { status: 'ready' });
        else sendJson(response, 503, { status: open.error.code });
        return ok(undefined);
      },
    },
    {
      ...common,
      pattern: '/metrics',
      handler: async ({ response }) => {
        response.writeHead(200, { 'content-type': metrics.registry.contentType });
        response.end(await metrics.registry.metrics());
        return ok(undefined);
      },
    },
  ];
}
