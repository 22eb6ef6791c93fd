import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import {
  AcceptedSchema,
  DiskRecordSchema,
  PromiseRecordSchema,
  PromiseSchema,
  VersionSchema,
  type Accepted,
  type Prepare,
  type Promise as Promised,
  type Propose,
  type Version,
} from '@rainrun/messages';
import type { Records, RecordWriter } from '@rainrun/storage';
import { fault, type Fault } from '@rainrun/common';
import { Result } from 'true-myth';
import { tryOrElse } from 'true-myth/result';
import { later } from './play.js';

/** What an voter's disk says when the node opens it. */
export interface Opening {
  readonly disk: string;
  readonly deployment: string;
  readonly promisedEpoch: number;
  readonly promisedTo: string;
  readonly accepted: Version | undefined;
}

/**
 * Reads the records of a disk. A disk that once held agreed state and lost it is refused.
 * @example
 * const opening = readRecords({}, 'fresh-id'); // an empty disk with a new id
 */
export function readRecords(records: Records, freshDisk: string): Result<Opening, Fault> {
  return tryOrElse(
    (thrown) => fault('damaged', String(thrown)),
    () => {
      const disk = records.disk === undefined ? undefined : fromBinary(DiskRecordSchema, records.disk);
      const promise = fromBinary(PromiseRecordSchema, records.promise ?? new Uint8Array());
      const accepted = records.version === undefined ? undefined : fromBinary(VersionSchema, records.version);
      return {
        disk: disk?.disk ?? freshDisk,
        deployment: disk?.deployment ?? '',
        promisedEpoch: Math.max(promise.epoch, accepted?.epoch ?? 0),
        promisedTo: promise.epoch >= (accepted?.epoch ?? 0) ? promise.candidate : '',
        accepted,
      };
    },
  ).andThen((opening) =>
    opening.deployment !== '' && opening.accepted === undefined
      ? Result.err(fault('damaged', `disk ${opening.disk} of ${opening.deployment} has lost its version`))
      : Result.ok(opening),
  );
}

/**
 * The voter's vote. It promises each epoch to one claimant and accepts
 * versions of its promised epoch; both count only once they are synced.
 * @example
 * const acceptor = new Acceptor(opening, vault, 'vejsargs', (fault) => stopNode(fault));
 * acceptor.claim(claim, (promise) => reply(promise));
 */
export class Acceptor {
  #disk: string;
  #vault: RecordWriter;
  #failed: (fault: Fault) => void;
  #deployment: string;
  #marked: boolean;
  #promisedEpoch: number;
  #promisedTo: string;
  #accepted: Version | undefined;
  #storing: { epoch: number; number: number } | undefined;
  #busy = 0;
  #syncs = 0;

  constructor(opening: Opening, vault: RecordWriter, deployment: string, failed: (fault: Fault) => void) {
    this.#disk = opening.disk;
    this.#vault = vault;
    this.#failed = failed;
    this.#deployment = deployment;
    this.#marked = opening.deployment !== '';
    this.#promisedEpoch = opening.promisedEpoch;
    this.#promisedTo = opening.promisedTo;
    this.#accepted = opening.accepted;
  }

  get disk(): string {
    return this.#disk;
  }

  get promisedEpoch(): number {
    return this.#promisedEpoch;
  }

  get accepted(): Version | undefined {
    return this.#accepted;
  }

  /** True while a write has been asked for and not yet synced. */
  get busy(): boolean {
    return this.#busy > 0;
  }

  /** Writes synced so far. */
  get syncs(): number {
    return this.#syncs;
  }

  /** Writes the disk's own record, before anything else is written. */
  mark(): void {
    this.#store(
      'disk',
      toBinary(
        DiskRecordSchema,
        create(DiskRecordSchema, {
          disk: this.#disk,
          deployment: this.#marked ? this.#deployment : '',
        }),
      ),
      () => undefined,
    );
  }

  prepare(claim: Prepare, reply: (promise: Promised) => void): void {
    const { epoch, disk: claimant } = claim;
    const stale =
      epoch < this.#promisedEpoch || (epoch === this.#promisedEpoch && claimant !== this.#promisedTo);
    if (stale) return reply(this.#promise(epoch, false));
    if (epoch === this.#promisedEpoch) {
      if (!this.busy) reply(this.#promise(epoch, true));
      return;
    }
    this.#promisedEpoch = epoch;
    this.#promisedTo = claimant;
    const record = create(PromiseRecordSchema, { epoch, candidate: claimant });
    this.#store('promise', toBinary(PromiseRecordSchema, record), () => {
      reply(this.#promise(epoch, this.#promisedEpoch === epoch));
    });
  }

  accept(propose: Propose, reply: (accepted: Accepted) => void): void {
    const version = propose.version;
    if (version === undefined) return;
    const { epoch, number } = version;
    const stale =
      epoch < this.#promisedEpoch ||
      (epoch === this.#promisedEpoch && this.#promisedTo !== '' && this.#promisedTo !== propose.disk);
    if (stale) return reply(this.#answer(version, true));
    const mine = this.#accepted;
    if (mine?.epoch === epoch && mine.number >= number) return reply(this.#answer(version, false));
    if (this.#storing?.epoch === epoch && this.#storing.number >= number) return;
    this.#promisedEpoch = epoch;
    this.#promisedTo = propose.disk;
    this.#storing = { epoch, number };
    this.#store('version', toBinary(VersionSchema, version), () => {
      if (this.#accepted === undefined || later(version, this.#accepted)) this.#accepted = version;
      if (!this.#marked) {
        this.#marked = true;
        this.mark();
      }
      reply(this.#answer(version, false));
    });
  }

  #answer(version: Version, refused: boolean): Accepted {
    const { epoch, number } = version;
    return create(AcceptedSchema, {
      disk: this.#disk,
      epoch,
      number,
      rejected: refused,
      seenEpoch: this.#promisedEpoch,
    });
  }

  #promise(epoch: number, granted: boolean): Promised {
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
    this.#busy += 1;
    this.#vault.store(kind, bytes, (result) => {
      this.#busy -= 1;
      this.#syncs += 1;
      if (result.isOk) done();
      else this.#failed(result.error);
    });
  }
}
