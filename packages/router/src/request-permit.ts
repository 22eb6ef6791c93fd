/** What one request holds of the quota of its tenant. */
import type { Permit } from '@rainrun/quotas';

/** The permit for the next attempt of a request. */
export type NextPermit =
  | { readonly kind: 'none' }
  | { readonly kind: 'asked'; withdraw: () => void }
  | { readonly kind: 'held'; readonly permit: Permit }
  | { readonly kind: 'refused'; readonly retryAfterMs: number; readonly retryAtMs: number };

/** What a request holds of its tenant's quota. */
export interface RequestPermit {
  readonly tenant: string;
  next: NextPermit;
  /** The permit that the attempt in flight has consumed. */
  consumed: Permit | undefined;
}
