/** Frees the memory of short-lived buffers sooner than V8 does by itself. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/**
 * Bytes of buffers after which the young generation is collected. V8 alone lets about 64 MB of dead buffers add
 * up, since they lie outside of its heap, and an edge may have 250 MB in all.
 */
const COLLECTION_BYTES = 8 * 2 ** 20;

type CollectGarbage = (options: { readonly type: 'minor' | 'major' }) => void;

let collectGarbage: CollectGarbage | undefined;
let bytesSinceCollection = 0;

/**
 * Records that a buffer of this size was handed to the program and is dropped soon. Takes about a millisecond
 * once every `COLLECTION_BYTES`, otherwise nothing.
 */
export function recordShortLivedBuffer(bytes: number): void {
  bytesSinceCollection += bytes;
  if (bytesSinceCollection < COLLECTION_BYTES) return;
  bytesSinceCollection = 0;
  collectGarbage ??= exposeGarbageCollection();
  collectGarbage({ type: 'minor' });
}

function exposeGarbageCollection(): CollectGarbage {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as CollectGarbage;
}
