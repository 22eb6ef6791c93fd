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

/** One life of a machine: from its start to its crash. */
export interface Life {
  readonly machine: string;
  readonly life: number;
}

/** A message or an event that the invariants look at. */
export type Message =
  | { readonly kind: 'claim'; readonly from: Life; readonly to: string; readonly claim: Prepare }
  | { readonly kind: 'propose'; readonly from: Life; readonly to: string; readonly propose: Propose }
  | { readonly kind: 'promise'; readonly from: Life; readonly to: Life; readonly promise: Promised }
  | { readonly kind: 'accepted'; readonly from: Life; readonly to: Life; readonly accepted: Accepted }
  | { readonly kind: 'elected'; readonly from: Life; readonly epoch: number }
  | { readonly kind: 'chosen'; readonly from: Life; readonly version: Version };

/** A digest of some bytes. */
export function digestOf(bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('base64').slice(0, 16);
}

const CONTENTS = new WeakMap<Version, string>();

/** A digest of what a version says, whatever the epoch it was proposed in. */
export function contentOf(version: Version): string {
  const known = CONTENTS.get(version);
  if (known !== undefined) return known;
  const content = digestOf(toBinary(VersionSchema, { ...version, epoch: 0 }));
  CONTENTS.set(version, content);
  return content;
}

/** A name for a version: equal for equal versions of one epoch. */
export function nameOf(version: Version | undefined): string {
  return version === undefined ? 'none' : `${version.epoch}/${version.number}/${contentOf(version)}`;
}

/** A life as one word. */
export function lifeName({ machine, life }: Life): string {
  return `${machine}#${life}`;
}

/** The life that a word stands for. */
export function lifeOf(name: string): Life {
  const [machine = '', life = '0'] = name.split('#');
  return { machine, life: Number(life) };
}

/** The same for equal messages: a message that is sent again is no new one. */
export function messageName(message: Message): string {
  const from = lifeName(message.from);
  switch (message.kind) {
    case 'claim':
      return `claim ${from} ${message.to} ${message.claim.epoch}`;
    case 'propose':
      return `propose ${from} ${message.to} ${nameOf(message.propose.version)}`;
    case 'promise': {
      const { epoch, granted, accepted, seenEpoch } = message.promise;
      return `promise ${from} ${lifeName(message.to)} ${epoch} ${granted} ${seenEpoch} ${nameOf(accepted)}`;
    }
    case 'accepted': {
      const { epoch, number, rejected: refused, seenEpoch } = message.accepted;
      return `accepted ${from} ${lifeName(message.to)} ${epoch} ${number} ${refused} ${seenEpoch}`;
    }
    case 'elected':
      return `elected ${from} ${message.epoch}`;
    case 'chosen':
      return `chosen ${from} ${nameOf(message.version)}`;
  }
}
