import { setTimeout as pause } from 'node:timers/promises';
import type { Answer, Member } from '@rainrun/messages';
import type { EndRecord } from '@rainrun/gateway';
import type { ClusterNode } from '@rainrun/cluster-node';
import { RETAINED_ANSWERS_MAX } from '@rainrun/process-group';
import { isEdit, readEdit, readSpec } from '@rainrun/configuration';
import {
  FAULT_RESPONSES,
  isFaultKind,
  randomId,
  type RandomSource,
  type Clock,
  type FaultKind,
} from '@rainrun/common';

/** An answer to an operator. */
export interface OperatorReply {
  readonly status: number;
  readonly body: unknown;
}

const ANSWER_WAIT_MS = 5000;
const FRESH_WAIT_MS = 1500;
const POLL_MS = 20;
const OPERATION_ID = /^[A-Za-z0-9._-]{1,64}$/;

/** What the operators' side needs of a node. */
export interface OperatorDependencies {
  readonly clusterNode: ClusterNode;
  readonly chance: RandomSource;
  readonly clock: Clock;
  counters(): Record<string, number>;
  explain(id: string): Omit<EndRecord, 'body'> | undefined;
}

function failure(kind: FaultKind, message: string, more: Record<string, unknown> = {}): OperatorReply {
  const row = FAULT_RESPONSES[kind];
  return { status: row.status, body: { error: { kind, message, ran: row.ran, ...more } } };
}

function decided(answer: Answer): OperatorReply {
  const { id, kind, detail, number } = answer;
  if (isFaultKind(kind)) return failure(kind, detail, { id, number });
  return { status: 200, body: { id, outcome: kind, detail, number } };
}

/**
 * What operators may ask and order. Every node answers the same.
 * @example
 * const operators = new Operators(dependencies);
 * const reply = await operators.submit('zone.empty', { zone: 'north' }, '');
 */
export class Operators {
  #dependencies: OperatorDependencies;

  constructor(dependencies: OperatorDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Answers once this node holds all that was agreed before the question, so
   * that every node answers alike; one that cannot know says so.
   */
  async fresh(read: () => OperatorReply): Promise<OperatorReply> {
    const informed = await this.#informed();
    const { status, body } = read();
    return informed
      ? { status, body }
      : { status, body: { ...(body as Record<string, unknown>), stale: true } };
  }

  async #informed(): Promise<boolean> {
    const { group } = this.#dependencies.clusterNode;
    const askedMs = this.#dependencies.clock.nowMs();
    while (group.currentAsOfMs() < askedMs) {
      if (group.view === undefined || this.#dependencies.clock.nowMs() - askedMs > FRESH_WAIT_MS)
        return false;
      await pause(POLL_MS);
    }
    return true;
  }

  view(): OperatorReply {
    const { group } = this.#dependencies.clusterNode;
    const held = group.state;
    return {
      status: 200,
      body: {
        disk: group.self.disk,
        self: { name: group.self.name, incarnation: group.self.incarnation, zone: group.self.zone },
        admitting: group.holdsLease(),
        coordinator:
          held?.view.members.find((member) => member.incarnation === group.coordinatorIncarnation)?.name ??
          null,
        epoch: group.epoch,
        number: held?.number ?? 0,
        level: held?.level ?? 0,
        agreed: group.committedVersion,
        view: group.view === undefined ? null : { epoch: group.view.epoch, number: group.view.number },
        members: (group.view?.members ?? []).map(({ name, zone, address, disk, maxLevel: speaks }) => ({
          name,
          zone,
          address,
          core: disk !== '',
          speaks: Math.max(1, speaks),
        })),
        voters: (held?.voters ?? []).map(({ name, disk }) => ({ name, disk })),
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

  check(text: string): OperatorReply {
    const read = readSpec(text);
    if (read.isErr) return failure('bad-spec', 'the spec has faults', { faults: read.error });
    return { status: 200, body: { ok: true } };
  }

  /** How an operation ended; one that is chosen and not yet agreed is waited for a little. */
  async operation(id: string): Promise<OperatorReply> {
    const { group } = this.#dependencies.clusterNode;
    await this.#informed();
    const endMs = this.#dependencies.clock.nowMs() + FRESH_WAIT_MS;
    while (
      group.state?.answers.some((answer) => answer.id === id) === true &&
      group.operationResult(id) === undefined
    ) {
      if (this.#dependencies.clock.nowMs() > endMs)
        return failure('operation-unknown', 'not known to be agreed yet; ask again', { id });
      await pause(POLL_MS);
    }
    const answer = group.operationResult(id);
    return answer === undefined
      ? failure('not-found', `nothing agreed is known of operation ${id}`, { id })
      : decided(answer);
  }

  zones(): OperatorReply {
    const { state: stage } = this.#dependencies.clusterNode;
    const zones = (stage.spec?.spec.zones ?? []).map((zone) => ({
      zone,
      emptied: stage.evacuatedZones.includes(zone),
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
        const picture = measured.find((known) => known.group === group.name && known.kind === kind.name);
        const { served = 0, refused = 0, prompt = 0, waitMs = 0, inFlight = 0, backlog = 0 } = picture ?? {};
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
        reason: clusterNode.reason(model) ?? 'decided before the present coordinator led',
        placedBy: clusterNode.state.placedBy,
      },
    };
  }

  #forget(name: string): OperatorReply {
    if (this.#dependencies.clusterNode.group.excludeNode(name))
      return { status: 200, body: { outcome: 'noted', name } };
    return failure(
      'conflict',
      `${this.#dependencies.clusterNode.group.self.name} coordinates no more; ask again`,
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

  /** Answers a question for the node at which an operator asked it. */
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
        return failure('bad-request', `no question "${kind}"`);
    }
  }

  #ask(incarnation: string, kind: string, text: string): Promise<OperatorReply | undefined> {
    const { clusterNode } = this.#dependencies;
    if (incarnation === clusterNode.group.self.incarnation) return Promise.resolve(this.answer(kind, text));
    return new Promise((resolve) => clusterNode.query(incarnation, kind, text, resolve));
  }

  /** What the coordinator knows; it hears every measure and decides every placement. */
  async fromCoordinator(kind: string, text: string): Promise<OperatorReply> {
    await this.#informed();
    const { group } = this.#dependencies.clusterNode;
    const incarnation = group.coordinatorIncarnation;
    const name = group.view?.members.find((member) => member.incarnation === incarnation)?.name ?? '';
    if (incarnation === undefined)
      return failure('unreached', 'no coordinator can be reached from here, and only it knows');
    return (
      (await this.#ask(incarnation, kind, text)) ??
      failure('unreached', `${name} coordinates, and did not answer`)
    );
  }

  /** What the edge knows that a request came to: its name stands before the dot in the id. */
  async explain(id: string): Promise<OperatorReply> {
    const name = id.slice(0, Math.max(0, id.lastIndexOf('.')));
    const member = this.#member(name);
    if (name === '') return failure('bad-request', `"${id}" is no id of a request: EDGE.WORD`);
    if (member === undefined) return failure('unreached', `${name} is not in the view, and only it knows`);
    return (
      (await this.#ask(member.incarnation, 'explain', id)) ??
      failure('unreached', `${name} did not answer, and only it knows`)
    );
  }

  /** One row for a node, or for each node of the fleet; one that does not answer has a row that says so. */
  async rows(kind: 'status' | 'counters', name: string): Promise<OperatorReply> {
    const members = this.#dependencies.clusterNode.group.view?.members ?? [
      this.#dependencies.clusterNode.group.self,
    ];
    const asked = name === '' ? members : members.filter((member) => member.name === name);
    if (asked.length === 0) return failure('not-found', `${name} is not in the view`);
    const rows = await Promise.all(
      asked.map(
        async (member) =>
          (await this.#ask(member.incarnation, kind, ''))?.body ?? {
            node: member.name,
            error: 'did not answer',
          },
      ),
    );
    return { status: 200, body: { [kind]: rows } };
  }

  #member(name: string): Member | undefined {
    return this.#dependencies.clusterNode.group.view?.members.find((member) => member.name === name);
  }

  /**
   * Puts a whole spec in force. Without a base it is meant for the version
   * that is in force when this node is asked, so that of two that race one
   * wins and the other is told.
   */
  async put(text: string, base: number | undefined, wishedId: string): Promise<OperatorReply> {
    return this.submit('spec.put', { base: base ?? (await this.#newest()), text }, wishedId);
  }

  /** Makes a change: an edit that names its entries, or a merge patch. */
  async change(data: unknown, base: number | undefined, wishedId: string): Promise<OperatorReply> {
    const based = base === undefined ? {} : { base };
    if (!isEdit(data)) return this.submit('spec.change', { ...based, patch: data }, wishedId);
    const read = readEdit(data);
    if (read.isErr) return failure('bad-request', 'the change has faults', { faults: read.error });
    return this.submit('spec.edit', { ...based, seen: await this.#newest(), edit: data }, wishedId);
  }

  /** The version in force now, all that was agreed before the question included. */
  async #newest(): Promise<number> {
    await this.#informed();
    return this.#dependencies.clusterNode.state.spec?.version ?? 0;
  }

  /** Submits an operation and waits a while for the agreed answer. */
  submit(kind: string, data: unknown, wishedId: string): Promise<OperatorReply> {
    if (wishedId !== '' && !OPERATION_ID.test(wishedId))
      return Promise.resolve(failure('bad-request', 'the operation id is not a word of up to 64 letters'));
    if (this.#dependencies.clusterNode.group.isFull) {
      return Promise.resolve(
        failure(
          'over-share',
          `${RETAINED_ANSWERS_MAX} operations were answered in the last ten minutes; nothing was sent`,
        ),
      );
    }
    const id = wishedId === '' ? randomId(this.#dependencies.chance) : wishedId;
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => resolve(failure('operation-unknown', 'not known to be agreed yet; ask by id', { id })),
        ANSWER_WAIT_MS,
      );
      const sent = this.#dependencies.clusterNode.submit(id, kind, JSON.stringify(data), (answer) => {
        clearTimeout(timer);
        resolve(decided(answer));
      });
      if (sent.isOk) return;
      clearTimeout(timer);
      resolve(failure(sent.error.kind, sent.error.detail, { id }));
    });
  }
}
