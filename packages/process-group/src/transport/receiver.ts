/** Dispatch of the frames and ordered messages that other nodes send. */
import type { Frame, SequencedMessage } from '@rainrun/messages';
import type { Casts } from '../multicast/casts.js';
import type { Coordination } from '../agreement/coordination.js';
import type { GroupDependencies } from '../group-dependencies.js';
import type { Discovery } from '../membership/discovery.js';
import type { Election } from '../agreement/election.js';
import type { Heartbeats } from '../membership/heartbeats.js';
import type { Liveness } from '../membership/liveness.js';
import type { LocalMember } from '../membership/local-member.js';
import type { Submissions } from '../agreement/submissions.js';
import type { Transport } from './transport.js';
import type { Versions } from '../agreement/versions.js';
import type { ViewChange } from '../membership/view-change.js';

/** The parts of the group that handle messages from other nodes. */
interface ReceiverCollaborators<S> {
  readonly casts: Casts<S>;
  readonly coordination: Coordination<S>;
  readonly dependencies: GroupDependencies<S>;
  readonly discovery: Discovery<S>;
  readonly election: Election<S>;
  readonly heartbeats: Heartbeats<S>;
  readonly liveness: Liveness<S>;
  readonly local: LocalMember<S>;
  readonly submissions: Submissions<S>;
  readonly transport: Transport<S>;
  readonly versions: Versions<S>;
  readonly viewChange: ViewChange<S>;
}

/**
 * Dispatches each frame, and each body that arrives in order, to the part of
 * the group that handles it.
 * @example
 * receiver.receive(frame);
 */
export class Receiver<S> {
  #collaborators: ReceiverCollaborators<S>;

  constructor(collaborators: ReceiverCollaborators<S>) {
    this.#collaborators = collaborators;
  }

  /** Dispatches a frame; a frame that is addressed to another incarnation is dropped. */
  receive(frame: Frame): void {
    const { from, body } = frame;
    const { discovery, local } = this.#collaborators;
    if (from === local.incarnation) return;
    if (body.case === 'hello') return discovery.onHello(body.value);
    if (body.case === 'helloAck') return discovery.onHelloAck(body.value);
    if (frame.to !== '' && frame.to !== local.incarnation) return;
    this.#onAddressed(from, body);
  }

  /** Dispatches a body that arrived in order, or that this node sent to itself. */
  onBody(from: string, body: SequencedMessage['body']): void {
    const { casts, coordination, submissions, versions } = this.#collaborators;
    switch (body.case) {
      case 'cast':
        return casts.receive(body.value);
      case 'chosen':
        for (const version of body.value.versions) versions.receive(from, version);
        return;
      case 'submit':
        return coordination.onSubmit(from, body.value);
      case 'answer':
        return submissions.onAnswer(body.value);
      case undefined:
        return;
    }
  }

  #onAddressed(from: string, body: Frame['body']): void {
    const { coordination, dependencies, election, heartbeats, liveness, transport, versions, viewChange } =
      this.#collaborators;
    switch (body.case) {
      case 'heartbeat':
        return heartbeats.onHeartbeat(from, body.value);
      case 'heartbeatAck':
        return heartbeats.onHeartbeatAck(from, body.value);
      case 'prepare':
        return election.candidacy?.onPrepare(from, body.value);
      case 'promise':
        return election.candidacy?.onPromise(body.value);
      case 'propose':
        return coordination.onPropose(from, body.value);
      case 'accepted':
        return coordination.onAccepted(body.value);
      case 'flushRequest':
        return viewChange.onFlushRequest(from, body.value);
      case 'flushReply':
        return coordination.coordinator?.onFlushReply(from, body.value);
      case 'fetchVersions':
        return versions.onFetch(from, body.value.from);
      case 'sequenced':
        return transport.onSequenced(from, body.value);
      case 'goodbye':
        return liveness.onGoodbye(from);
      default:
        return dependencies.listener.onFrame(from, body);
    }
  }
}
