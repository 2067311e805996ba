/**
 * Why a process sends heartbeats and watches those of others: it holds jobs or leases, or others hold some
 * that it could take.
 *
 * The cycle is real: job ownership and leases ask the session monitor whether a holder is lost, and the
 * monitor asks them whether this process is a holder. They are constructed with the monitor and join its
 * roles afterwards; the monitor asks nothing before the node starts.
 */
import type { SessionRoles } from '../../coordination/service/membership/index.js';
import type { OwnerReference } from '../../state/service/jobs/index.js';

/** One reason to take part. */
export type SessionRole = Pick<SessionRoles, 'isHolder' | 'mustWatch' | 'holders'>;

/** All reasons of one process. */
export class CombinedSessionRoles implements SessionRoles {
  private readonly roles: SessionRole[] = [];

  /** `fleetSize` is the number of nodes that run, 1 while unknown. */
  constructor(readonly fleetSize: () => number) {}

  /** Adds a reason. Before the node starts. */
  add(role: SessionRole): void {
    this.roles.push(role);
  }

  isHolder(): boolean {
    return this.roles.some((role) => role.isHolder());
  }

  mustWatch(): boolean {
    return this.roles.some((role) => role.mustWatch());
  }

  holders(): OwnerReference[] {
    return this.roles.flatMap((role) => role.holders());
  }
}
