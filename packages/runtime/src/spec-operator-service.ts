/** Operator calls of the research groups' system, which every node accepts. */
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

/** What the operator service needs from its node. */
export interface SpecOperatorDependencies extends NodeQueryDependencies {
  readonly chance: RandomSource;
  readonly clock: Clock;
}

/**
 * Executes operator calls: queries and changes. Every node gives the same answers.
 * @example
 * const operators = new SpecOperatorService(dependencies);
 * const reply = await operators.submit('zone.empty', { zone: 'north' }, '');
 */
export class SpecOperatorService {
  #dependencies: SpecOperatorDependencies;
  /** Queries that this node answers from its own state. */
  readonly queries: SpecNodeQueries;

  constructor(dependencies: SpecOperatorDependencies) {
    this.#dependencies = dependencies;
    this.queries = new SpecNodeQueries(dependencies);
  }

  /**
   * Answers once this node has applied all that was agreed before the call, so that every node gives the same
   * answer. A node that cannot confirm this in time marks its answer as `stale`.
   */
  async readCurrent(read: () => OperatorReply): Promise<OperatorReply> {
    const isCurrent = await this.#waitUntilCurrent();
    const { status, body } = read();
    return isCurrent
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

  /** The outcome of an operation; waits a short time for one that is chosen but not yet agreed. */
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

  /** Queries the coordinator, which receives every measurement and decides every placement. */
  async queryCoordinator(kind: string, text: string): Promise<OperatorReply> {
    await this.#waitUntilCurrent();
    const { group } = this.#dependencies.clusterNode;
    const incarnation = group.coordinatorIncarnation;
    const name = group.view?.members.find((member) => member.incarnation === incarnation)?.name ?? '';
    if (incarnation === undefined)
      return failure('unreached', 'this node reaches no coordinator, and only the coordinator can answer');
    return (
      (await this.#query(incarnation, kind, text)) ??
      failure('unreached', `coordinator ${name} did not answer`)
    );
  }

  /**
   * Asks the edge that received a request how it ended; the edge's name precedes the last dot of the request
   * id.
   */
  async explain(id: string): Promise<OperatorReply> {
    const name = id.slice(0, Math.max(0, id.lastIndexOf('.')));
    const member = this.#member(name);
    if (name === '') return failure('bad-request', `"${id}" is not a request id of the form EDGE.WORD`);
    if (member === undefined)
      return failure('unreached', `edge ${name} is not in the view, and only it can answer`);
    return (
      (await this.#query(member.incarnation, 'explain', id)) ??
      failure('unreached', `edge ${name} did not answer, and only it can answer`)
    );
  }

  /**
   * One row for the named node, or for every node in the view; the row of a node that does not answer says
   * so.
   */
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
   * Replaces the whole spec. Without `base`, the base is the version in force at the time of the call, so
   * that of two concurrent calls one succeeds and the other gets a conflict.
   */
  async put(text: string, base: number | undefined, requestedId: string): Promise<OperatorReply> {
    return this.submit('spec.put', { base: base ?? (await this.#currentVersion()), text }, requestedId);
  }

  /** Changes the spec by an edit that names its entries, or by a merge patch. */
  async change(data: unknown, base: number | undefined, requestedId: string): Promise<OperatorReply> {
    const baseField = base === undefined ? {} : { base };
    if (!isEdit(data)) return this.submit('spec.change', { ...baseField, patch: data }, requestedId);
    const read = readEdit(data);
    if (read.isErr) return failure('bad-request', 'the change has faults', { faults: read.error });
    return this.submit(
      'spec.edit',
      { ...baseField, seen: await this.#currentVersion(), edit: data },
      requestedId,
    );
  }

  /** The version in force, including all that was agreed before the call. */
  async #currentVersion(): Promise<number> {
    await this.#waitUntilCurrent();
    return this.#dependencies.clusterNode.state.spec?.version ?? 0;
  }

  /** Submits an operation and waits at most `AGREEMENT_TIMEOUT_MS` for its agreed answer. */
  submit(kind: string, data: unknown, requestedId: string): Promise<OperatorReply> {
    if (requestedId !== '' && !OPERATION_ID.test(requestedId))
      return Promise.resolve(
        failure(
          'bad-request',
          'the operation id must be 1 to 64 letters, digits, dots, underscores or hyphens',
        ),
      );
    if (this.#dependencies.clusterNode.group.isRetentionFull) {
      return Promise.resolve(
        failure(
          'over-share',
          `${RETAINED_ANSWERS_MAX} operations were answered in the last ten minutes; nothing was sent`,
        ),
      );
    }
    const id = requestedId === '' ? randomId(this.#dependencies.chance) : requestedId;
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
