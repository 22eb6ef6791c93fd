/** How a core answers operators: the production service on the production replica, in virtual time. */
import {
  coreStatus,
  OperatorService,
  type CoreReplica,
  type OperatorCall,
  type OperatorReply as HttpReply,
} from '@rainrun/cluster-node';
import type { Fault } from '@rainrun/common';
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
  /** Whether the caller has closed its connection. */
  isCallerGone(): boolean;
}

/** The program's service is driven as often. */
const TICK_MS = 25;

/** Statuses as the platform has them, and documents in our own terms. */
const FORMAT = {
  writeDocument: (document: object) => JSON.stringify(document),
  statusOf: ({ kind }: Fault) => (kind === 'conflict' ? 412 : kind === 'bad-spec' ? 400 : undefined),
};

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
  const { replica } = context;
  const service = new OperatorService({
    replica,
    clock: { nowMs: () => context.nowMs() },
    format: FORMAT,
    status: () => coreStatus(replica),
  });
  const pending = new Set([request]);
  function drive(): void {
    if (pending.size === 0) return;
    service.tick();
    context.after(TICK_MS, drive);
  }
  service.answer(
    callOf(request),
    (reply) => {
      pending.clear();
      done(readReply(request, reply));
    },
    () => context.isCallerGone(),
  );
  drive();
}

function callOf(request: OperatorRequest): OperatorCall {
  switch (request.kind) {
    case 'put':
      return { ...request, document: { ...request.document } };
    case 'patch':
      return { ...request, patch: { ...request.patch } };
    default:
      return request;
  }
}

function readReply(request: OperatorRequest, { status, body }: HttpReply): OperatorReply {
  const read = JSON.parse(body) as {
    readonly error?: { readonly kind: string; readonly message: string };
    readonly detail?: string;
  };
  if (read.error !== undefined) return { status, kind: read.error.kind, detail: read.error.message };
  const reply = { status, kind: 'agreed', detail: read.detail ?? '' };
  return request.kind === 'read' ? { ...reply, document: read } : reply;
}
