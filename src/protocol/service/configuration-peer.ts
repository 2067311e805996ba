/** Client and wire format for fetching the configuration from another node over the peer port. */
import type { HttpClient } from '../../transport/http-client.js';

export const CONFIGURATION_PATH = '/configuration';
/** Query parameter with the caller's version. */
export const NEWER_THAN_PARAMETER = 'newer-than';

export type PeerConfigurationAnswer =
  /** The operator's record, as stored. */
  | { readonly kind: 'newer'; readonly value: Buffer }
  /** A node that reaches the store has no newer version. */
  | { readonly kind: 'same' }
  /** The peer does not answer or does not reach the store. */
  | { readonly kind: 'unavailable' };

const STATUS_OK = 200;
const STATUS_NO_CONTENT = 204;
/** Short, since several peers are queried one after the other. */
const CALL_TIMEOUT_MS = 800;

/** Queries the node at `address` (`IP:PORT`) for a configuration newer than `version`. Never rejects. */
export async function fetchConfiguration(
  http: HttpClient,
  address: string,
  version: number,
): Promise<PeerConfigurationAnswer> {
  const answer = await http.exchange({
    method: 'GET',
    url: `http://${address}${CONFIGURATION_PATH}?${NEWER_THAN_PARAMETER}=${version}`,
    totalTimeoutMs: CALL_TIMEOUT_MS,
  });
  if (answer.isErr()) return { kind: 'unavailable' };
  const { status, body } = answer.value;
  if (status === STATUS_OK) return { kind: 'newer', value: body };
  return { kind: status === STATUS_NO_CONTENT ? 'same' : 'unavailable' };
}
