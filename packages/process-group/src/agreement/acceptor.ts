/** The Paxos acceptor: a voter's promises and accepted versions, and their records on its disk. */
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import {
  AcceptedSchema,
  DiskRecordSchema,
  PromiseRecordSchema,
  PromiseSchema,
  VersionSchema,
  type Accepted,
  type Prepare,
  type Promise as PromiseMessage,
  type Propose,
  type Version,
} from '@rainrun/messages';
import type { Records, RecordWriter } from '@rainrun/storage';
import { fault, type Fault } from '@rainrun/common';
import { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';
import { isLater } from './quorum.js';

/** What a voter's disk holds when the node opens it, decoded. */
export interface OpenedDisk {
  readonly disk: string;
  readonly deployment: string;
  readonly promisedEpoch: number;
  readonly promisedTo: string;
  readonly accepted: Version | undefined;
  /** The founding cores, if this is the disk of one of them and holds no agreed state yet; else empty. */
  readonly founders: readonly string[];
}

/**
 * Decodes the records of a disk. A disk that has lost the replicated state that it once held is rejected
 * (`damaged`).
 * @example
 * const opened = readRecords({}, 'fresh-id'); // an empty disk with a new id
 */
export function readRecords(records: Records, newDisk: string): Result<OpenedDisk, Fault> {
  return tryOrElse(
    (thrown) => fault('damaged', String(thrown)),
    () => {
      const disk = records.disk === undefined ? undefined : fromBinary(DiskRecordSchema, records.disk);
      const promise = fromBinary(PromiseRecordSchema, records.promise ?? new Uint8Array());
      const accepted = records.version === undefined ? undefined : fromBinary(VersionSchema, records.version);
      return {
        disk: disk?.disk ?? newDisk,
        deployment: disk?.deployment ?? '',
        promisedEpoch: Math.max(promise.epoch, accepted?.epoch ?? 0),
        promisedTo: promise.epoch >= (accepted?.epoch ?? 0) ? promise.candidate : '',
        accepted,
        founders: disk?.founders ?? [],
      };
    },
  ).andThen((opened) =>
    opened.deployment !== '' && opened.accepted === undefined
      ? Result.err(
          fault('damaged', `disk ${opened.disk} of ${opened.deployment} has lost its accepted version`),
        )
      : Result.ok(opened),
  );
}

/**
 * The Paxos acceptor of a voter. It promises each epoch to one candidate and accepts no version of an
 * epoch older than its promise. Promises and acceptances are sent only once they are synced to disk.
 * @example
 * const acceptor = new Acceptor(opened, writer, 'site', (fault) => stopNode(fault));
 * acceptor.prepare(prepare, (promise) => reply(promise));
 */
export class Acceptor {
  #disk: string;
  #writer: RecordWriter;
  #onFailure: (fault: Fault) => void;
  #deployment: string;
  #hasDeploymentRecord: boolean;
  #promisedEpoch: number;
  #promisedTo: string;
  #accepted: Version | undefined;
  #founders: readonly string[];
  #writingVersion: { epoch: number; number: number } | undefined;
  #pendingWrites = 0;
  #syncCount = 0;

  constructor(
    opened: OpenedDisk,
    writer: RecordWriter,
    deployment: string,
    onFailure: (fault: Fault) => void,
  ) {
    this.#disk = opened.disk;
    this.#writer = writer;
    this.#onFailure = onFailure;
    this.#deployment = deployment;
    this.#hasDeploymentRecord = opened.deployment !== '';
    this.#promisedEpoch = opened.promisedEpoch;
    this.#promisedTo = opened.promisedTo;
    this.#accepted = opened.accepted;
    this.#founders = opened.founders;
  }

  /** Id of the disk, which identifies the voter. */
  get disk(): string {
    return this.#disk;
  }

  /** The founding cores that this disk was first started with, until it holds agreed state. */
  get founders(): readonly string[] {
    return this.#founders;
  }

  /** The newest epoch that was promised or in which a version was accepted, whether synced yet or not. */
  get promisedEpoch(): number {
    return this.#promisedEpoch;
  }

  /** The newest version that was accepted and synced. */
  get accepted(): Version | undefined {
    return this.#accepted;
  }

  /** Whether a write is waiting for its sync. */
  get busy(): boolean {
    return this.#pendingWrites > 0;
  }

  /** Number of writes completed so far, failed ones included. */
  get syncs(): number {
    return this.#syncCount;
  }

  /** Writes the record that names the disk and, once it holds agreed state, its deployment. */
  writeDiskRecord(): void {
    this.#store(
      'disk',
      toBinary(
        DiskRecordSchema,
        create(DiskRecordSchema, {
          disk: this.#disk,
          deployment: this.#hasDeploymentRecord ? this.#deployment : '',
          founders: this.#hasDeploymentRecord ? [] : [...this.#founders],
        }),
      ),
      () => undefined,
    );
  }

  /**
   * Phase 1 of Paxos: promises an epoch to a candidate unless a newer epoch is promised, or this
   * epoch to another candidate. The promise is synced before `reply`, since it must survive a
   * restart. A promise carries the newest accepted version.
   */
  prepare(prepare: Prepare, reply: (promise: PromiseMessage) => void): void {
    const { epoch, disk: candidate } = prepare;
    const stale =
      epoch < this.#promisedEpoch || (epoch === this.#promisedEpoch && candidate !== this.#promisedTo);
    if (stale) return reply(this.#promise(epoch, false));
    if (epoch === this.#promisedEpoch) {
      if (!this.busy) reply(this.#promise(epoch, true));
      return;
    }
    this.#promisedEpoch = epoch;
    this.#promisedTo = candidate;
    const record = create(PromiseRecordSchema, { epoch, candidate });
    this.#store('promise', toBinary(PromiseRecordSchema, record), () => {
      reply(this.#promise(epoch, this.#promisedEpoch === epoch));
    });
  }

  /**
   * Phase 2 of Paxos: accepts a version unless a newer epoch is promised, or this epoch to another
   * candidate. The version is synced before `reply`, since the acceptance counts towards a quorum.
   */
  accept(propose: Propose, reply: (accepted: Accepted) => void): void {
    const version = propose.version;
    if (version === undefined) return;
    const { epoch, number } = version;
    const stale =
      epoch < this.#promisedEpoch ||
      (epoch === this.#promisedEpoch && this.#promisedTo !== '' && this.#promisedTo !== propose.disk);
    if (stale) return reply(this.#acceptedReply(version, true));
    const accepted = this.#accepted;
    if (accepted?.epoch === epoch && accepted.number >= number)
      return reply(this.#acceptedReply(version, false));
    if (this.#writingVersion?.epoch === epoch && this.#writingVersion.number >= number) return;
    this.#promisedEpoch = epoch;
    this.#promisedTo = propose.disk;
    this.#writingVersion = { epoch, number };
    this.#store('version', toBinary(VersionSchema, version), () => {
      if (this.#accepted === undefined || isLater(version, this.#accepted)) this.#accepted = version;
      if (!this.#hasDeploymentRecord) {
        this.#hasDeploymentRecord = true;
        this.writeDiskRecord();
      }
      reply(this.#acceptedReply(version, false));
    });
  }

  #acceptedReply(version: Version, rejected: boolean): Accepted {
    const { epoch, number } = version;
    return create(AcceptedSchema, {
      disk: this.#disk,
      epoch,
      number,
      rejected,
      seenEpoch: this.#promisedEpoch,
    });
  }

  #promise(epoch: number, granted: boolean): PromiseMessage {
    const promise = create(PromiseSchema, {
      epoch,
      disk: this.#disk,
      granted,
      seenEpoch: this.#promisedEpoch,
    });
    if (granted && this.#accepted !== undefined) promise.accepted = this.#accepted;
    return promise;
  }

  #store(kind: 'disk' | 'promise' | 'version', bytes: Uint8Array, done: () => void): void {
    this.#pendingWrites += 1;
    this.#writer.store(kind, bytes, (result) => {
      this.#pendingWrites -= 1;
      this.#syncCount += 1;
      if (result.isOk) done();
      else this.#onFailure(result.error);
    });
  }
}
