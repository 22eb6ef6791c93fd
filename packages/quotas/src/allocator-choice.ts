/** Chooses the core that allocates the quota of a tenant, by rendezvous hashing over the cores of a view. */
import type { Member } from '@rainrun/messages';
import { spread } from '@rainrun/common';

/**
 * Returns the core that allocates a tenant's quota, or undefined if no member has a disk. All nodes with the
 * same view choose the same core; the choice changes only if that core leaves the view or a core that ranks
 * higher joins.
 * @example
 * allocatorOf('tenant-1', view.members)?.address; // '10.0.0.4:7001'
 */
export function allocatorOf(tenant: string, members: readonly Member[]): Member | undefined {
  let chosen: Member | undefined;
  let highest = -1;
  for (const member of members) {
    if (member.disk === '') continue;
    const rank = spread(`${tenant} ${member.name}`);
    if (rank > highest || (rank === highest && member.name < (chosen?.name ?? ''))) {
      chosen = member;
      highest = rank;
    }
  }
  return chosen;
}
