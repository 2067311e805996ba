/** Calls dispatchers at other nodes and notes their acknowledgements. Never repeats a call. */
import { monotonicMs } from '../../../common/clock.js';
import type {
  DispatchMessage,
  Framed,
  PeerDispatch,
  PeerDispatchOptions,
} from '../../../protocol/service/dispatch-peer.js';
import type { FleetMember } from '../../../state/service/replicas/index.js';
import type { DispatchCall } from './dispatch-call.js';
import { toMessage } from './dispatch-messages.js';
import { ACKNOWLEDGE_TIMEOUT_MS, type DispatcherHealth } from './dispatcher-health.js';

/** Unacknowledged time after which a repeatable request ends here, milliseconds. Chosen, not measured. */
const REPEATABLE_ACKNOWLEDGE_TIMEOUT_MS = 2.5 * ACKNOWLEDGE_TIMEOUT_MS;
/** Time for the dispatcher's answer beyond the request's deadline, milliseconds. Chosen, not measured. */
const ANSWER_TIMEOUT_MARGIN_MS = 250;

/** Sends a message to the node at an address. Never rejects. */
export type PeerCall = (
  address: string,
  framed: Framed<DispatchMessage>,
  options: PeerDispatchOptions,
) => Promise<PeerDispatch>;

/** What calls depend on. */
export interface DispatcherClientServices {
  /** Whether the store answers this node. */
  readonly isStoreAnswering: () => boolean;
  readonly call: PeerCall;
}

export class DispatcherClient {
  constructor(
    private readonly services: DispatcherClientServices,
    private readonly health: DispatcherHealth,
  ) {}

  /** Sends a call to a dispatcher; ends early when the call is aborted. Never rejects. */
  async call(dispatcher: FleetMember, call: DispatchCall, isRepeatable: boolean): Promise<PeerDispatch> {
    const controller = new AbortController();
    const abort = () => controller.abort();
    call.signal.addEventListener('abort', abort, { once: true });
    const number = this.health.begin(dispatcher.name);
    const unacknowledged = isRepeatable ? setTimeout(abort, REPEATABLE_ACKNOWLEDGE_TIMEOUT_MS) : undefined;
    const onAcknowledged = () => {
      clearTimeout(unacknowledged);
      this.health.acknowledge(dispatcher.name, number);
    };
    const timeoutMs = Math.max(1, call.deadlineMs - monotonicMs() + ANSWER_TIMEOUT_MARGIN_MS);
    try {
      const message = toMessage(call, this.services.isStoreAnswering());
      const options = { onAcknowledged: onAcknowledged, timeoutMs, signal: controller.signal };
      return await this.services.call(dispatcher.peerAddress, message, options);
    } finally {
      clearTimeout(unacknowledged);
      this.health.end(dispatcher.name, number);
      call.signal.removeEventListener('abort', abort);
    }
  }
}
