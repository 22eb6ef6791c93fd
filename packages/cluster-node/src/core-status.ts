/** Status report: the process group as one core of the platform family sees it, for operators. */
import type { Member } from '@rainrun/messages';
import type { CoordinatorWait } from '@rainrun/process-group';
import type { CoreReplica } from './core-replica.js';
import { tenantStatuses, type QuotaStatusOf, type TenantStatus } from './tenant-status.js';

/** A core in the view. */
export interface MemberStatus {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  readonly voter: boolean;
  /** The version in force there when it last answered; null where it never answered. */
  readonly version: number | null;
  /** How many versions it has still to catch up. */
  readonly behind: number | null;
}

/** A disk that votes. */
export interface VoterStatus {
  readonly name: string;
  readonly disk: string;
  /** Whether it is in the view; one that is not is replaced. */
  readonly member: boolean;
  readonly version: number | null;
}

/** A group as one core sees it. */
export interface CoreStatus {
  readonly node: string;
  readonly zone: string;
  readonly epoch: number;
  /** Null while no coordinator is known. */
  readonly coordinator: string | null;
  /** What this core waits for; absent while a coordinator that commits is known. */
  readonly waiting?: CoordinatorWait;
  /** Newest version in force here, and the newest known to be agreed. */
  readonly version: number;
  readonly agreed: number;
  readonly revision: number;
  readonly evacuated: readonly string[];
  readonly edges: number;
  readonly members: readonly MemberStatus[];
  readonly voters: readonly VoterStatus[];
  /** Absent where the configuration has no tenants. */
  readonly tenants?: readonly TenantStatus[];
}

/**
 * What a core knows of its group and its tenants at this moment, current or not.
 * @example
 * coreStatus(replica).coordinator; // 'core-1'
 */
export function coreStatus(replica: CoreReplica, quotaStatusOf: QuotaStatusOf = () => undefined): CoreStatus {
  const { group, state } = replica;
  const members = group.view?.members ?? [];
  const voters = group.state?.voters ?? [];
  const version = group.state?.number ?? 0;
  const waiting = group.coordinatorWait();
  const tenants = tenantStatuses(state, members, quotaStatusOf);
  function versionOf(member: Member | undefined): number | null {
    if (member === undefined) return null;
    return member.incarnation === group.self.incarnation
      ? version
      : (group.versionAt(member.incarnation) ?? null);
  }
  const newest = Math.max(version, ...members.map((member) => versionOf(member) ?? 0));
  return {
    node: group.self.name,
    zone: group.self.zone,
    epoch: group.epoch,
    coordinator: members.find((member) => member.incarnation === group.coordinatorIncarnation)?.name ?? null,
    ...(waiting === undefined ? {} : { waiting }),
    version,
    agreed: group.committedVersion,
    revision: state.revision,
    evacuated: state.evacuated,
    edges: replica.subscriberCount,
    members: members.map((member) => {
      const memberVersion = versionOf(member);
      return {
        name: member.name,
        zone: member.zone,
        address: member.address,
        voter: voters.some((voter) => voter.disk === member.disk),
        version: memberVersion,
        behind: memberVersion === null ? null : newest - memberVersion,
      };
    }),
    voters: voters.map(({ name, disk }) => {
      const member = members.find((known) => known.disk === disk);
      return { name, disk, member: member !== undefined, version: versionOf(member) };
    }),
    ...(tenants === undefined ? {} : { tenants }),
  };
}
