/** The form of one stored record: magic, SHA-256 checksum, bytes. */
import { createHash, timingSafeEqual } from 'node:crypto';
import { fault, type Fault } from '@rainrun/common';
import { Result } from 'true-myth';

const MAGIC = Buffer.from('RAINRUN1');
const HEADER_BYTES = MAGIC.length + 32;

/**
 * Bytes with magic and checksum before them, as they stand in a file.
 * @example
 * unseal(seal(bytes)).isOk; // true
 */
export function seal(bytes: Uint8Array): Buffer {
  return Buffer.concat([MAGIC, createHash('sha256').update(bytes).digest(), bytes]);
}

/**
 * The bytes of a sealed file. Fails with `damaged` where it is torn or the checksum differs, with `foreign`
 * where it has no magic of ours.
 * @example
 * unseal(Buffer.from('torn')).isErr; // true
 */
export function unseal(file: Buffer): Result<Uint8Array, Fault> {
  if (file.length < HEADER_BYTES) return Result.err(fault('damaged', `only ${file.length} bytes`));
  if (!file.subarray(0, MAGIC.length).equals(MAGIC))
    return Result.err(fault('foreign', 'not a record of rainrun'));
  const bytes = file.subarray(HEADER_BYTES);
  const checksum = createHash('sha256').update(bytes).digest();
  if (!timingSafeEqual(checksum, file.subarray(MAGIC.length, HEADER_BYTES))) {
    return Result.err(fault('damaged', 'the checksum does not match'));
  }
  return Result.ok(new Uint8Array(bytes));
}
