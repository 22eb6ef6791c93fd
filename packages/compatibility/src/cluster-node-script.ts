/** The scenario of the cores of a site whose data folders are fixtures. */
import { ClusterNode } from '@rainrun/cluster-node';
import { create } from '@bufbuild/protobuf';
import { WorkerListSchema } from '@rainrun/messages';
import { Result } from 'true-myth';
import { FOUNDERS, ScriptedGroup, SEEDS, type CommonDependencies } from './scripted-group.js';

const FOUNDING_MS = 6000;
const ANSWER_MS = 1000;
const PLACING_MS = 8000;

const SPEC = {
  deployment: 'site',
  zones: ['coast', 'inland'],
  store: { pullsPerMinute: 60, concurrentPulls: 2 },
  workers: { roomMb: 1000, slots: 4 },
  models: [
    { name: 'model-1', sizeMb: 500 },
    { name: 'model-2', sizeMb: 400 },
  ],
  adapters: [{ name: 'adapter-1', model: 'model-1', sizeMb: 10 }],
  groups: [
    { name: 'group-1', share: 1, kinds: [{ name: 'short', targetMs: 800, patienceMs: 5000 }], models: ['*'] },
  ],
  routes: [{ path: '/v1/chat', serve: 'chat' }],
};

/** The operations of the scenario, in order; each takes effect or is rejected. */
const OPERATIONS: readonly (readonly [id: string, kind: string, payload: object])[] = [
  ['op-1', 'spec.put', { base: 0, text: JSON.stringify(SPEC) }],
  ['op-2', 'spec.put', { base: 0, text: '{}' }],
  [
    'op-3',
    'spec.edit',
    { seen: 1, edit: { add: { zones: ['north'] }, remove: { adapters: ['adapter-1'] } } },
  ],
  ['op-4', 'spec.change', { base: 2, patch: { store: { pullsPerMinute: 30 } } }],
  ['op-5', 'zone.empty', { zone: 'inland' }],
  ['op-6', 'zone.empty', { zone: 'north' }],
  ['op-7', 'zone.restore', { zone: 'north' }],
  ['op-8', 'zone.empty', { zone: 'nowhere' }],
];

type SiteGroup = ScriptedGroup<ClusterNode>;

/** A group of cores without members. */
export function newSiteGroup(seed: number): SiteGroup {
  return new ScriptedGroup('site', seed, makeNode);
}

function makeNode(common: CommonDependencies): ClusterNode {
  return new ClusterNode({
    ...common,
    order: (_address, _order, done) => done(Result.ok({ holdings: [], busy: false })),
    onStateChange: () => undefined,
    onCast: () => undefined,
    onNewIncarnation: () => undefined,
    onJoinRejected: (why) => {
      throw new Error(why);
    },
    answerQuery: () => ({ status: 404, body: {} }),
  });
}

function workerList() {
  return create(WorkerListSchema, {
    generation: 1,
    workers: ['worker-1', 'worker-2'].map((name, place) => ({
      name,
      address: `10.0.1.${place + 1}:9000`,
      zone: 'coast',
      kind: 'model',
      pool: 'models',
      draining: false,
    })),
  });
}

/** Three cores that founded a site, executed the operations and placed models. */
export function siteAfterPlacement(): SiteGroup {
  const group = newSiteGroup(SEEDS.first);
  for (const name of FOUNDERS) group.add(name, {});
  group.run(FOUNDING_MS);
  for (const [id, kind, payload] of OPERATIONS) submit(group, id, kind, payload);
  group.leader.publishWorkerList(workerList());
  group.run(PLACING_MS);
  return group;
}

/** Submits an operation at the coordinator and returns its answer. */
function submit(group: SiteGroup, id: string, kind: string, payload: object): string {
  let outcome = '';
  group.leader.submit(id, kind, JSON.stringify(payload), (answer) => {
    outcome = `${answer.kind}: ${answer.detail}`;
  });
  group.runUntil(() => outcome !== '', ANSWER_MS);
  group.run(ANSWER_MS);
  return outcome;
}

/** Operations after a restart, which show what was stored: a repeated, a conflicting and a new one. */
const LATER_OPERATIONS: readonly (readonly [id: string, kind: string, payload: object])[] = [
  ['op-5', 'zone.empty', { zone: 'coast' }],
  ['op-9', 'spec.edit', { seen: 2, edit: { set: { store: { pullsPerMinute: 9, concurrentPulls: 2 } } } }],
  ['op-10', 'zone.restore', { zone: 'inland' }],
];

/** The state of restarted cores, and the answers to further operations. */
export function stateOfSite(group: SiteGroup): unknown {
  for (const { node } of group.cores) node.publishWorkerList(workerList());
  group.run(FOUNDING_MS);
  const { state, group: agreed } = group.leader;
  const {
    spec,
    history,
    evacuatedZones,
    placementEpoch: placedBy,
    placement,
    changedInVersion,
    changesKnownSince,
  } = state;
  return {
    spec: [spec?.version, spec?.operation, spec?.text],
    history: history.map(({ version, operation, bytes }) => [version, operation, bytes]),
    stage: [evacuatedZones, placedBy, changedInVersion, changesKnownSince],
    placement: Object.entries(placement).map(([worker, holdings]) => [
      worker,
      holdings.map(({ model, adapters }) => [model, adapters]),
    ]),
    epoch: agreed.epoch,
    number: agreed.state?.number,
    level: agreed.state?.level,
    clockMs: agreed.state?.clockMs,
    voters: (agreed.state?.voters ?? []).map(({ name, disk }) => [name, disk]),
    members: (agreed.view?.members ?? []).map(({ name, zone, address, disk }) => [name, zone, address, disk]),
    answers: (agreed.state?.answers ?? []).map(({ id, kind, detail, number, clockMs, transient: brief }) => [
      id,
      kind,
      detail,
      number,
      clockMs,
      brief,
    ]),
    later: LATER_OPERATIONS.map(([id, kind, payload]) => submit(group, id, kind, payload)),
    emptied: group.leader.state.evacuatedZones,
  };
}
