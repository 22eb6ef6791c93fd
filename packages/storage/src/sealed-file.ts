/** File format of a stored record: magic number, SHA-256 checksum, content. */
import { createHash, timingSafeEqual } from 'node:crypto';
import { fault, type Fault } from '@rainrun/common';
import { Result } from 'true-myth';

const MAGIC = Buffer.from('RAINRUN1');
const HEADER_BYTES = MAGIC.length + 32;

/**
 * Prefixes the content with the magic number and its checksum, as it is stored in a file.
 * @example
 * unseal(seal(bytes)).isOk; // true
 */
export function seal(bytes: Uint8Array): Buffer {
  return Buffer.concat([MAGIC, createHash('sha256').update(bytes).digest(), bytes]);
}

/**
 * The content of a sealed file. Fails with `damaged` if the file is truncated or the checksum differs, and
 * with `foreign` if the magic number is missing.
 * @example
 * unseal(Buffer.from('torn')).isErr; // true
 */
export function unseal(file: Buffer): Result<Uint8Array, Fault> {
  if (file.length < HEADER_BYTES)
    return Result.err(fault('damaged', `the file has only ${file.length} bytes`));
  if (!file.subarray(0, MAGIC.length).equals(MAGIC))
    return Result.err(fault('foreign', 'not a rainrun record'));
  const bytes = file.subarray(HEADER_BYTES);
  const checksum = createHash('sha256').update(bytes).digest();
  if (!timingSafeEqual(checksum, file.subarray(MAGIC.length, HEADER_BYTES))) {
    return Result.err(fault('damaged', 'the checksum does not match'));
  }
  return Result.ok(new Uint8Array(bytes));
}
