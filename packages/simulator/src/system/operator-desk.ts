/**
 * How a core answers operators, without sockets: the counterpart of the
 * request handling in `runtime/core-node.ts`, on the production replica.
 */
import type { CoreReplica } from '@rainrun/cluster-node';
import { ANSWERS, fault, isFaultKind, type Fault } from '@rainrun/common';
import type { Document, Patch } from './configuration.js';

/** A change of the configuration: whole, or of named items. */
export type ChangeRequest =
  | { readonly kind: 'put'; readonly base: number; readonly document: Document }
  | { readonly kind: 'patch'; readonly base: number; readonly patch: Patch };

/** A request of an operator. */
export type OperatorRequest =
  | ChangeRequest
  | { readonly kind: 'read' }
  | { readonly kind: 'evacuate'; readonly zone: string }
  | { readonly kind: 'return'; readonly zone: string };

/** What a core answers. */
export interface OperatorReply {
  readonly status: number;
  /** `agreed`, or the kind of fault. */
  readonly kind: string;
  readonly detail: string;
  /** The configuration that was read. */
  readonly document?: Document;
  /** Address of another core, with 307. */
  readonly location?: string;
}

/** What the desk is given by its process. */
export interface DeskContext {
  readonly replica: CoreReplica;
  /** The clock of the process. */
  nowMs(): number;
  after(waitMs: number, act: () => void): void;
}

const ANSWER_WAIT_MS = 900;
const POLL_MS = 10;

/**
 * Answers one request of an operator; `done` is called at most once.
 * @example
 * answerOperator(context, { kind: 'read' }, (reply) => send(reply));
 */
export function answerOperator(
  context: DeskContext,
  request: OperatorRequest,
  done: (reply: OperatorReply) => void,
): void {
  const { edition } = context.replica.state;
  switch (request.kind) {
    case 'put':
      return submit(context, 'configuration.put', { base: request.base, document: request.document }, done);
    case 'patch':
      return submit(context, 'configuration.patch', { base: request.base, patch: request.patch }, done);
    case 'evacuate':
      return submit(context, 'zone.evacuate', { zone: request.zone, seen: edition }, done);
    case 'return':
      return submit(context, 'zone.return', { zone: request.zone, seen: edition }, done);
    case 'read':
      return readCurrent(context, context.nowMs(), done);
  }
}

function failure(why: Fault): OperatorReply {
  const status = why.kind === 'conflict' ? 412 : why.kind === 'bad-spec' ? 400 : ANSWERS[why.kind].status;
  return { status, kind: why.kind, detail: why.detail };
}

function submit(
  context: DeskContext,
  kind: string,
  payload: unknown,
  done: (reply: OperatorReply) => void,
): void {
  const { replica } = context;
  let open = true;
  const sent = replica.submit(kind, payload, (answer) => {
    if (!open) return;
    open = false;
    if (isFaultKind(answer.kind)) done(failure(fault(answer.kind, answer.detail)));
    else done({ status: 200, kind: answer.kind, detail: answer.detail });
  });
  if (sent.isErr) return done(failure(sent.error));
  context.after(ANSWER_WAIT_MS, () => {
    if (!open) return;
    open = false;
    replica.forgetAnswer(sent.value);
    done(failure(fault('not-admitting', 'not known to be agreed yet; send it again')));
  });
}

/** Waits until this core holds all that was agreed before the question. */
function readCurrent(context: DeskContext, askedMs: number, done: (reply: OperatorReply) => void): void {
  const { replica } = context;
  if (replica.group.informedMs() >= askedMs) {
    const { document } = replica.state;
    if (document === undefined)
      return done(failure(fault('not-found', 'no configuration has been agreed yet')));
    return done({ status: 200, kind: 'agreed', detail: '', document });
  }
  if (context.nowMs() - askedMs > ANSWER_WAIT_MS)
    return done(failure(fault('not-admitting', 'this node cannot know the newest; ask again')));
  context.after(POLL_MS, () => readCurrent(context, askedMs, done));
}
