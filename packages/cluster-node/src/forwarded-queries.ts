/** Queries of operators that one node forwards to another: sent again until answered, at most for a time-out. Spec family. */
import { create } from '@bufbuild/protobuf';
import {
  ForwardedQuerySchema,
  ForwardedReplySchema,
  type ForwardedQuery,
  type ForwardedReply,
  type Frame,
} from '@rainrun/messages';
import { randomId, type Clock, type RandomSource } from '@rainrun/common';
import { tryOrElse } from 'true-myth/result';

/** A query that was not answered for so long fails. */
const QUERY_TIMEOUT_MS = 1500;
/** How often an unanswered query is sent again. */
const RESEND_INTERVAL_MS = 300;

/** A node's answer to a query from another: an HTTP status and a JSON value. */
export interface QueryResult {
  readonly status: number;
  readonly body: unknown;
}

/** Called once: with the answer, or with nothing where none came in time. */
export type QueryCallback = (result: QueryResult | undefined) => void;

/** What queries need of their node. */
export interface QueryDependencies {
  readonly clock: Clock;
  readonly chance: RandomSource;
  /** Sends to the member of this incarnation. */
  send(incarnation: string, body: Frame['body']): void;
  /** Answers a query that an operator asked at another node. */
  answerQuery(kind: string, text: string): QueryResult;
}

interface PendingQuery {
  readonly to: string;
  readonly query: ForwardedQuery;
  readonly deadlineMs: number;
  sentMs: number;
  readonly done: QueryCallback;
}

/**
 * Both ends of forwarded queries.
 * @example
 * queries.query('incarnation-1', 'status', '', (result) => reply(result));
 * queries.tick(); // every 50 ms
 */
export class ForwardedQueries {
  #dependencies: QueryDependencies;
  #pending = new Map<string, PendingQuery>();

  constructor(dependencies: QueryDependencies) {
    this.#dependencies = dependencies;
  }

  /** Asks the member of an incarnation. */
  query(to: string, kind: string, text: string, done: QueryCallback): void {
    const { chance, clock } = this.#dependencies;
    const query = create(ForwardedQuerySchema, { id: randomId(chance), kind, text });
    const deadlineMs = clock.nowMs() + QUERY_TIMEOUT_MS;
    this.#pending.set(query.id, { to, query, deadlineMs, sentMs: -Infinity, done });
    this.tick();
  }

  /** Sends again what is unanswered, and fails what is past its deadline. */
  tick(): void {
    const nowMs = this.#dependencies.clock.nowMs();
    for (const [id, pending] of this.#pending) {
      if (nowMs > pending.deadlineMs) {
        this.#pending.delete(id);
        pending.done(undefined);
      } else if (nowMs - pending.sentMs >= RESEND_INTERVAL_MS) {
        pending.sentMs = nowMs;
        this.#dependencies.send(pending.to, { case: 'forwardedQuery', value: pending.query });
      }
    }
  }

  /** Answers a query of another node. */
  onQuery(from: string, { id, kind, text }: ForwardedQuery): void {
    const { status, body } = this.#dependencies.answerQuery(kind, text);
    const value = create(ForwardedReplySchema, { id, status, body: JSON.stringify(body) });
    this.#dependencies.send(from, { case: 'forwardedReply', value });
  }

  /** Takes another node's answer; one that cannot be read counts as none. */
  onReply(reply: ForwardedReply): void {
    const pending = this.#pending.get(reply.id);
    this.#pending.delete(reply.id);
    const body = tryOrElse(
      () => undefined,
      () => JSON.parse(reply.body) as unknown,
    );
    pending?.done(body.isOk ? { status: reply.status, body: body.value } : undefined);
  }
}
