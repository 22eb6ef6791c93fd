import { fault, type Fault } from '@rainrun/common';
import { StreamWatch } from './stream.js';
import type { GatewayWorker } from './dependencies.js';
import type { SendHandler, Sending } from './sender.js';
import type { GatewayRequest } from './gateway-request.js';

const WHOLE_MAX_BYTES = 8 * 1024 * 1024;

/** How a send ended; `done` is set when the visitor has had an answer. */
export interface SendEnd {
  readonly done: 'served' | 'cut' | undefined;
  readonly succeeded: boolean;
  /** Whether any byte may have left. */
  readonly sent: boolean;
  /** Whether a connection was tried at all. */
  readonly tried: boolean;
  readonly fault: Fault;
}

/** What a send needs of its gateway. */
export interface SendContext {
  nowMs(): number;
  mayStart(): boolean;
  over(end: SendEnd): void;
}

const NO_FAULT = fault('outcome-unknown', '');

/**
 * One send: takes the worker's reply apart and passes it on to the visitor.
 * @example
 * const send = new Send(visit, worker, context);
 * send.attach(sender.send(request, send));
 */
export class Send implements SendHandler {
  #visit: GatewayRequest;
  #worker: GatewayWorker;
  #context: SendContext;
  #sending: Sending | undefined;
  #status = 0;
  #contentType = '';
  #watch: StreamWatch | undefined;
  #whole: Buffer[] = [];
  #wholeBytes = 0;
  #opened = false;
  #started = false;
  #withheld = false;
  #over = false;

  constructor(visit: GatewayRequest, worker: GatewayWorker, context: SendContext) {
    this.#visit = visit;
    this.#worker = worker;
    this.#context = context;
  }

  attach(sending: Sending): void {
    this.#sending = sending;
    if (this.#over) sending.abort();
  }

  get worker(): GatewayWorker {
    return this.#worker;
  }

  /** Sent, and no word of the worker yet. */
  get silent(): boolean {
    return this.#started && this.#status === 0 && !this.#over;
  }

  get deadlineMs(): number {
    return this.#visit.deadlineMs;
  }

  /** The deadline has passed while the worker was at it. */
  expire(): void {
    if (this.#opened) this.#cut();
    else this.#fail(true, fault('deadline-exceeded', 'the deadline passed after it was sent'));
    this.#sending?.abort();
  }

  /** No way to the worker is found, and what was sent must not arrive there late. */
  abandon(): void {
    this.#fail(true, fault('outcome-unknown', `no way to ${this.#worker.name}, which may get no more work`));
    this.#sending?.abort();
  }

  /** The visitor has left: the worker's connection is closed. */
  leave(): void {
    this.#finish({ done: undefined, succeeded: true, sent: true, tried: true, fault: NO_FAULT });
    this.#sending?.abort();
  }

  mayStart(): boolean {
    if (this.#over) return false;
    this.#started = this.#context.mayStart();
    this.#withheld = !this.#started;
    return this.#started;
  }

  start(status: number, contentType: string): void {
    this.#status = status;
    this.#contentType = contentType;
    const streaming = status === 200 && contentType.startsWith('text/event-stream');
    if (status === 200 && streaming !== this.#visit.streamed)
      return this.#nonsense(`${contentType} instead of what was asked`);
    if (streaming) this.#watch = new StreamWatch();
  }

  chunk(bytes: Buffer): void {
    if (this.#over) return;
    if (this.#watch === undefined) {
      this.#wholeBytes += bytes.length;
      if (this.#wholeBytes > WHOLE_MAX_BYTES) return this.#nonsense('an answer without end');
      this.#whole.push(bytes);
      return;
    }
    const step = this.#watch.take(bytes);
    if ('nonsense' in step) return this.#nonsense(step.nonsense);
    if (step.events.length > 0) this.#pass(step.events);
  }

  end(): void {
    if (this.#over) return;
    if (this.#watch !== undefined) return this.#endStream(this.#watch);
    const body = Buffer.concat(this.#whole);
    if (this.#status === 429 || this.#status === 503) {
      return this.#fail(
        true,
        fault('no-worker', `${this.#worker.name} took no more`),
        !this.#visit.idempotent,
      );
    }
    if (this.#status >= 500 || this.#status < 200)
      return this.#fail(true, fault('worker-nonsense', `${this.#worker.name} answered ${this.#status}`));
    if (!isJson(body))
      return this.#fail(true, fault('worker-nonsense', `${this.#worker.name} did not answer in JSON`));
    this.#visit.firstChunkMs ??= this.#context.nowMs();
    this.#visit.sink.respond(this.#status, this.#contentType, body);
    this.#finish({ done: 'served', succeeded: true, sent: true, tried: true, fault: NO_FAULT });
  }

  failed(sent: boolean, why: string): void {
    if (this.#over) return;
    if (!sent) {
      const tried = !this.#withheld;
      this.#finish({
        done: undefined,
        succeeded: !tried,
        sent: false,
        tried,
        fault: fault('no-worker', why),
      });
      return;
    }
    if (this.#opened) return this.#cut();
    const late = this.#context.nowMs() >= this.#visit.deadlineMs;
    this.#fail(
      true,
      late
        ? fault('deadline-exceeded', 'the deadline passed after it was sent')
        : fault('outcome-unknown', `${this.#worker.name}: ${why}`),
    );
  }

  #pass(events: Buffer): void {
    const { sink: port } = this.#visit;
    if (!this.#opened) {
      this.#opened = true;
      this.#visit.firstChunkMs ??= this.#context.nowMs();
      port.open(this.#contentType);
    }
    if (!port.write(events, () => this.#sending?.resume())) this.#sending?.pause();
  }

  #endStream(watch: StreamWatch): void {
    if (!watch.finished) {
      if (this.#opened) return this.#cut();
      return this.#fail(true, fault('outcome-unknown', `${this.#worker.name} ended early`));
    }
    this.#pass(watch.closing);
    this.#visit.sink.close();
    this.#finish({ done: 'served', succeeded: true, sent: true, tried: true, fault: NO_FAULT });
  }

  #nonsense(why: string): void {
    if (this.#opened) this.#cut();
    else this.#fail(true, fault('worker-nonsense', `${this.#worker.name}: ${why}`));
    this.#sending?.abort();
  }

  #cut(): void {
    this.#visit.sink.abort();
    this.#finish({ done: 'cut', succeeded: false, sent: true, tried: true, fault: NO_FAULT });
  }

  #fail(sent: boolean, why: Fault, well = false): void {
    this.#finish({ done: undefined, succeeded: well, sent, tried: true, fault: why });
  }

  #finish(end: SendEnd): void {
    if (this.#over) return;
    this.#over = true;
    this.#context.over(end);
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
