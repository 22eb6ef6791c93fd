/** Operator queries that a node of the research groups' system answers from its own state. */
import type { EndRecord } from '@rainrun/gateway';
import type { ClusterNode } from '@rainrun/cluster-node';
import { failure, type OperatorReply } from './operator-reply.js';

/** What the queries need from their node. */
export interface NodeQueryDependencies {
  readonly clusterNode: ClusterNode;
  counters(): Record<string, number>;
  /** The end record of a request that arrived at this node. */
  explain(id: string): Omit<EndRecord, 'body'> | undefined;
}

/**
 * Answers queries from the current state of this node, without waiting and without asking other nodes.
 * @example
 * const queries = new SpecNodeQueries(dependencies);
 * queries.answer('status', '').body; // { node: 'edge-1', zone: 'north', ... }
 */
export class SpecNodeQueries {
  #dependencies: NodeQueryDependencies;

  constructor(dependencies: NodeQueryDependencies) {
    this.#dependencies = dependencies;
  }

  view(): OperatorReply {
    const { group } = this.#dependencies.clusterNode;
    const groupState = group.state;
    return {
      status: 200,
      body: {
        disk: group.self.disk,
        self: { name: group.self.name, incarnation: group.self.incarnation, zone: group.self.zone },
        admitting: group.holdsLease(),
        coordinator:
          groupState?.view.members.find((member) => member.incarnation === group.coordinatorIncarnation)
            ?.name ?? null,
        epoch: group.epoch,
        number: groupState?.number ?? 0,
        level: groupState?.level ?? 0,
        agreed: group.committedVersion,
        view: group.view === undefined ? null : { epoch: group.view.epoch, number: group.view.number },
        members: (group.view?.members ?? []).map(({ name, zone, address, disk, maxLevel: speaks }) => ({
          name,
          zone,
          address,
          core: disk !== '',
          speaks: Math.max(1, speaks),
        })),
        voters: (groupState?.voters ?? []).map(({ name, disk }) => ({ name, disk })),
      },
    };
  }

  spec(): OperatorReply {
    const record = this.#dependencies.clusterNode.state.spec;
    if (record === undefined) return failure('not-found', 'no spec has been agreed yet');
    return { status: 200, body: { version: record.version, operation: record.operation, text: record.text } };
  }

  history(): OperatorReply {
    return { status: 200, body: { history: this.#dependencies.clusterNode.state.history } };
  }

  zones(): OperatorReply {
    const { state: specState } = this.#dependencies.clusterNode;
    const zones = (specState.spec?.spec.zones ?? []).map((zone) => ({
      zone,
      emptied: specState.evacuatedZones.includes(zone),
    }));
    return { status: 200, body: { zones } };
  }

  #workers(): OperatorReply {
    const { clusterNode } = this.#dependencies;
    const workers = clusterNode.workers().map((worker) => ({
      name: worker.name,
      address: worker.address,
      zone: worker.zone,
      kind: worker.kind,
      pool: worker.pool,
      status: worker.draining
        ? 'leaving'
        : worker.evacuated
          ? 'emptied'
          : worker.reachable
            ? 'ready'
            : 'unreached',
      target: clusterNode.state.placement[worker.name] ?? [],
      holdings: worker.holdings,
    }));
    return { status: 200, body: { workers } };
  }

  #groups(): OperatorReply {
    const { clusterNode } = this.#dependencies;
    const measured = clusterNode.groups;
    const groups = (clusterNode.state.spec?.spec.groups ?? []).flatMap((group) =>
      group.kinds.map((kind) => {
        const measurement = measured.find((known) => known.group === group.name && known.kind === kind.name);
        const {
          served = 0,
          refused = 0,
          prompt = 0,
          waitMs = 0,
          inFlight = 0,
          backlog = 0,
        } = measurement ?? {};
        return {
          group: group.name,
          kind: kind.name,
          share: group.share,
          targetMs: kind.targetMs,
          measuredMs: Math.round(waitMs),
          prompt: served === 0 ? null : Number((prompt / served).toFixed(4)),
          served,
          refused,
          inFlight,
          backlog,
        };
      }),
    );
    return { status: 200, body: { groups } };
  }

  metrics(): string {
    const lines: string[] = [];
    for (const [name, value] of Object.entries(this.#dependencies.counters())) {
      lines.push(`rainrun_${name.replace(/[^A-Za-z0-9]/g, '_')} ${value}`);
    }
    return `${lines.join('\n')}\n`;
  }

  ready(): OperatorReply {
    const admitting =
      this.#dependencies.clusterNode.group.holdsLease() &&
      this.#dependencies.clusterNode.state.spec !== undefined;
    return { status: admitting ? 200 : 503, body: { admitting } };
  }

  #explain(id: string): OperatorReply {
    const record = this.#dependencies.explain(id);
    const { name } = this.#dependencies.clusterNode.group.self;
    return record === undefined
      ? failure('not-found', `${name} does not remember request ${id}`)
      : { status: 200, body: { edge: name, ...record } };
  }

  #explainModel(model: string): OperatorReply {
    const { clusterNode } = this.#dependencies;
    if (clusterNode.state.spec?.spec.models.some((known) => known.name === model) !== true)
      return failure('not-found', `no model "${model}" in the spec`);
    const copies = Object.entries(clusterNode.state.placement)
      .filter(([, holdings]) => holdings.some((holding) => holding.model === model))
      .map(([worker]) => worker);
    return {
      status: 200,
      body: {
        model,
        copies,
        reason: clusterNode.reason(model) ?? 'decided by an earlier coordinator',
        placedBy: clusterNode.state.placementEpoch,
      },
    };
  }

  #forget(name: string): OperatorReply {
    if (this.#dependencies.clusterNode.group.excludeNode(name))
      return { status: 200, body: { outcome: 'noted', name } };
    return failure(
      'conflict',
      `${this.#dependencies.clusterNode.group.self.name} is no longer the coordinator; ask again`,
    );
  }

  #status(): OperatorReply {
    const { group } = this.#dependencies.clusterNode;
    const { inFlight = 0, backlog = 0 } = this.#dependencies.counters();
    const { name, zone } = group.self;
    const shared = {
      admitting: group.holdsLease(),
      leading: group.isCoordinator,
      epoch: group.epoch,
      number: group.state?.number ?? 0,
    };
    return {
      status: 200,
      body: {
        node: name,
        zone,
        ...shared,
        view: group.view?.number ?? 0,
        level: group.state?.level ?? 0,
        inFlight,
        backlog,
      },
    };
  }

  #counters(): OperatorReply {
    return {
      status: 200,
      body: { node: this.#dependencies.clusterNode.group.self.name, ...this.#dependencies.counters() },
    };
  }

  /** Answers a query that another node or this one forwards for an operator. */
  answer(kind: string, text: string): OperatorReply {
    switch (kind) {
      case 'workers':
        return this.#workers();
      case 'groups':
        return this.#groups();
      case 'explain':
        return this.#explain(text);
      case 'explainModel':
        return this.#explainModel(text);
      case 'forget':
        return this.#forget(text);
      case 'status':
        return this.#status();
      case 'counters':
        return this.#counters();
      default:
        return failure('bad-request', `unknown query "${kind}"`);
    }
  }
}
