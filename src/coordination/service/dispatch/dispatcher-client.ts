/** Calls dispatchers at other nodes and tracks their acknowledgements. Never repeats a call. */
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

/** Time without an acknowledgement after which the call of a repeatable request is aborted, milliseconds. */
const REPEATABLE_ACKNOWLEDGE_TIMEOUT_MS = 2.5 * ACKNOWLEDGE_TIMEOUT_MS;
/** Time allowed for the dispatcher's answer after the deadline of the request, milliseconds. */
const ANSWER_TIMEOUT_MARGIN_MS = 250;

/** Sends a message to the node at an address. Never rejects. */
export type PeerCall = (
  address: string,
  framed: Framed<DispatchMessage>,
  options: PeerDispatchOptions,
) => Promise<PeerDispatch>;

/** Dependencies of `DispatcherClient`. */
export interface DispatcherClientServices {
  /** Whether the store answers this node. */
  readonly isStoreAnswering: () => boolean;
  /** Latest time now on the clock of the store, milliseconds; `undefined` while unknown. */
  readonly storeTimeMs: () => number | undefined;
  readonly call: PeerCall;
}

export class DispatcherClient {
  constructor(
    private readonly services: DispatcherClientServices,
    private readonly health: DispatcherHealth,
  ) {}

  /** Sends a call to a dispatcher until it is answered or aborted. Never rejects. */
  async call(dispatcher: FleetMember, call: DispatchCall, isRepeatable: boolean): Promise<PeerDispatch> {
    const controller = new AbortController();
    const abort = () => controller.abort();
    call.signal.addEventListener('abort', abort, { once: true });
    const callNumber = this.health.begin(dispatcher.name);
    const acknowledgeTimer = isRepeatable ? setTimeout(abort, REPEATABLE_ACKNOWLEDGE_TIMEOUT_MS) : undefined;
    const onAcknowledged = () => {
      clearTimeout(acknowledgeTimer);
      this.health.acknowledge(dispatcher.name, callNumber);
    };
    const timeoutMs = Math.max(1, call.deadlineMs - monotonicMs() + ANSWER_TIMEOUT_MARGIN_MS);
    try {
      const { isStoreAnswering, storeTimeMs } = this.services;
      const sender = { isStoreAnswering: isStoreAnswering(), storeTimeMs: storeTimeMs() };
      const message = toMessage(call, sender);
      const options = { onAcknowledged: onAcknowledged, timeoutMs, signal: controller.signal };
      return await this.services.call(dispatcher.peerAddress, message, options);
    } finally {
      clearTimeout(acknowledgeTimer);
      this.health.end(dispatcher.name, callNumber);
      call.signal.removeEventListener('abort', abort);
    }
  }
}
