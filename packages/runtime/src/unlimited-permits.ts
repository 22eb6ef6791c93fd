/** Permits without a quota, for edges on a platform until they draw them from the cores. */
import type { PermitSource } from '@rainrun/quotas';

/** Grants every permit at once, for ever: what a tenant may send is not bounded. */
export const UNLIMITED_PERMITS: PermitSource = {
  acquire: (_tenant, done) => {
    done({ kind: 'granted', permit: { endMs: Infinity } });
    return () => undefined;
  },
};
