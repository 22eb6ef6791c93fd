/** Messages and events of the agreement's model, and names by which equal ones are known. */
import { createHash } from 'node:crypto';
import { toBinary } from '@bufbuild/protobuf';
import {
  VersionSchema,
  type Accepted,
  type Prepare,
  type Promise as Promised,
  type Propose,
  type Version,
} from '@rainrun/messages';

/** One incarnation of a machine: from its start to its crash. */
export interface Incarnation {
  readonly machine: string;
  readonly incarnation: number;
}

/** A message or an event that the invariants look at. */
export type Message =
  | { readonly kind: 'prepare'; readonly from: Incarnation; readonly to: string; readonly prepare: Prepare }
  | { readonly kind: 'propose'; readonly from: Incarnation; readonly to: string; readonly propose: Propose }
  | {
      readonly kind: 'promise';
      readonly from: Incarnation;
      readonly to: Incarnation;
      readonly promise: Promised;
    }
  | {
      readonly kind: 'accepted';
      readonly from: Incarnation;
      readonly to: Incarnation;
      readonly accepted: Accepted;
    }
  | { readonly kind: 'elected'; readonly from: Incarnation; readonly epoch: number }
  | { readonly kind: 'chosen'; readonly from: Incarnation; readonly version: Version };

/** A digest of some bytes. */
export function digestOf(bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('base64').slice(0, 16);
}

const CONTENT_DIGESTS = new WeakMap<Version, string>();

/** A digest of what a version says, whatever the epoch it was proposed in. */
export function contentDigest(version: Version): string {
  const known = CONTENT_DIGESTS.get(version);
  if (known !== undefined) return known;
  const content = digestOf(toBinary(VersionSchema, { ...version, epoch: 0 }));
  CONTENT_DIGESTS.set(version, content);
  return content;
}

/** A name for a version: equal for equal versions of one epoch. */
export function versionKey(version: Version | undefined): string {
  return version === undefined ? 'none' : `${version.epoch}/${version.number}/${contentDigest(version)}`;
}

/** An incarnation as one word. */
export function incarnationName({ machine, incarnation }: Incarnation): string {
  return `${machine}#${incarnation}`;
}

/** The incarnation that a word stands for. */
export function parseIncarnation(name: string): Incarnation {
  const [machine = '', incarnation = '0'] = name.split('#');
  return { machine, incarnation: Number(incarnation) };
}

/** The same for equal messages: a message that is sent again is no new one. */
export function messageKey(message: Message): string {
  const from = incarnationName(message.from);
  switch (message.kind) {
    case 'prepare':
      return `prepare ${from} ${message.to} ${message.prepare.epoch}`;
    case 'propose':
      return `propose ${from} ${message.to} ${versionKey(message.propose.version)}`;
    case 'promise': {
      const { epoch, granted, accepted, seenEpoch } = message.promise;
      return `promise ${from} ${incarnationName(message.to)} ${epoch} ${granted} ${seenEpoch} ${versionKey(accepted)}`;
    }
    case 'accepted': {
      const { epoch, number, rejected, seenEpoch } = message.accepted;
      return `accepted ${from} ${incarnationName(message.to)} ${epoch} ${number} ${rejected} ${seenEpoch}`;
    }
    case 'elected':
      return `elected ${from} ${message.epoch}`;
    case 'chosen':
      return `chosen ${from} ${versionKey(message.version)}`;
  }
}
