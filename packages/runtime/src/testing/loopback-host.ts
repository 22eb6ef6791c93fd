/** Loopback addresses that one test has for itself while it runs. */
import { createServer, type Server } from 'node:net';

const NETWORK = '127.60';
/** Addresses 127.60.0.1 to 127.60.249.250. */
const HOSTS_PER_BLOCK = 250;
const HOST_COUNT = 250 * HOSTS_PER_BLOCK;
/** Below the range from which the kernel takes ports for outgoing connections. */
const RESERVATION_PORT = 29_600;

/** The ports on a reserved address; a node listens for its peers at `core` or, if it is an edge, at `edge`. */
export const TEST_PORTS = {
  core: 29_601,
  edge: 29_602,
  clients: 29_603,
  readiness: 29_604,
  operators: 29_605,
} as const;

let nextHostIndex = Math.imul(process.pid, 31) % HOST_COUNT;

/** The listen addresses of an edge under test and of the core that it subscribes to. */
export interface EdgeAddresses {
  readonly host: string;
  readonly corePort: number;
  readonly edgePort: number;
  readonly clients: string;
  readonly readiness: string;
}

/**
 * A loopback address that no other test uses until it is released: a listener on it is the reservation, so
 * that two processes never hold the same address. All of `TEST_PORTS` are free on it.
 * @example
 * const reserved = await LoopbackHost.reserve();
 * server.listen(TEST_PORTS.clients, reserved.host);
 * reserved.release();
 */
export class LoopbackHost {
  readonly host: string;
  readonly #reservation: Server;

  private constructor(host: string, reservation: Server) {
    this.host = host;
    this.#reservation = reservation;
  }

  /** Reserves the next address that no other process holds. */
  static async reserve(): Promise<LoopbackHost> {
    for (;;) {
      nextHostIndex = (nextHostIndex + 1) % HOST_COUNT;
      const block = Math.floor(nextHostIndex / HOSTS_PER_BLOCK);
      const host = `${NETWORK}.${block}.${(nextHostIndex % HOSTS_PER_BLOCK) + 1}`;
      const reservation = await listenAt(host);
      if (reservation !== undefined) return new LoopbackHost(host, reservation);
    }
  }

  /** The addresses of an edge on this host. */
  get edgeAddresses(): EdgeAddresses {
    return {
      host: this.host,
      corePort: TEST_PORTS.core,
      edgePort: TEST_PORTS.edge,
      clients: `${this.host}:${TEST_PORTS.clients}`,
      readiness: `${this.host}:${TEST_PORTS.readiness}`,
    };
  }

  /** Lets other tests reserve the address. */
  release(): void {
    this.#reservation.close();
  }
}

/** Listens on the reservation port; undefined if another process does. */
function listenAt(host: string): Promise<Server | undefined> {
  return new Promise((resolve, reject) => {
    const server = createServer((socket) => socket.destroy());
    server.once('error', (thrown: NodeJS.ErrnoException) => {
      if (thrown.code === 'EADDRINUSE') resolve(undefined);
      else reject(thrown);
    });
    server.listen(RESERVATION_PORT, host, () => {
      server.unref();
      resolve(server);
    });
  });
}
