/** Calls the production operator service of a core directly, without sockets. */
import {
  coreStatus,
  OperatorService,
  type CoreReplica,
  type OperatorCall,
  type OperatorReply as ServiceReply,
} from '@rainrun/cluster-node';
import type { Clock, Fault } from '@rainrun/common';
import type { Document, Patch } from './configuration.js';

/** A change of the configuration: a whole document, or a patch of named items. */
export type ChangeRequest =
  | { readonly kind: 'put'; readonly base: number; readonly document: Document }
  | { readonly kind: 'patch'; readonly base: number; readonly patch: Patch };

/** A request of an operator. */
export type OperatorRequest =
  | ChangeRequest
  | { readonly kind: 'read' }
  | { readonly kind: 'evacuate'; readonly zone: string }
  | { readonly kind: 'return'; readonly zone: string };

/** Reply of a core. */
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

/** Returns the platform's HTTP status for a fault where it differs from the program's own. */
function statusOf(why: Fault): number | undefined {
  if (why.kind === 'conflict') return 412;
  return why.kind === 'bad-spec' ? 400 : undefined;
}

/**
 * Creates the service that a core's process runs for operators.
 * @example
 * const service = newOperatorService(replica, clock);
 */
export function newOperatorService(replica: CoreReplica, clock: Clock): OperatorService {
  return new OperatorService({
    replica,
    clock,
    format: { writeDocument: (document) => JSON.stringify({ document }), statusOfFault: statusOf },
    status: () => coreStatus(replica),
  });
}

/**
 * Passes one request of an operator to the service of a core.
 * @example
 * answerOperator(service, { kind: 'read' }, (reply) => send(reply), () => false);
 */
export function answerOperator(
  service: OperatorService,
  request: OperatorRequest,
  done: (reply: OperatorReply) => void,
  isCallerGone: () => boolean,
): void {
  service.answer(callOf(request), (reply) => done(readReply(reply)), isCallerGone);
}

function callOf(request: OperatorRequest): OperatorCall {
  if (request.kind === 'put') return { ...request, document: { ...request.document } };
  if (request.kind === 'patch') return { ...request, patch: { ...request.patch } };
  return request;
}

/** Fields that a reply's body may have. */
interface ReplyBody {
  readonly outcome?: string;
  readonly detail?: string;
  readonly document?: Document;
  readonly error?: { readonly kind: string; readonly message: string };
}

function readReply({ status, body }: ServiceReply): OperatorReply {
  const { outcome, detail, document, error } = JSON.parse(body) as ReplyBody;
  const reply = { status, kind: error?.kind ?? outcome ?? 'agreed', detail: error?.message ?? detail ?? '' };
  return document === undefined ? reply : { ...reply, document };
}
