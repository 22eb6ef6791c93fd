/** The scenarios of core replicas whose data folders are fixtures. */
import { CoreReplica, coreStatus } from '@rainrun/cluster-node';
import { STRICT_QUOTA_BOUNDS } from '@rainrun/quotas';
import { FOUNDERS, ScriptedGroup, SEEDS, type CommonDependencies } from './scripted-group.js';

const FOUNDING_MS = 6000;
const ANSWER_MS = 1000;
const REPLACING_MS = 60_000;

const ROUTE = {
  name: 'answers',
  host: 'answers.example',
  prefix: '/',
  kind: 'streaming',
  service: 'answers',
  timeoutMs: 5000,
};
const DOCUMENT = {
  revision: 3,
  routes: [ROUTE],
  services: [{ name: 'answers', engine: { slots: 4, models: [{ name: 'model-1', sizeMb: 500 }] } }],
  limits: { idleMs: 9000 },
  note: { kept: true, text: 'ünïcode' },
};

/** The operations of the scenario, in order; each takes effect or is rejected. */
const OPERATIONS: readonly (readonly [kind: string, payload: object])[] = [
  ['configuration.put', { base: 0, document: DOCUMENT }],
  [
    'configuration.patch',
    { base: 3, patch: { revision: 5, set: { routes: [{ ...ROUTE, name: 'more', prefix: '/more' }] } } },
  ],
  ['configuration.put', { base: 3, document: { ...DOCUMENT, revision: 6 } }],
  ['configuration.patch', { base: 5, patch: { revision: 8, drop: { routes: ['answers'] } } }],
  ['zone.evacuate', { zone: 'north' }],
  ['zone.evacuate', { zone: 'inland' }],
  ['zone.return', { zone: 'inland', seen: 5 }],
];

type CoreGroup = ScriptedGroup<CoreReplica>;

/** A group of cores without members. */
export function newCoreGroup(seed: number): CoreGroup {
  return new ScriptedGroup('system', seed, makeCore);
}

function makeCore(common: CommonDependencies): CoreReplica {
  return new CoreReplica({
    ...common,
    quota: STRICT_QUOTA_BOUNDS,
    order: () => undefined,
    report: () => undefined,
    onStateChange: () => undefined,
    onNewIncarnation: () => undefined,
    onJoinRejected: (why) => {
      throw new Error(why);
    },
    onPlacementDecision: () => undefined,
  });
}

/** Three cores that founded a deployment and executed the operations. */
export function coresAfterOperations(): CoreGroup {
  const group = newCoreGroup(SEEDS.first);
  for (const name of FOUNDERS) group.add(name, {});
  group.run(FOUNDING_MS);
  for (const [kind, payload] of OPERATIONS) submit(group, kind, payload);
  return group;
}

/** The cores of `coresAfterOperations` while a new core replaces a lost one as voter. */
export function coresReplacingVoter(): CoreGroup {
  const group = coresAfterOperations();
  group.kill('core-3');
  group.add('core-4', {});
  group.runUntil(
    () => group.cores.every(({ acceptor }) => (acceptor.accepted?.state?.previousVoters ?? []).length > 0),
    REPLACING_MS,
  );
  return group;
}

/** Submits an operation at the coordinator and returns its answer. */
function submit(group: CoreGroup, kind: string, payload: object): string {
  let outcome = '';
  group.leader.submit(kind, payload, (answer) => {
    outcome = `${answer.kind}: ${answer.detail}`;
  });
  group.runUntil(() => outcome !== '', ANSWER_MS);
  group.run(ANSWER_MS);
  return outcome;
}

/** Operations after a restart, which show what was stored: a repeated one, outdated ones and a new one. */
const LATER_OPERATIONS: readonly (readonly [kind: string, payload: object])[] = [
  ['configuration.patch', { base: 5, patch: { revision: 8, drop: { routes: ['answers'] } } }],
  ['zone.return', { zone: 'inland', seen: 4 }],
  ['zone.evacuate', { zone: 'inland', seen: 4 }],
  ['zone.return', { zone: 'north', seen: 6 }],
];

/** The state of restarted cores, and the answers to further operations. */
export function stateOfCores(group: CoreGroup): unknown {
  group.run(FOUNDING_MS);
  const { state, group: agreed } = group.leader;
  return {
    status: coreStatus(group.leader),
    deployment: [state.edition, state.revision, state.evacuated, state.zones, state.document],
    taken: [
      state.accepted.forgottenRevision,
      state.accepted.changes.map(({ revision, digest }) => [revision, digest]),
    ],
    answers: (agreed.state?.answers ?? []).map(({ id, kind, detail, number, clockMs, transient: brief }) => [
      id,
      kind,
      detail,
      number,
      clockMs,
      brief,
    ]),
    clockMs: agreed.state?.clockMs,
    level: agreed.state?.level,
    later: LATER_OPERATIONS.map(([kind, payload]) => submit(group, kind, payload)),
    evacuated: group.leader.state.evacuated,
  };
}
