import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { EMPTY_DEPLOYMENT, type Deployment } from '@rainrun/configuration';
import { MemberSchema } from '@rainrun/messages';
import { allocatorOf } from '@rainrun/quotas';
import { expect } from 'earl';
import type { CoreReplica } from './core-replica.js';
import { coreStatus } from './core-status.js';
import { tenantStatuses, type TenantQuotaStatus } from './tenant-status.js';

const SECRET = 'sk-secret';

const MEMBERS = [1, 2, 3].map((number) =>
  create(MemberSchema, {
    name: `core-${number}`,
    disk: `disk-${number}`,
    incarnation: `i-${number}`,
    address: `10.0.0.${number}:7600`,
    zone: 'coast',
  }),
);

/** The cores that allocate the quota of tenant north, whose burst of 5 makes two shards. */
const NORTH_ALLOCATORS = [
  ...new Set(['north/0', 'north/1'].map((shard) => allocatorOf(shard, MEMBERS)?.name ?? '')),
].sort();

const QUOTA: TenantQuotaStatus = {
  allocatedHere: true,
  level: 12,
  granted: 340,
  overQuota: 5,
  state: 'serving',
};

function deployment(tenants: unknown): Deployment {
  const document = { revision: 3, routes: [], services: [], ...(tenants === undefined ? {} : { tenants }) };
  return { ...EMPTY_DEPLOYMENT, edition: 1, revision: 3, document };
}

const TENANTS = [
  {
    name: 'north',
    apiKeys: [`${SECRET}-1`, `${SECRET}-2`, `${SECRET}-1`],
    ratePerS: 20,
    burst: 5,
    priority: 0,
    note: SECRET,
  },
  { name: 'south', apiKeys: null, ratePerS: null, burst: null, priority: null },
];

describe('the status of tenants', () => {
  it('shows limits, the number of API keys, the allocating cores and the state of the quota', () => {
    const statuses = tenantStatuses(deployment(TENANTS), MEMBERS, (name) =>
      name === 'north' ? QUOTA : undefined,
    );
    expect(statuses).toEqual([
      {
        name: 'north',
        ratePerS: 20,
        burst: 5,
        priority: 0,
        keys: 2,
        allocators: NORTH_ALLOCATORS,
        quota: QUOTA,
      },
      { name: 'south', ratePerS: 0, burst: 0, priority: null, keys: 0, allocators: [], quota: null },
    ]);
  });

  it('is undefined without a tenant list, so that no request needs a key, and empty for an empty list', () => {
    const found = [undefined, null, []].map((tenants) =>
      tenantStatuses(deployment(tenants), MEMBERS, () => undefined),
    );
    expect(found).toEqual([undefined, undefined, []]);
    expect(tenantStatuses(EMPTY_DEPLOYMENT, MEMBERS, () => undefined)).toEqual(undefined);
  });

  it('shows no allocators while no core with a disk is in the view', () => {
    const statuses = tenantStatuses(deployment(TENANTS), [], () => undefined);
    expect(statuses?.map(({ allocators }) => allocators)).toEqual([[], []]);
  });
});

/** A core that holds this state, reduced to what coreStatus reads. */
function replicaWith(state: Deployment): CoreReplica {
  const [self] = MEMBERS;
  const group = {
    view: { members: MEMBERS },
    state: { voters: [], number: 9 },
    self,
    epoch: 2,
    coordinatorIncarnation: self?.incarnation,
    committedVersion: 9,
    coordinatorWait: () => undefined,
    versionAt: () => 9,
  };
  return { state, group, subscriberCount: 4 } as unknown as CoreReplica;
}

describe('the status of a core', () => {
  it('shows tenants by name, and no part of an API key', () => {
    const text = JSON.stringify(coreStatus(replicaWith(deployment(TENANTS)), () => QUOTA));
    expect([text.includes('"north"'), text.includes('"keys":2'), text.includes('secret')]).toEqual([
      true,
      true,
      false,
    ]);
  });

  it('has no field for tenants if the configuration has no tenant list', () => {
    expect('tenants' in coreStatus(replicaWith(deployment(undefined)))).toEqual(false);
  });
});
