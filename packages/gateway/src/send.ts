/** One attempt to send a request to a worker, and the handling of the response. */
import { ByteCollector, fault, type Fault } from '@rainrun/common';
import { EventStreamValidator } from './event-stream.js';
import type { GatewayWorker } from './dependencies.js';
import type { SendHandler, SendHandle } from './sender.js';
import type { GatewayRequest } from './gateway-request.js';

/** Largest response, other than an event stream, that is buffered. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

/** Result of a send; `outcome` is set if the client has received a response or a part of one. */
export interface SendResult {
  readonly outcome: 'served' | 'cut' | undefined;
  /** False if the send counts as a failure of the worker, for its backoff. */
  readonly succeeded: boolean;
  /** Whether any byte may have been written to the worker. */
  readonly sent: boolean;
  /** Whether a connection was attempted. */
  readonly tried: boolean;
  readonly fault: Fault;
}

/** What the gateway provides to a send. */
export interface SendContext {
  nowMs(): number;
  mayStart(): boolean;
  /** Called exactly once, with the result. */
  onEnd(result: SendResult): void;
}

const NO_FAULT = fault('outcome-unknown', '');

/**
 * One send of a request to a worker: validates the worker's response and forwards it to the client.
 * @example
 * const send = new Send(request, worker, context);
 * send.attach(sender.send(request, send));
 */
export class Send implements SendHandler {
  #request: GatewayRequest;
  #worker: GatewayWorker;
  #context: SendContext;
  #sending: SendHandle | undefined;
  #status = 0;
  #contentType = '';
  #eventStream: EventStreamValidator | undefined;
  #body = new ByteCollector();
  #opened = false;
  #started = false;
  #startDenied = false;
  #ended = false;

  constructor(request: GatewayRequest, worker: GatewayWorker, context: SendContext) {
    this.#request = request;
    this.#worker = worker;
    this.#context = context;
  }

  attach(sending: SendHandle): void {
    this.#sending = sending;
    if (this.#ended) sending.abort();
  }

  get worker(): GatewayWorker {
    return this.#worker;
  }

  /** Whether the request was sent and the worker has not responded yet. */
  get isUnanswered(): boolean {
    return this.#started && this.#status === 0 && !this.#ended;
  }

  get deadlineMs(): number {
    return this.#request.deadlineMs;
  }

  /** Ends the send because the deadline has passed; an open stream is cut. */
  expire(): void {
    if (this.#opened) this.#cut();
    else this.#fail(true, fault('deadline-exceeded', 'the deadline passed after the request was sent'));
    this.#sending?.abort();
  }

  /** Ends the send because the worker cannot be reached; bytes already sent must not arrive there late. */
  abandon(): void {
    this.#fail(
      true,
      fault('outcome-unknown', `cannot reach ${this.#worker.name}, which may no longer receive work`),
    );
    this.#sending?.abort();
  }

  /** Ends the send because the client has disconnected, and closes the connection to the worker. */
  clientLeft(): void {
    this.#end({ outcome: undefined, succeeded: true, sent: true, tried: true, fault: NO_FAULT });
    this.#sending?.abort();
  }

  mayStart(): boolean {
    if (this.#ended) return false;
    this.#started = this.#context.mayStart();
    this.#startDenied = !this.#started;
    return this.#started;
  }

  start(status: number, contentType: string): void {
    this.#status = status;
    this.#contentType = contentType;
    const streaming = status === 200 && contentType.startsWith('text/event-stream');
    if (status === 200 && streaming !== this.#request.streamed)
      return this.#abort(`${contentType} is not the content type that was requested`);
    if (streaming) this.#eventStream = new EventStreamValidator();
  }

  chunk(bytes: Buffer): void {
    if (this.#ended) return;
    if (this.#eventStream === undefined) {
      if (this.#body.lengthBytes + bytes.length > MAX_BUFFERED_BYTES)
        return this.#abort('the response exceeds the size limit');
      this.#body.append(bytes);
      return;
    }
    const checked = this.#eventStream.take(bytes);
    if ('violation' in checked) return this.#abort(checked.violation);
    if (checked.events.length > 0) this.#forward(checked.events);
  }

  end(): void {
    if (this.#ended) return;
    if (this.#eventStream !== undefined) return this.#endStream(this.#eventStream);
    const body = this.#body.take();
    if (this.#status === 429 || this.#status === 503) {
      return this.#fail(
        true,
        fault('no-worker', `${this.#worker.name} is at capacity`),
        !this.#request.idempotent,
      );
    }
    if (this.#status >= 500 || this.#status < 200)
      return this.#fail(
        true,
        fault('worker-nonsense', `${this.#worker.name} responded with status ${this.#status}`),
      );
    if (!isJson(body))
      return this.#fail(true, fault('worker-nonsense', `${this.#worker.name} did not respond with JSON`));
    this.#request.firstChunkMs ??= this.#context.nowMs();
    this.#request.sink.respond(this.#status, this.#contentType, body);
    this.#end({ outcome: 'served', succeeded: true, sent: true, tried: true, fault: NO_FAULT });
  }

  failed(sent: boolean, reason: string): void {
    if (this.#ended) return;
    if (!sent) {
      const tried = !this.#startDenied;
      this.#end({
        outcome: undefined,
        succeeded: !tried,
        sent: false,
        tried,
        fault: fault('no-worker', reason),
      });
      return;
    }
    if (this.#opened) return this.#cut();
    const late = this.#context.nowMs() >= this.#request.deadlineMs;
    this.#fail(
      true,
      late
        ? fault('deadline-exceeded', 'the deadline passed after the request was sent')
        : fault('outcome-unknown', `${this.#worker.name}: ${reason}`),
    );
  }

  #forward(events: Buffer): void {
    const { sink: sink } = this.#request;
    if (!this.#opened) {
      this.#opened = true;
      this.#request.firstChunkMs ??= this.#context.nowMs();
      sink.open(this.#contentType);
    }
    if (!sink.write(events, () => this.#sending?.resume())) this.#sending?.pause();
  }

  #endStream(validator: EventStreamValidator): void {
    if (!validator.isComplete) {
      if (this.#opened) return this.#cut();
      return this.#fail(true, fault('outcome-unknown', `${this.#worker.name} ended the stream early`));
    }
    this.#forward(validator.closingEvent);
    this.#request.sink.close();
    this.#end({ outcome: 'served', succeeded: true, sent: true, tried: true, fault: NO_FAULT });
  }

  #abort(reason: string): void {
    if (this.#opened) this.#cut();
    else this.#fail(true, fault('worker-nonsense', `${this.#worker.name}: ${reason}`));
    this.#sending?.abort();
  }

  #cut(): void {
    this.#request.sink.abort();
    this.#end({ outcome: 'cut', succeeded: false, sent: true, tried: true, fault: NO_FAULT });
  }

  #fail(sent: boolean, reason: Fault, countsAsSuccess = false): void {
    this.#end({ outcome: undefined, succeeded: countsAsSuccess, sent, tried: true, fault: reason });
  }

  #end(result: SendResult): void {
    if (this.#ended) return;
    this.#ended = true;
    this.#context.onEnd(result);
  }
}

function isJson(body: Buffer): boolean {
  try {
    JSON.parse(body.toString('utf8'));
    return true;
  } catch {
    return false;
  }
}
