/** The queues of the services whose places this node deals out. */
import type { DispatchCall, DispatchResult } from './dispatch-call.js';
import { ServiceQueue, type ServiceQueueServices } from './service-queue.js';

/** The queues of one node. */
export class ServiceQueues {
  private readonly queues = new Map<string, ServiceQueue>();
  private isClosed = false;

  constructor(private readonly services: ServiceQueueServices) {}

  /** Sends a request or lets it wait here. */
  dispatch(call: DispatchCall): Promise<DispatchResult> {
    return this.queueOf(call.service).dispatch(call);
  }

  /** Refuses what waits and lets nothing wait any more; what runs goes on. */
  close(): void {
    this.isClosed = true;
    for (const queue of this.queues.values()) queue.close('this node is leaving');
  }

  /** Whether this node is on its way out, so that others deal out the places. */
  get areClosed(): boolean {
    return this.isClosed;
  }

  /** Services with their queues. */
  get all(): ReadonlyMap<string, ServiceQueue> {
    return this.queues;
  }

  private queueOf(service: string): ServiceQueue {
    const existing = this.queues.get(service);
    if (existing) return existing;
    const created = new ServiceQueue(service, this.services);
    this.queues.set(service, created);
    return created;
  }
}
