import { createConnection, type Socket } from 'node:net';
import { splitAddress } from '../peer-transport.js';
import { TEST_NAMES, type StandInNames } from './stand-in-names.js';
import { AsyncQueue } from './async-queue.js';

/** An HTTP response as a client received it. */
export interface ClientResponse {
  /** HTTP status, or 0 if the connection closed before a response began. */
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  /** Whether the body is complete according to the headers. */
  readonly whole: boolean;
}

/** A request that a raw client sends. */
export interface ClientRequest {
  readonly id: string;
  readonly path: string;
  readonly method?: string;
  readonly headers?: readonly string[];
  readonly body?: string;
}

const NO_RESPONSE: ClientResponse = { status: 0, headers: new Map(), body: '', whole: false };

/**
 * An HTTP client over raw TCP that can pipeline requests, send partial ones and read every byte of the
 * responses.
 * @example
 * const client = await RawClient.connect('127.0.0.1:8000');
 * client.request({ id: 'r1', path: '/often/x' });
 * (await client.next()).status; // 200
 */
export class RawClient {
  #socket: Socket;
  #names: StandInNames;
  #rest = '';
  /** Length of `#rest` below which the next response is known to be incomplete. */
  #minBytes = 0;
  #methods: string[] = [];
  #responses = new AsyncQueue<ClientResponse>();
  #textWaiters: { text: string; found: () => void }[] = [];
  #ended = false;
  /** All text received so far. */
  text = '';

  private constructor(socket: Socket, names: StandInNames) {
    this.#socket = socket;
    this.#names = names;
    socket.on('error', () => undefined);
    socket.on('data', (bytes: Buffer) => this.#receive(bytes.toString('latin1')));
    socket.on('close', () => this.#close());
  }

  /** Connects to IP:PORT. */
  static connect(address: string, names: StandInNames = TEST_NAMES): Promise<RawClient> {
    return new Promise((resolve, reject) => {
      const socket = createConnection({ ...splitAddress(address), noDelay: true });
      socket.once('error', reject);
      socket.once('connect', () => resolve(new RawClient(socket, names)));
    });
  }

  get ended(): boolean {
    return this.#ended;
  }

  /** Received text that does not belong to a complete response yet. */
  get rest(): string {
    return this.#rest;
  }

  send(text: string): void {
    this.#socket.write(text, 'latin1');
  }

  request(request: ClientRequest): void {
    this.send(this.requestText(request));
  }

  /** The text of a request; from now on its response is expected. */
  requestText({ id, path, method = 'POST', headers = [], body = 'work' }: ClientRequest): string {
    this.#methods.push(method);
    const lines = [
      `${method} ${path} HTTP/1.1`,
      'Host: a.example',
      `${this.#names.requestId}: ${id}`,
      ...headers,
      ...(body === '' ? [] : [`Content-Length: ${body.length}`]),
    ];
    return `${lines.join('\r\n')}\r\n\r\n${body}`;
  }

  /** The next response; its status is 0 or it is not whole if the connection closes first. */
  next(): Promise<ClientResponse> {
    return this.#responses.next();
  }

  /** Resolves when this text has been received. */
  waitForText(text: string): Promise<void> {
    if (this.text.includes(text)) return Promise.resolve();
    return new Promise((found) => this.#textWaiters.push({ text, found }));
  }

  pause(): void {
    this.#socket.pause();
  }

  resume(): void {
    this.#socket.resume();
  }

  reset(): void {
    this.#socket.resetAndDestroy();
  }

  close(): void {
    this.#socket.destroy();
  }

  #receive(text: string): void {
    this.text += text;
    this.#rest += text;
    for (let response = this.#readResponse(); response !== undefined; response = this.#readResponse())
      this.#responses.put(response);
    for (const waiter of this.#textWaiters.filter((one) => this.text.includes(one.text))) waiter.found();
    this.#textWaiters = this.#textWaiters.filter((one) => !this.text.includes(one.text));
  }

  #close(): void {
    this.#ended = true;
    const headEnd = this.#rest.indexOf('\r\n\r\n');
    this.#responses.put(
      headEnd < 0
        ? NO_RESPONSE
        : { ...readHead(this.#rest.slice(0, headEnd)), body: this.#rest.slice(headEnd + 4), whole: false },
    );
  }

  #readResponse(): ClientResponse | undefined {
    if (this.#rest.length < this.#minBytes) return undefined;
    const headEnd = this.#rest.indexOf('\r\n\r\n');
    if (headEnd < 0) return undefined;
    const head = readHead(this.#rest.slice(0, headEnd));
    const length = Number(head.headers.get('content-length') ?? Infinity);
    const after = this.#rest.slice(headEnd + 4);
    const read = this.#isBodiless(head.status)
      ? { body: '', rest: after }
      : head.headers.get('transfer-encoding') === 'chunked'
        ? readChunks(after)
        : readLength(after, length);
    if (read === undefined) {
      this.#minBytes = Number.isFinite(length) ? headEnd + 4 + length : 0;
      return undefined;
    }
    this.#minBytes = 0;
    this.#methods.shift();
    this.#rest = read.rest;
    return { ...head, body: read.body, whole: true };
  }

  #isBodiless(status: number): boolean {
    return this.#methods[0] === 'HEAD' || status === 204 || status === 304;
  }
}

function readHead(text: string): Pick<ClientResponse, 'status' | 'headers'> {
  const [first = '', ...lines] = text.split('\r\n');
  const headers = new Map(
    lines.map((line) => {
      const colon = line.indexOf(':');
      return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }),
  );
  return { status: Number(first.split(' ')[1]), headers };
}

function readLength(text: string, length: number): { body: string; rest: string } | undefined {
  return text.length < length ? undefined : { body: text.slice(0, length), rest: text.slice(length) };
}

function readChunks(text: string): { body: string; rest: string } | undefined {
  let rest = text;
  let body = '';
  for (;;) {
    const lineEnd = rest.indexOf('\r\n');
    if (lineEnd < 0) return undefined;
    const length = Number.parseInt(rest.slice(0, lineEnd), 16);
    const end = lineEnd + 2 + length + 2;
    if (rest.length < end) return undefined;
    body += rest.slice(lineEnd + 2, lineEnd + 2 + length);
    rest = rest.slice(end);
    if (length === 0) return { body, rest };
  }
}
