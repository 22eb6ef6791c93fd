/**
 * Operators' queries that one node forwards to another, resent until they are answered or time out. Spec
 * family.
 */
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

/** A query fails if it is not answered within this time. */
const QUERY_TIMEOUT_MS = 1500;
/** Interval at which an unanswered query is sent again. */
const RESEND_INTERVAL_MS = 300;

/** A node's answer to a forwarded query: an HTTP status and a JSON value. */
export interface QueryResult {
  readonly status: number;
  readonly body: unknown;
}

/** Called once: with the answer, or with undefined if none that can be read came in time. */
export type QueryCallback = (result: QueryResult | undefined) => void;

/** Collaborators that the node supplies to its queries. */
export interface QueryDependencies {
  readonly clock: Clock;
  readonly chance: RandomSource;
  /** Sends a frame to the member of this incarnation. */
  send(incarnation: string, body: Frame['body']): void;
  /** Answers an operator's query that another node forwarded. */
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
 * Sends queries to other nodes, and answers the queries that other nodes forward.
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

  /** Forwards a query to the member of incarnation `to`. */
  query(to: string, kind: string, text: string, done: QueryCallback): void {
    const { chance, clock } = this.#dependencies;
    const query = create(ForwardedQuerySchema, { id: randomId(chance), kind, text });
    const deadlineMs = clock.nowMs() + QUERY_TIMEOUT_MS;
    this.#pending.set(query.id, { to, query, deadlineMs, sentMs: -Infinity, done });
    this.tick();
  }

  /** Sends due queries again, and fails those past their deadline. */
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

  /** Answers a query that another node forwarded. */
  onQuery(from: string, { id, kind, text }: ForwardedQuery): void {
    const { status, body } = this.#dependencies.answerQuery(kind, text);
    const value = create(ForwardedReplySchema, { id, status, body: JSON.stringify(body) });
    this.#dependencies.send(from, { case: 'forwardedReply', value });
  }

  /** Takes another node's answer to a query; an answer that is not JSON counts as none. */
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
