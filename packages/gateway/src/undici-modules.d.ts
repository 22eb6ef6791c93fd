/** The modules of undici that `undici-client.ts` loads by themselves. Its package gives types for its index only. */

declare module 'undici/lib/dispatcher/client.js' {
  export { Client as default } from 'undici';
}

declare module 'undici/lib/dispatcher/pool.js' {
  export { Pool as default } from 'undici';
}

declare module 'undici/lib/core/connect.js' {
  export { buildConnector as default } from 'undici';
}
