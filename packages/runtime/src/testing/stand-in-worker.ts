import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { TEST_NAMES, type StandInNames } from './stand-in-names.js';
import { AsyncQueue } from './async-queue.js';

/** A response of a stand-in worker; fields that are left out take the values of a correct response. */
export interface WorkerResponse {
  readonly status?: number;
  readonly body?: string;
  /** The request id to echo; `null` omits the header. */
  readonly id?: string | null;
  /** The signature; `null` omits the header. */
  readonly signature?: string | null;
  readonly headers?: readonly string[];
}

/** A complete request that a stand-in worker received, with methods for correct and faulty responses. */
export class WorkerCall {
  readonly method: string;
  readonly target: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  /** Name of the worker that received it. */
  readonly worker: string;
  /** Index of the worker's connection on which it arrived, counted from 0. */
  readonly connection: number;
  #socket: Socket;
  #names: StandInNames;

  constructor(head: string, body: string, worker: StandInWorker, connection: number, socket: Socket) {
    const [first = '', ...lines] = head.split('\r\n');
    const [method = '', target = ''] = first.split(' ');
    this.method = method;
    this.target = target;
    this.headers = new Map(
      lines.map((line) => {
        const colon = line.indexOf(':');
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
      }),
    );
    this.body = body;
    this.worker = worker.name;
    this.#names = worker.names;
    this.connection = connection;
    this.#socket = socket;
  }

  get id(): string {
    return this.headers.get(this.#names.requestId) ?? '';
  }

  /** Resolves when the connection is closed. */
  get closed(): Promise<void> {
    if (this.#socket.destroyed) return Promise.resolve();
    return new Promise((resolve) => this.#socket.once('close', () => resolve()));
  }

  write(text: string): void {
    this.#socket.write(text);
  }

  respond(answer: WorkerResponse = {}): void {
    this.write(this.responseText(answer));
  }

  /** Responds that the worker has not run the request. */
  decline(answer: WorkerResponse = {}): void {
    this.respond({ status: 503, body: '', headers: [`${this.#names.notRun}: 1`], ...answer });
  }

  /** The text of one complete response. */
  responseText({
    status = 200,
    body = `of ${this.id}`,
    id,
    signature,
    headers = [],
  }: WorkerResponse): string {
    return `${this.#head(status, id, signature, [...headers, `Content-Length: ${body.length}`])}${body}`;
  }

  /** Writes the head of a chunked event stream. */
  openStream(signature = 's', headers: readonly string[] = []): void {
    const allHeaders = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked', ...headers];
    this.write(this.#head(200, undefined, signature, allHeaders));
  }

  /** Writes a chunk that holds one event. */
  event(eventId: number): void {
    this.chunk(`id: ${eventId}\ndata: e${eventId}\n\n`);
  }

  chunk(text: string): void {
    this.write(`${text.length.toString(16)}\r\n${text}\r\n`);
  }

  endStream(): void {
    this.write('0\r\n\r\n');
  }

  reset(): void {
    this.#socket.resetAndDestroy();
  }

  close(): void {
    this.#socket.end();
  }

  #head(
    status: number,
    id: string | null | undefined,
    signature: string | null | undefined,
    headers: readonly string[],
  ): string {
    const lines = [`HTTP/1.1 ${status} Status`];
    if (id !== null) lines.push(`${this.#names.requestId}: ${id ?? this.id}`);
    if (signature !== null) lines.push(`${this.#names.signature}: ${signature ?? 's'}`);
    return `${[...lines, ...headers].join('\r\n')}\r\n\r\n`;
  }
}

/** What a stand-in worker does with a connection before a request on it is complete. */
export type ConnectionFault =
  | 'none'
  /** Resets the connection as soon as it is accepted. */
  | 'reset on accept'
  /** Resets the connection on the first bytes of a request. */
  | 'reset on bytes'
  /** Resets the connection after the head of a request, before its body is complete. */
  | 'reset on head';

/**
 * A worker over raw TCP that never responds by itself: the test receives each request from the queue of calls
 * and decides byte by byte what is sent back.
 * @example
 * const calls = new AsyncQueue<WorkerCall>();
 * const worker = await StandInWorker.open('w0', calls);
 * (await calls.next()).respond({ body: 'ok' });
 */
export class StandInWorker {
  #server: Server;
  #sockets: Socket[] = [];
  #calls: AsyncQueue<WorkerCall>;
  readonly name: string;
  readonly names: StandInNames;
  /** Every complete request, in order of arrival. */
  readonly received: WorkerCall[] = [];
  /** Fault applied from now on to new connections and to requests on open ones. */
  fault: ConnectionFault = 'none';

  private constructor(name: string, calls: AsyncQueue<WorkerCall>, names: StandInNames) {
    this.name = name;
    this.names = names;
    this.#calls = calls;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Starts a worker that puts complete requests into `calls`, which several workers may share. */
  static open(
    name: string,
    calls: AsyncQueue<WorkerCall>,
    names: StandInNames = TEST_NAMES,
  ): Promise<StandInWorker> {
    const worker = new StandInWorker(name, calls, names);
    return new Promise((resolve) => {
      worker.#server.listen(0, '127.0.0.1', () => resolve(worker));
    });
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  /** Number of connections accepted so far. */
  get connections(): number {
    return this.#sockets.length;
  }

  /** Writes text on a connection without a pending request. */
  writeUnsolicited(connection: number, text: string): void {
    this.#sockets[connection]?.write(text);
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(socket: Socket): void {
    const connection = this.#sockets.push(socket) - 1;
    let rest = '';
    socket.on('error', () => undefined);
    if (this.fault === 'reset on accept') {
      socket.resetAndDestroy();
      return;
    }
    socket.on('data', (bytes: Buffer) => {
      if (this.fault === 'reset on bytes') {
        socket.resetAndDestroy();
        return;
      }
      rest += bytes.toString('latin1');
      rest = this.#receive(rest, connection, socket);
    });
  }

  /** Reads the complete requests in `text` and returns the remaining text. */
  #receive(text: string, connection: number, socket: Socket): string {
    const headEnd = text.indexOf('\r\n\r\n');
    if (headEnd < 0) return text;
    if (this.fault === 'reset on head') {
      socket.resetAndDestroy();
      return '';
    }
    const head = text.slice(0, headEnd);
    const length = Number(/\r\ncontent-length: *(\d+)/i.exec(head)?.[1] ?? 0);
    const bodyStart = headEnd + 4;
    if (text.length < bodyStart + length) return text;
    const call = new WorkerCall(head, text.slice(bodyStart, bodyStart + length), this, connection, socket);
    this.received.push(call);
    this.#calls.put(call);
    return this.#receive(text.slice(bodyStart + length), connection, socket);
  }
}
