/**
 * The parts of undici that send requests to workers, without the rest of it. Its index also loads fetch, caches,
 * cookies, mocks and web sockets: five times the code, and most of the time that an edge took to start.
 */
export { default as Client } from 'undici/lib/dispatcher/client.js';
export { default as Pool } from 'undici/lib/dispatcher/pool.js';
export { default as buildConnector } from 'undici/lib/core/connect.js';
