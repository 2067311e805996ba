/**
 * Reasons for a process to send heartbeats and to watch those of others: it holds jobs or leases, or could
 * take over those of others. Job ownership and leases depend on the session monitor, and the monitor on them:
 * they are constructed with the monitor and added as roles before the node starts.
 */
import type { SessionRoles } from '../../coordination/service/membership/index.js';
import type { OwnerReference } from '../../state/service/jobs/index.js';

export type SessionRole = Pick<SessionRoles, 'isHolder' | 'mustWatch' | 'holders'>;

export class CombinedSessionRoles implements SessionRoles {
  private readonly roles: SessionRole[] = [];

  /** `fleetSize` is the number of running nodes, 1 while unknown. */
  constructor(readonly fleetSize: () => number) {}

  /** Must be called before the node starts. */
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
