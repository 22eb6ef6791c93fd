/** The data plane of an edge of the spec family: connects the gateway to the edge's node. */
import { create } from '@bufbuild/protobuf';
import { ObservationSchema } from '@rainrun/messages';
import { Gateway, type Sender } from '@rainrun/gateway';
import type { RandomSource, Clock } from '@rainrun/common';
import { Loop, type LoopSettings } from '@rainrun/placement';
import type { ClusterNode } from './cluster-node.js';

/** Settings of the feedback loops that adjust the weights of the research groups. */
export const LOOP_SETTINGS: LoopSettings = {
  gain: 0.5,
  integralPerS: 0.1,
  min: 0.25,
  max: 4,
  stepPerS: 0.2,
  deadBand: 0.1,
};

/** Interval at which an edge casts its observation, in milliseconds. */
export const OBSERVE_MS = 500;

/**
 * The data plane of an edge, connected to its node: the gateway reads the node's state, workers and lease,
 * and its measures are cast to the other nodes.
 * @example
 * const edge = new SpecEdge(clusterNode, 'edge-1', 'north', clock, chance, sender);
 * edge.gateway.admit(request, sink);
 * edge.observe(); // every OBSERVE_MS
 */
export class SpecEdge {
  #clusterNode: ClusterNode;
  #loopSettings: LoopSettings;
  #loops = new Map<string, Loop>();
  readonly gateway: Gateway;

  constructor(
    clusterNode: ClusterNode,
    name: string,
    zone: string,
    clock: Clock,
    chance: RandomSource,
    sender: Sender,
    loops: LoopSettings = LOOP_SETTINGS,
  ) {
    this.#loopSettings = loops;
    this.#clusterNode = clusterNode;
    this.gateway = new Gateway({
      name,
      zone,
      clock,
      chance,
      sender,
      spec: () => clusterNode.state.spec?.spec,
      workers: () => clusterNode.workers(),
      edges: () => clusterNode.edges,
      incarnation: () => clusterNode.group.self.incarnation,
      hasLease: () => clusterNode.group.holdsLease(),
      weight: (group) => this.#weight(group),
    });
  }

  /**
   * Casts the measures of the gateway since the last call, and updates the loops that adjust group weights.
   */
  observe(): void {
    const { measures: measured, demands, faults } = this.gateway.takeMeasures();
    const measures = [...measured];
    const measuredGroups = new Set(measures.map((measure) => measure.group));
    for (const { name } of this.#clusterNode.state.spec?.spec.groups ?? []) {
      const current = this.gateway.groupNow(name);
      if (measuredGroups.has(name) || current.inFlight + current.backlog === 0) continue;
      measures.push({ group: name, kind: '', served: 0, refused: 0, prompt: 0, waitSumMs: 0 });
    }
    const observation = create(ObservationSchema, {
      demands: demands.map((demand) => ({ $typeName: 'rainrun.v1.Demand' as const, ...demand })),
      loads: this.#clusterNode.workers().map((worker) => ({
        $typeName: 'rainrun.v1.WorkerLoad' as const,
        worker: worker.name,
        inFlight: this.gateway.workerInFlight(worker.name),
        faults: faults.get(worker.name) ?? 0,
      })),
      groups: measures.map(({ group, kind, served, refused, prompt, waitSumMs }) => ({
        $typeName: 'rainrun.v1.GroupMeasure' as const,
        group,
        kind,
        served,
        refused,
        withinTarget: prompt,
        waitMs: served === 0 ? 0 : Math.round(waitSumMs / served),
        ...this.gateway.groupNow(group),
      })),
    });
    this.#clusterNode.observe(observation);
    this.#updateLoops();
  }

  #weight(group: string): number {
    const share = this.#clusterNode.state.spec?.spec.groups.find((known) => known.name === group)?.share ?? 1;
    return share * (this.#loops.get(group)?.output ?? 1);
  }

  #updateLoops(): void {
    const statuses = this.#clusterNode.groups;
    for (const { name, kinds } of this.#clusterNode.state.spec?.spec.groups ?? []) {
      const measured = statuses.filter((status) => status.group === name && status.served > 0);
      if (measured.length === 0) continue;
      const ratios = measured.map(
        (status) => status.waitMs / (kinds.find((kind) => kind.name === status.kind)?.targetMs ?? Infinity),
      );
      const loop = this.#loops.get(name) ?? new Loop(this.#loopSettings);
      this.#loops.set(name, loop);
      loop.move(Math.max(...ratios), OBSERVE_MS / 1000);
    }
  }
}
