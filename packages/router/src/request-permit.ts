/** The permit state of one request, for the quota of its tenant. */
import type { Permit } from '@rainrun/quotas';

/** The permit for the next attempt of a request. */
export type NextPermit =
  | { readonly kind: 'none' }
  | { readonly kind: 'asked'; withdraw: () => void }
  | { readonly kind: 'held'; readonly permit: Permit }
  | { readonly kind: 'refused'; readonly retryAfterMs: number; readonly retryAtMs: number };

/** The permit state of a request. */
export interface RequestPermit {
  readonly tenant: string;
  next: NextPermit;
  /** The permit that the attempt in flight has consumed; undefined if there is none. */
  consumed: Permit | undefined;
}
