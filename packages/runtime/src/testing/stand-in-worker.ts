import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { TEST_NAMES, type StandInNames } from './stand-in-names.js';
import { AsyncQueue } from './async-queue.js';

/** What a stand-in worker writes as one answer; everything that is left out is as a sound worker has it. */
export interface WorkerResponse {
  readonly status?: number;
  readonly body?: string;
  /** The id that is echoed; `null` leaves the header out. */
  readonly id?: string | null;
  /** The signature; `null` leaves the header out. */
  readonly signature?: string | null;
  readonly headers?: readonly string[];
}

/** One whole request as a stand-in worker received it, with the means to answer it well or badly. */
export class WorkerCall {
  readonly method: string;
  readonly target: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  /** Name of the worker that received it. */
  readonly worker: string;
  /** Which of the worker's connections brought it, counted from 0. */
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

  /** Resolves when the connection is gone. */
  get closed(): Promise<void> {
    if (this.#socket.destroyed) return Promise.resolve();
    return new Promise((resolve) => this.#socket.once('close', () => resolve()));
  }

  write(text: string): void {
    this.#socket.write(text);
  }

  respond(answer: WorkerResponse = {}): void {
    this.write(this.textOf(answer));
  }

  /** The worker says that it has not run the request. */
  decline(answer: WorkerResponse = {}): void {
    this.respond({ status: 503, body: '', headers: [`${this.#names.notRun}: 1`], ...answer });
  }

  /** The text of one whole answer. */
  textOf({ status = 200, body = `of ${this.id}`, id, signature, headers = [] }: WorkerResponse): string {
    return `${this.#head(status, id, signature, [...headers, `Content-Length: ${body.length}`])}${body}`;
  }

  /** Writes the head of a stream of events, chunked. */
  openStream(signature = 's', headers: readonly string[] = []): void {
    const own = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked', ...headers];
    this.write(this.#head(200, undefined, signature, own));
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

/** What a stand-in worker does with a connection before any request on it is whole. */
export type ConnectionFault =
  | 'none'
  /** Reset as soon as it is accepted. */
  | 'reset on accept'
  /** Reset once the first bytes of a request came. */
  | 'reset on bytes'
  /** Reset once the head of a request came, before its body is whole. */
  | 'reset on head';

/**
 * A worker that speaks raw TCP and does nothing by itself: the test takes each
 * request with `next` and says byte by byte what comes back.
 * @example
 * const calls = new Waiters<WorkerCall>();
 * const worker = await StandInWorker.open('w0', calls);
 * (await calls.next()).answer({ body: 'well' });
 */
export class StandInWorker {
  #server: Server;
  #sockets: Socket[] = [];
  #calls: AsyncQueue<WorkerCall>;
  readonly name: string;
  readonly names: StandInNames;
  /** Every whole request, in order of arrival. */
  readonly received: WorkerCall[] = [];
  /** How requests on connections that come, or that are kept, are met from now on. */
  fault: ConnectionFault = 'none';

  private constructor(name: string, calls: AsyncQueue<WorkerCall>, names: StandInNames) {
    this.name = name;
    this.names = names;
    this.#calls = calls;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  /** Whole requests are put into `calls`, which workers may share. */
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

  /** How many connections were accepted. */
  get connections(): number {
    return this.#sockets.length;
  }

  /** Writes bytes on a connection on which no request waits. */
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

  /** Takes whole requests from what has come, and returns what is left. */
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
