/** Wire format in which one node asks another for its configuration, over the port that only nodes reach. */
import type { HttpClient } from '../../transport/http-client.js';

/** Path, and its query parameter: the version that the asking node has. */
export const CONFIGURATION_PATH = '/configuration';
export const NEWER_THAN_PARAMETER = 'newer-than';

/** Answer of a peer. */
export type PeerConfigurationAnswer =
  /** The operator's record, as the store has it. */
  | { readonly kind: 'newer'; readonly value: Buffer }
  /** There is no newer one, by a node that reaches the store. */
  | { readonly kind: 'same' }
  /** The peer does not answer, or does not reach the store either. */
  | { readonly kind: 'unavailable' };

const STATUS_OK = 200;
const STATUS_NO_CONTENT = 204;
/** Milliseconds. Chosen, not measured: several peers are asked one after the other. */
const CALL_TIMEOUT_MS = 800;

/** Asks the node at `address` (`IP:PORT`) for a configuration newer than `version`. Never rejects. */
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
