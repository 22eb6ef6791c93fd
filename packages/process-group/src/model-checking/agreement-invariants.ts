/** The invariants of agreement, checked on messages and events only. */
import type { Version } from '@rainrun/messages';
import { contentDigest, incarnationName, type Message } from './agreement-messages.js';
import { isLater, majority } from '../agreement/quorum.js';

type MessageOf<K extends Message['kind']> = Extract<Message, { kind: K }>;

function ofKind<K extends Message['kind']>(messages: readonly Message[], kind: K): MessageOf<K>[] {
  return messages.filter((message): message is MessageOf<K> => message.kind === kind);
}

function disksOf(version: Version | undefined): string[] {
  return (version?.state?.voters ?? []).map((voter) => voter.disk);
}

/**
 * Describes the invariant that a message violates, given all messages sent
 * before it; undefined if it violates none.
 * @example
 * findViolation(sent, { kind: 'elected', from: { machine: 'a', incarnation: 1 }, epoch: 2 });
 */
export function findViolation(sent: readonly Message[], message: Message): string | undefined {
  switch (message.kind) {
    case 'promise':
      return promiseViolation(sent, message);
    case 'accepted':
      return acceptanceViolation(sent, message);
    case 'elected':
      return electionViolation(sent, message);
    case 'chosen':
      return choiceViolation(sent, message);
    default:
      return undefined;
  }
}

function promiseViolation(sent: readonly Message[], message: MessageOf<'promise'>): string | undefined {
  const { promise, from, to } = message;
  if (!promise.granted) return undefined;
  const rival = ofKind(sent, 'promise').find(
    (other) =>
      other.promise.granted &&
      other.from.machine === from.machine &&
      other.promise.epoch === promise.epoch &&
      other.to.machine !== to.machine,
  );
  if (rival !== undefined)
    return `disk ${from.machine} promised epoch ${promise.epoch} to ${rival.to.machine} and to ${to.machine}`;
  const forgotten = ofKind(sent, 'accepted').find(
    ({ accepted, from: { machine } }) =>
      machine === from.machine &&
      !accepted.rejected &&
      (promise.accepted === undefined || isLater(accepted, promise.accepted)),
  );
  if (forgotten === undefined) return undefined;
  const { epoch, number } = forgotten.accepted;
  return `disk ${from.machine} acknowledged version ${epoch}/${number} and sent a promise with an older version`;
}

function acceptanceViolation(sent: readonly Message[], message: MessageOf<'accepted'>): string | undefined {
  const { accepted, from, to } = message;
  if (accepted.rejected) return undefined;
  const newer = ofKind(sent, 'promise').find(
    (other) =>
      other.promise.granted &&
      other.from.machine === from.machine &&
      (other.promise.epoch > accepted.epoch ||
        (other.promise.epoch === accepted.epoch && other.to.machine !== to.machine)),
  );
  if (newer === undefined) return undefined;
  return `disk ${from.machine} promised epoch ${newer.promise.epoch} to ${newer.to.machine} and accepted a version in epoch ${accepted.epoch} of ${to.machine}`;
}

function electionViolation(sent: readonly Message[], message: MessageOf<'elected'>): string | undefined {
  const other = ofKind(sent, 'elected').find(
    ({ epoch, from }) => epoch === message.epoch && incarnationName(from) !== incarnationName(message.from),
  );
  if (other === undefined) return undefined;
  return `epoch ${message.epoch} has two coordinators, ${incarnationName(other.from)} and ${incarnationName(message.from)}`;
}

function choiceViolation(sent: readonly Message[], message: MessageOf<'chosen'>): string | undefined {
  const { version } = message;
  const chosen = ofKind(sent, 'chosen').map((other) => other.version);
  const same = chosen.filter((other) => other.number === version.number);
  if (same.some((other) => contentDigest(other) !== contentDigest(version)))
    return `two versions with different content are chosen under number ${version.number}`;
  const newer = chosen.find((other) => other.epoch > version.epoch);
  if (same.length === 0 && newer !== undefined)
    return `number ${version.number} is chosen in epoch ${version.epoch} after a version of epoch ${newer.epoch}`;
  const passed = chosen.find((other) => other.epoch < version.epoch && other.number > version.number);
  if (passed !== undefined)
    return `number ${version.number} is chosen in epoch ${version.epoch} although number ${passed.number} was chosen in epoch ${passed.epoch}`;
  return voterChangeViolation(sent, version, chosen);
}

function voterChangeViolation(
  sent: readonly Message[],
  version: Version,
  chosen: readonly Version[],
): string | undefined {
  const before = chosen.find((other) => other.number === version.number - 1);
  const old = before === undefined ? disksOf(version) : disksOf(before);
  const voters = disksOf(version);
  const added = voters.filter((disk) => !old.includes(disk));
  const removed = old.filter((disk) => !voters.includes(disk));
  if (added.length > 1 || removed.length > 1) return `version ${version.number} changes more than one voter`;
  const synced = new Set(
    ofKind(sent, 'accepted')
      .filter(
        ({ accepted }) =>
          !accepted.rejected && accepted.epoch === version.epoch && accepted.number === version.number,
      )
      .map(({ from }) => from.machine),
  );
  for (const set of [old, voters]) {
    if (set.filter((disk) => synced.has(disk)).length < majority(set.length))
      return `version ${version.epoch}/${version.number} is chosen by disks ${[...synced].join(' ')} without a majority of voters ${set.join(' ')}`;
  }
  return undefined;
}
