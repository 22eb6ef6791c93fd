/**
 * Types of the undici modules that `undici-client.ts` imports directly: undici ships types only for its
 * index.
 */

declare module 'undici/lib/dispatcher/client.js' {
  export { Client as default } from 'undici';
}

declare module 'undici/lib/dispatcher/pool.js' {
  export { Pool as default } from 'undici';
}

declare module 'undici/lib/core/connect.js' {
  export { buildConnector as default } from 'undici';
}
