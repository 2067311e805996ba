/** Queues of this node by service, created on the first request and never removed. */
import type { DispatchCall, DispatchResult } from './dispatch-call.js';
import { ServiceQueue, type ServiceQueueServices } from './service-queue.js';

export class ServiceQueues {
  private readonly queues = new Map<string, ServiceQueue>();
  private isClosed = false;

  constructor(private readonly services: ServiceQueueServices) {}

  /** Sends or queues a request at this node. Never rejects. */
  dispatch(call: DispatchCall): Promise<DispatchResult> {
    return this.queueOf(call.service).dispatch(call);
  }

  /** Rejects all queued requests. Running requests continue. */
  close(): void {
    this.isClosed = true;
    for (const queue of this.queues.values()) queue.close();
  }

  /** Whether the queues are closed because this node is leaving. */
  get areClosed(): boolean {
    return this.isClosed;
  }

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
