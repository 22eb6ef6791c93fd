/** Replies to operators of the research groups' system. */
import type { Answer } from '@rainrun/messages';
import { FAULT_RESPONSES, isFaultKind, type FaultKind } from '@rainrun/common';

/** HTTP status and body of a reply to an operator. */
export interface OperatorReply {
  readonly status: number;
  readonly body: unknown;
}

/**
 * The error reply that `FAULT_RESPONSES` gives for the kind of a fault; `details` are further fields of the
 * error.
 * @example
 * failure('not-found', 'no spec has been agreed yet').status; // 404
 */
export function failure(
  kind: FaultKind,
  message: string,
  details: Record<string, unknown> = {},
): OperatorReply {
  const row = FAULT_RESPONSES[kind];
  return { status: row.status, body: { error: { kind, message, ran: row.ran, ...details } } };
}

/**
 * The reply for an operation with an agreed answer.
 * @example
 * operationReply(answer).body; // { id, outcome: 'agreed', detail, number }
 */
export function operationReply(answer: Answer): OperatorReply {
  const { id, kind, detail, number } = answer;
  if (isFaultKind(kind)) return failure(kind, detail, { id, number });
  return { status: 200, body: { id, outcome: kind, detail, number } };
}
