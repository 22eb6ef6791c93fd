/**
 * Imports only those parts of undici that send requests to workers. Undici's index also loads fetch, caches,
 * cookies, mocks and web sockets: five times the code, and most of an edge's start-up time.
 */
export { default as Client } from 'undici/lib/dispatcher/client.js';
export { default as Pool } from 'undici/lib/dispatcher/pool.js';
export { default as buildConnector } from 'undici/lib/core/connect.js';
