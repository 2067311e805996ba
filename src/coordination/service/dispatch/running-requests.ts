/** Running requests of one service, indexed by request and by replica. */
import type { RunningRequest } from '../../../state/service/admission/index.js';

const NONE: ReadonlySet<never> = new Set();

export class RunningRequests {
  private readonly replicasByRequest = new Map<string, Set<string>>();
  private readonly runsByReplica = new Map<string, Set<RunningRequest>>();

  /** Ids of the replicas at which a request is running. */
  replicasOf(requestId: string): ReadonlySet<string> {
    return this.replicasByRequest.get(requestId) ?? NONE;
  }

  runningAt(replicaId: string): ReadonlySet<RunningRequest> {
    return this.runsByReplica.get(replicaId) ?? NONE;
  }

  /** Records the start of an attempt. Returns a function to call when it ends. */
  begin(requestId: string, replicaId: string, run: RunningRequest): () => void {
    add(this.replicasByRequest, requestId, replicaId);
    add(this.runsByReplica, replicaId, run);
    return () => {
      remove(this.replicasByRequest, requestId, replicaId);
      remove(this.runsByReplica, replicaId, run);
    };
  }
}

function add<T>(sets: Map<string, Set<T>>, key: string, value: T): void {
  const set = sets.get(key) ?? new Set<T>();
  set.add(value);
  sets.set(key, set);
}

function remove<T>(sets: Map<string, Set<T>>, key: string, value: T): void {
  const set = sets.get(key);
  set?.delete(value);
  if (set?.size === 0) sets.delete(key);
}
