/** What operators may ask and order at any node of the research groups' system. */
import { setTimeout as pause } from 'node:timers/promises';
import type { Member } from '@rainrun/messages';
import { RETAINED_ANSWERS_MAX } from '@rainrun/process-group';
import { isEdit, readEdit, readSpec } from '@rainrun/configuration';
import { randomId, type RandomSource, type Clock } from '@rainrun/common';
import { failure, operationReply, type OperatorReply } from './operator-reply.js';
import { SpecNodeQueries, type NodeQueryDependencies } from './spec-node-queries.js';

const AGREEMENT_TIMEOUT_MS = 5000;
const CURRENT_STATE_TIMEOUT_MS = 1500;
const POLL_MS = 20;
const OPERATION_ID = /^[A-Za-z0-9._-]{1,64}$/;

/** What the operators' side needs of a node. */
export interface SpecOperatorDependencies extends NodeQueryDependencies {
  readonly chance: RandomSource;
  readonly clock: Clock;
}

/**
 * What operators may ask and order. Every node answers the same.
 * @example
 * const operators = new SpecOperatorService(dependencies);
 * const reply = await operators.submit('zone.empty', { zone: 'north' }, '');
 */
export class SpecOperatorService {
  #dependencies: SpecOperatorDependencies;
  /** What this node answers by itself. */
  readonly queries: SpecNodeQueries;

  constructor(dependencies: SpecOperatorDependencies) {
    this.#dependencies = dependencies;
    this.queries = new SpecNodeQueries(dependencies);
  }

  /**
   * Answers once this node holds all that was agreed before the question, so
   * that every node answers alike; one that cannot know says so.
   */
  async readCurrent(read: () => OperatorReply): Promise<OperatorReply> {
    const informed = await this.#waitUntilCurrent();
    const { status, body } = read();
    return informed
      ? { status, body }
      : { status, body: { ...(body as Record<string, unknown>), stale: true } };
  }

  async #waitUntilCurrent(): Promise<boolean> {
    const { group } = this.#dependencies.clusterNode;
    const askedMs = this.#dependencies.clock.nowMs();
    while (group.currentAsOfMs() < askedMs) {
      if (group.view === undefined || this.#dependencies.clock.nowMs() - askedMs > CURRENT_STATE_TIMEOUT_MS)
        return false;
      await pause(POLL_MS);
    }
    return true;
  }

  check(text: string): OperatorReply {
    const read = readSpec(text);
    if (read.isErr) return failure('bad-spec', 'the spec has faults', { faults: read.error });
    return { status: 200, body: { ok: true } };
  }

  /** How an operation ended; one that is chosen and not yet agreed is waited for a little. */
  async operation(id: string): Promise<OperatorReply> {
    const { group } = this.#dependencies.clusterNode;
    await this.#waitUntilCurrent();
    const endMs = this.#dependencies.clock.nowMs() + CURRENT_STATE_TIMEOUT_MS;
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
      : operationReply(answer);
  }

  #query(incarnation: string, kind: string, text: string): Promise<OperatorReply | undefined> {
    const { clusterNode } = this.#dependencies;
    if (incarnation === clusterNode.group.self.incarnation)
      return Promise.resolve(this.queries.answer(kind, text));
    return new Promise((resolve) => clusterNode.query(incarnation, kind, text, resolve));
  }

  /** What the coordinator knows; it hears every measure and decides every placement. */
  async queryCoordinator(kind: string, text: string): Promise<OperatorReply> {
    await this.#waitUntilCurrent();
    const { group } = this.#dependencies.clusterNode;
    const incarnation = group.coordinatorIncarnation;
    const name = group.view?.members.find((member) => member.incarnation === incarnation)?.name ?? '';
    if (incarnation === undefined)
      return failure('unreached', 'no coordinator can be reached from here, and only it knows');
    return (
      (await this.#query(incarnation, kind, text)) ??
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
      (await this.#query(member.incarnation, 'explain', id)) ??
      failure('unreached', `${name} did not answer, and only it knows`)
    );
  }

  /** One row for a node, or for each node of the fleet; one that does not answer has a row that says so. */
  async queryNodes(kind: 'status' | 'counters', name: string): Promise<OperatorReply> {
    const members = this.#dependencies.clusterNode.group.view?.members ?? [
      this.#dependencies.clusterNode.group.self,
    ];
    const asked = name === '' ? members : members.filter((member) => member.name === name);
    if (asked.length === 0) return failure('not-found', `${name} is not in the view`);
    const rows = await Promise.all(
      asked.map(
        async (member) =>
          (await this.#query(member.incarnation, kind, ''))?.body ?? {
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
    return this.submit('spec.put', { base: base ?? (await this.#currentVersion()), text }, wishedId);
  }

  /** Makes a change: an edit that names its entries, or a merge patch. */
  async change(data: unknown, base: number | undefined, wishedId: string): Promise<OperatorReply> {
    const based = base === undefined ? {} : { base };
    if (!isEdit(data)) return this.submit('spec.change', { ...based, patch: data }, wishedId);
    const read = readEdit(data);
    if (read.isErr) return failure('bad-request', 'the change has faults', { faults: read.error });
    return this.submit('spec.edit', { ...based, seen: await this.#currentVersion(), edit: data }, wishedId);
  }

  /** The version in force now, all that was agreed before the question included. */
  async #currentVersion(): Promise<number> {
    await this.#waitUntilCurrent();
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
        AGREEMENT_TIMEOUT_MS,
      );
      const sent = this.#dependencies.clusterNode.submit(id, kind, JSON.stringify(data), (answer) => {
        clearTimeout(timer);
        resolve(operationReply(answer));
      });
      if (sent.isOk) return;
      clearTimeout(timer);
      resolve(failure(sent.error.kind, sent.error.detail, { id }));
    });
  }
}
