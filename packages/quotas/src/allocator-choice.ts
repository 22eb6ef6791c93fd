/** Which core allocates the quota of a tenant: rendezvous hashing over the cores of a view. */
import type { Member } from '@rainrun/messages';
import { spread } from '@rainrun/common';

/**
 * The core that allocates a tenant's quota: the same for all who know the same view, and another one only if that
 * core left the view or one came that ranks higher. Undefined where no member has a disk.
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
