/** The configuration as one node asks another for it, over the port that only nodes reach. */
import type { HttpClient } from '../../transport/http-client.js';

/** Path of the question, and its parameter: the version that the asking node has. */
export const CONFIGURATION_PATH = '/configuration';
export const NEWER_THAN = 'newer-than';

/** What another node says. */
export type PeerConfigurationAnswer =
  /** The operator's record, as the store has it. */
  | { readonly kind: 'newer'; readonly value: Buffer }
  /** There is none that is newer, by a node that the store serves. */
  | { readonly kind: 'same' }
  /** The node does not answer, or is not served by the store either. */
  | { readonly kind: 'unavailable' };

const STATUS_NEWER = 200;
const STATUS_SAME = 204;
const CALL_TIMEOUT_MS = 800;

/** Asks the node at `address` (`IP:PORT`) for a configuration that is newer than `version`. */
export async function askForConfiguration(
  http: HttpClient,
  address: string,
  version: number,
): Promise<PeerConfigurationAnswer> {
  const answer = await http.exchange({
    method: 'GET',
    url: `http://${address}${CONFIGURATION_PATH}?${NEWER_THAN}=${version}`,
    totalTimeoutMs: CALL_TIMEOUT_MS,
  });
  if (answer.isErr()) return { kind: 'unavailable' };
  const { status, body } = answer.value;
  if (status === STATUS_NEWER) return { kind: 'newer', value: body };
  return { kind: status === STATUS_SAME ? 'same' : 'unavailable' };
}
