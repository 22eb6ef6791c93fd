import { createConnection, createServer, type Server, type Socket } from 'node:net';

/** Reports whether the link from one node to another is cut; the two directions are independent. */
export type LinkCut = (from: string, to: string) => boolean;

/** Addresses of a relayed node: `bind`, where it listens, and `reach`, where the relay listens for it. */
export interface RelayEndpoint {
  readonly name: string;
  readonly bind: string;
  readonly reach: string;
}

interface RelayedConnection {
  readonly from: string;
  readonly to: string;
  readonly source: Socket;
  readonly target: Socket;
  readonly chunks: { readonly dueMs: number; readonly bytes: Buffer }[];
  ended: boolean;
}

const FORWARD_INTERVAL_MS = 5;
const MAX_BUFFERED_CHUNKS = 4096;

function parseAddress(address: string): { host: string; port: number } {
  const [host = '', port] = address.split(':');
  return { host, port: Number(port) };
}

/**
 * Forwards every connection between the nodes of a fleet, and can cut or delay links. The relay identifies
 * the sender by the loopback address that the connection comes from. A cut buffers bytes instead of dropping
 * them, as seen over a network whose sender retransmits; the buffered bytes are forwarded once the cut heals.
 * @example
 * const relay = new Relay();
 * await relay.listen([{ name: 'core-1', bind: '127.0.0.11:7001', reach: '127.0.0.1:8001' }]);
 * relay.cut((from) => from === 'core-1');
 */
export class Relay {
  #nameByHost = new Map<string, string>();
  #servers: Server[] = [];
  #connections = new Set<RelayedConnection>();
  #isCut: LinkCut = () => false;
  #delayMs: () => number = () => 0;
  #forwardTimer: NodeJS.Timeout | undefined;

  async listen(endpoints: readonly RelayEndpoint[]): Promise<void> {
    this.#forwardTimer = setInterval(() => this.#forwardDueChunks(), FORWARD_INTERVAL_MS);
    for (const endpoint of endpoints) await this.add(endpoint);
  }

  /** Adds an endpoint while the relay runs, for example when a machine is replaced at another address. */
  add(endpoint: RelayEndpoint): Promise<void> {
    this.#nameByHost.set(parseAddress(endpoint.bind).host, endpoint.name);
    const server = createServer((source) => this.#accept(source, endpoint));
    this.#servers.push(server);
    const { host, port } = parseAddress(endpoint.reach);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, () => resolve());
    });
  }

  cut(isCut: LinkCut): void {
    this.#isCut = isCut;
  }

  /** Delays each chunk by what `delayMs` returns for it; a long delay simulates loss and resending. */
  delay(delayMs: () => number): void {
    this.#delayMs = delayMs;
  }

  heal(): void {
    this.#isCut = () => false;
    this.#delayMs = () => 0;
  }

  close(): void {
    clearInterval(this.#forwardTimer);
    for (const server of this.#servers) server.close();
    for (const { source, target } of this.#connections) {
      source.destroy();
      target.destroy();
    }
  }

  #accept(source: Socket, endpoint: RelayEndpoint): void {
    const from = this.#nameByHost.get(source.remoteAddress ?? '') ?? '';
    const target = createConnection({ ...parseAddress(endpoint.bind), noDelay: true });
    const connection: RelayedConnection = {
      from,
      to: endpoint.name,
      source,
      target,
      chunks: [],
      ended: false,
    };
    this.#connections.add(connection);
    source.on('data', (bytes: Buffer) => {
      const last = connection.chunks.at(-1)?.dueMs ?? 0;
      connection.chunks.push({ dueMs: Math.max(last, performance.now() + this.#delayMs()), bytes });
      if (connection.chunks.length > MAX_BUFFERED_CHUNKS) source.pause();
    });
    source.on('error', () => undefined);
    target.on('error', () => undefined);
    source.on('close', () => {
      connection.ended = true;
    });
    target.on('close', () => {
      source.destroy();
      this.#connections.delete(connection);
    });
  }

  #forwardDueChunks(): void {
    const nowMs = performance.now();
    for (const connection of this.#connections) {
      if (this.#isCut(connection.from, connection.to)) continue;
      for (
        let next = connection.chunks[0];
        next !== undefined && next.dueMs <= nowMs;
        next = connection.chunks[0]
      ) {
        connection.target.write(next.bytes);
        connection.chunks.shift();
      }
      if (connection.source.isPaused() && connection.chunks.length === 0) connection.source.resume();
      if (connection.ended && connection.chunks.length === 0) connection.target.end();
    }
  }
}
