/** Replicas as they announce themselves, for tests of what is decided about them. */
import type { Replica } from '../../src/protocol/service/replica.js';

/** A replica that is ready; the fields that a test is about are given. */
export function replicaWith(fields: Partial<Replica> = {}): Replica {
  return {
    id: 'r1',
    startedAtMs: undefined,
    service: 's',
    address: '127.0.0.1:1',
    zone: 'z',
    slots: 4,
    isDraining: false,
    slowStartMs: 0,
    modelVersions: new Map(),
    ...fields,
  };
}
