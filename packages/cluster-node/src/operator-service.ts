/**
 * Answers operators on a core of the platform family: changes are committed by the process group, reads are
 * quorum reads. The service owns no socket and no timer, so that the program and the simulator run the same
 * code.
 */
import type { Answer } from '@rainrun/messages';
import {
  checkOperation,
  type ConfigurationDocument,
  type Deployment,
  type DeploymentOperation,
} from '@rainrun/configuration';
import { FAULT_RESPONSES, fault, isFaultKind, type Clock, type Fault } from '@rainrun/common';
import type { Result } from 'true-myth';
import type { CoreStatus } from './core-status.js';

/** A request of an operator. */
export type OperatorCall =
  | {
      readonly kind: 'put';
      /** The revision that must be in force for the change to apply; undefined to skip the check. */
      readonly base: number | undefined;
      readonly document: Record<string, unknown>;
    }
  | { readonly kind: 'patch'; readonly base: number | undefined; readonly patch: Record<string, unknown> }
  | { readonly kind: 'read' | 'status' }
  | { readonly kind: 'evacuate' | 'return'; readonly zone: string }
  | { readonly kind: 'none' };

/** Status and body of the HTTP response to a call. */
export interface OperatorReply {
  readonly status: number;
  readonly body: string;
}

/** The part of the core's replica that serves operators. */
export interface OperatorReplica {
  readonly state: Deployment;
  readonly group: { currentAsOfMs(): number };
  submit(kind: string, payload: unknown, done: (answer: Answer) => void): Result<string, Fault>;
  abandon(id: string): void;
}

/** Formats replies for the callers of one platform. */
export interface OperatorFormat {
  writeDocument(document: ConfigurationDocument): string;
  /** The platform's HTTP status for a fault; undefined to use that of FAULT_RESPONSES. */
  statusOf(cause: Fault): number | undefined;
}

/** Collaborators that the core program or the simulator supplies. */
export interface OperatorServiceDependencies {
  readonly replica: OperatorReplica;
  readonly clock: Clock;
  readonly format: OperatorFormat;
  /** Current status of the group as this core sees it. */
  status(): CoreStatus;
}

const NOT_KNOWN_COMMITTED = fault('not-admitting', 'not known to be agreed yet; send it again');
const NO_QUORUM_READ = fault('not-admitting', 'no majority confirmed the read in time; ask another node');

type ReplyCallback = (reply: OperatorReply) => void;

interface PendingChange {
  readonly receivedMs: number;
  readonly done: ReplyCallback;
  id: string;
}

/** A zone operation that was received and is held back for ZONE_CHANGE_DELAY_MS before it is submitted. */
interface ZoneChange {
  readonly kind: 'zone.evacuate' | 'zone.return';
  readonly payload: { readonly zone: string; readonly seen: number };
  readonly receivedMs: number;
  readonly done: ReplyCallback;
  readonly isCallerGone: () => boolean;
}

/** A pending read: answered by `currentReply` once this node is known to be current, else by `staleReply`. */
interface PendingRead {
  readonly receivedMs: number;
  readonly done: ReplyCallback;
  currentReply(): OperatorReply;
  staleReply(): OperatorReply;
}

/** Callers retry at another node after 1 s without an answer, so every call is answered before that. */
export const ANSWER_TIMEOUT_MS = 800;

/**
 * How long a zone operation is held back before it is submitted: one round trip between regions. A zone
 * operation carries no version that would reveal a late duplicate. If a partition delayed the call, the end
 * of its connection arrives within this time, and a call whose caller has gone is not submitted.
 */
export const ZONE_CHANGE_DELAY_MS = 100;

/**
 * Serves the operator calls of one core. An answer about what is in force is
 * either committed after the call arrived, or read from state that a majority
 * confirmed after the call arrived. A core that cannot establish this in time
 * answers 503, and the caller asks another core.
 * @example
 * const service = new OperatorService({ replica, clock, format });
 * service.answer({ kind: 'read' }, (reply) => respond(reply));
 * service.tick(); // every 25 ms
 */
export class OperatorService {
  #dependencies: OperatorServiceDependencies;
  #pendingChanges = new Set<PendingChange>();
  #queuedZoneChanges = new Set<ZoneChange>();
  #pendingReads = new Set<PendingRead>();
  #draining = false;

  constructor(dependencies: OperatorServiceDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Answers a call. `done` is called once, before this method returns or from a
   * later `tick`. `isCallerGone` tells whether the caller has disconnected.
   */
  answer(call: OperatorCall, done: ReplyCallback, isCallerGone: () => boolean = () => false): void {
    if (this.#draining)
      return done(this.failure(fault('draining', 'this node is shutting down; ask another node')));
    const { edition } = this.#dependencies.replica.state;
    const receivedMs = this.#dependencies.clock.nowMs();
    switch (call.kind) {
      case 'put':
        return this.#submitChange(
          'configuration.put',
          { base: call.base, document: call.document },
          receivedMs,
          done,
        );
      case 'patch':
        return this.#submitChange(
          'configuration.patch',
          { base: call.base, patch: call.patch },
          receivedMs,
          done,
        );
      case 'evacuate':
        return this.#queueZoneChange('zone.evacuate', { zone: call.zone, seen: edition }, done, isCallerGone);
      case 'return':
        return this.#queueZoneChange('zone.return', { zone: call.zone, seen: edition }, done, isCallerGone);
      case 'read':
        return this.#read({
          receivedMs,
          done,
          currentReply: () => this.#configuration(),
          staleReply: () => this.failure(NO_QUORUM_READ),
        });
      case 'status':
        return this.#read({
          receivedMs,
          done,
          currentReply: () => ({ status: 200, body: JSON.stringify(this.#dependencies.status()) }),
          staleReply: () => this.failure(NO_QUORUM_READ, { lastKnown: this.#dependencies.status() }),
        });
      case 'none':
        return done(this.failure(fault('not-found', 'nothing is served here')));
    }
  }

  /**
   * Answers the reads that have become current, submits due zone operations, and fails calls that timed out.
   */
  tick(): void {
    this.#answerReads();
    this.#submitZoneChanges();
    const nowMs = this.#dependencies.clock.nowMs();
    for (const change of this.#pendingChanges) {
      if (nowMs - change.receivedMs < ANSWER_TIMEOUT_MS) continue;
      this.#pendingChanges.delete(change);
      this.#dependencies.replica.abandon(change.id);
      change.done(this.failure(NOT_KNOWN_COMMITTED));
    }
  }

  /**
   * Rejects all further calls, as this node is about to leave the group; pending calls are still answered.
   */
  drain(): void {
    this.#draining = true;
  }

  /** The reply for a fault, with the last known status if `more` holds it. */
  failure(cause: Fault, more: { readonly lastKnown?: CoreStatus } = {}): OperatorReply {
    const { status, ran } = FAULT_RESPONSES[cause.kind];
    return {
      status: this.#dependencies.format.statusOf(cause) ?? status,
      body: JSON.stringify({ error: { kind: cause.kind, message: cause.detail, ran }, ...more }),
    };
  }

  #queueZoneChange(
    kind: ZoneChange['kind'],
    payload: ZoneChange['payload'],
    done: ReplyCallback,
    isCallerGone: () => boolean,
  ): void {
    const checked = checkOperation(kind, payload);
    if (checked.isErr) return done(this.failure(checked.error));
    this.#queuedZoneChanges.add({
      kind,
      payload,
      receivedMs: this.#dependencies.clock.nowMs(),
      done,
      isCallerGone,
    });
  }

  #submitZoneChanges(): void {
    const nowMs = this.#dependencies.clock.nowMs();
    for (const change of this.#queuedZoneChanges) {
      if (nowMs - change.receivedMs < ZONE_CHANGE_DELAY_MS) continue;
      this.#queuedZoneChanges.delete(change);
      if (nowMs - change.receivedMs >= ANSWER_TIMEOUT_MS) change.done(this.failure(NOT_KNOWN_COMMITTED));
      else if (change.isCallerGone())
        change.done(this.failure(fault('visitor-left', 'the caller has disconnected')));
      else this.#submitChange(change.kind, change.payload, change.receivedMs, change.done);
    }
  }

  /**
   * Rejects an operation that is invalid in every state; submits any other to the group, which decides it.
   */
  #submitChange(
    kind: DeploymentOperation['kind'],
    payload: unknown,
    receivedMs: number,
    done: ReplyCallback,
  ): void {
    const checked = checkOperation(kind, payload);
    if (checked.isErr) return done(this.failure(checked.error));
    const change: PendingChange = { receivedMs, done, id: '' };
    this.#pendingChanges.add(change);
    const sent = this.#dependencies.replica.submit(kind, payload, (answer) => {
      if (this.#pendingChanges.delete(change)) done(this.#outcome(answer));
    });
    if (sent.isOk) change.id = sent.value;
    else if (this.#pendingChanges.delete(change)) done(this.failure(sent.error));
  }

  #outcome({ kind, detail }: Answer): OperatorReply {
    return isFaultKind(kind)
      ? this.failure(fault(kind, detail))
      : { status: 200, body: JSON.stringify({ outcome: kind, detail }) };
  }

  #read(read: PendingRead): void {
    this.#pendingReads.add(read);
    this.#answerReads();
  }

  /** Answers each read once this node has applied everything that was committed before the read arrived. */
  #answerReads(): void {
    const { replica, clock } = this.#dependencies;
    if (this.#pendingReads.size === 0) return;
    const currentAsOfMs = replica.group.currentAsOfMs();
    const nowMs = clock.nowMs();
    for (const read of this.#pendingReads) {
      const isCurrent = currentAsOfMs >= read.receivedMs;
      if (!isCurrent && nowMs - read.receivedMs < ANSWER_TIMEOUT_MS) continue;
      this.#pendingReads.delete(read);
      read.done(isCurrent ? read.currentReply() : read.staleReply());
    }
  }

  #configuration(): OperatorReply {
    const { document } = this.#dependencies.replica.state;
    if (document === undefined)
      return this.failure(fault('not-found', 'no configuration has been agreed yet'));
    return { status: 200, body: this.#dependencies.format.writeDocument(document) };
  }
}
