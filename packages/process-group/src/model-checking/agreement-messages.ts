/** Messages and events of the agreement model, and keys by which equal ones are recognized. */
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

/** A message or an event that the invariants check. */
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

/** A short digest of the given bytes. */
export function digestOf(bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('base64').slice(0, 16);
}

const CONTENT_DIGESTS = new WeakMap<Version, string>();

/** A digest of a version's content, independent of the epoch in which it was proposed. */
export function contentDigest(version: Version): string {
  const known = CONTENT_DIGESTS.get(version);
  if (known !== undefined) return known;
  const content = digestOf(toBinary(VersionSchema, { ...version, epoch: 0 }));
  CONTENT_DIGESTS.set(version, content);
  return content;
}

/** A key for a version, equal for versions with the same content and epoch. */
export function versionKey(version: Version | undefined): string {
  return version === undefined ? 'none' : `${version.epoch}/${version.number}/${contentDigest(version)}`;
}

/** An incarnation as a string, such as `a#1`. */
export function incarnationName({ machine, incarnation }: Incarnation): string {
  return `${machine}#${incarnation}`;
}

/** Parses an incarnation from its `incarnationName`. */
export function parseIncarnation(name: string): Incarnation {
  const [machine = '', incarnation = '0'] = name.split('#');
  return { machine, incarnation: Number(incarnation) };
}

/** A key that is the same for equal messages, so that a message sent again does not count as a new one. */
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
