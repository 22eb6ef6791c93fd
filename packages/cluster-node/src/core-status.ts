/** Status report for operators: the process group as one core of the platform family sees it. */
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
  /** The version that the member had applied when it last answered; null if it has never answered. */
  readonly version: number | null;
  /** Number of versions by which the member lags behind the newest one; null if its version is unknown. */
  readonly behind: number | null;
}

/** A voter, identified by its disk. */
export interface VoterStatus {
  readonly name: string;
  readonly disk: string;
  /** Whether the voter is in the view; a voter outside the view is replaced. */
  readonly member: boolean;
  readonly version: number | null;
}

/** The process group as one core sees it. */
export interface CoreStatus {
  readonly node: string;
  readonly zone: string;
  readonly epoch: number;
  /** Null while no coordinator is known. */
  readonly coordinator: string | null;
  /** What this core is waiting for; absent while it knows a coordinator that commits. */
  readonly waiting?: CoordinatorWait;
  /** The newest version that this core has applied. */
  readonly version: number;
  /** The newest version that this core knows to be committed. */
  readonly agreed: number;
  readonly revision: number;
  readonly evacuated: readonly string[];
  readonly edges: number;
  readonly members: readonly MemberStatus[];
  readonly voters: readonly VoterStatus[];
  /** Status of the tenants; absent if the configuration has no list of tenants. */
  readonly tenants?: readonly TenantStatus[];
}

/**
 * The status of the group and the tenants as this core knows them now; it may be out of date.
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
