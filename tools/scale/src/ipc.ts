import { fork, type ChildProcess } from 'node:child_process';
import { closeSync, openSync, readdirSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

interface ParentRequest {
  readonly id: number;
  readonly kind: string;
  readonly data: unknown;
}

interface ChildResponse {
  readonly id: number;
  readonly value: unknown;
}

/** Milliseconds of the monotonic clock that all processes of one machine share. */
export function sharedMs(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}

/**
 * Answers calls from the parent process with the handler registered for their kind.
 * @example
 * serveParent({ counts: () => counts });
 */
export function serveParent(handlers: Readonly<Record<string, (data: never) => unknown>>): void {
  process.on('disconnect', () => process.exit(0));
  process.on('message', (message) => {
    const { id, kind, data } = message as ParentRequest;
    void Promise.resolve(handlers[kind]?.(data as never)).then((value) =>
      process.send?.({ id, value } satisfies ChildResponse),
    );
  });
}

/** Processor time and resident memory of a process, as counted by the kernel. */
export interface ResourceUsage {
  readonly cpuMs: number;
  readonly rssMb: number;
}

const PAGE_BYTES = 4096;

/**
 * Reads the processor time and memory of a process from /proc, without its cooperation.
 * @example
 * readResourceUsage(process.pid).rssMb;
 */
export function readResourceUsage(pid: number): ResourceUsage {
  let ns = 0;
  for (const task of readdirSync(`/proc/${pid}/task`))
    ns += Number(readFileSync(`/proc/${pid}/task/${task}/schedstat`, 'utf8').split(' ')[0]);
  const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
  return { cpuMs: ns / 1e6, rssMb: (pages * PAGE_BYTES) / 2 ** 20 };
}

/**
 * Child process that the run starts and stops.
 * @example
 * const child = new Child('core-1', './system-child.js', ['core', path], logPath);
 * await child.call('counts');
 */
export class Child {
  readonly name: string;
  #process: ChildProcess;
  #lastId = 0;
  #pending = new Map<number, (value: unknown) => void>();
  #hasExited = false;
  #exited: Promise<void>;

  constructor(
    name: string,
    script: string,
    args: readonly string[],
    logPath: string,
    execArgv: readonly string[] = [],
  ) {
    this.name = name;
    const log = openSync(logPath, 'a');
    this.#process = fork(fileURLToPath(new URL(script, import.meta.url)), [...args], {
      stdio: ['ignore', log, log, 'ipc'],
      execArgv: [...execArgv],
    });
    closeSync(log);
    this.#process.on('message', (message) => {
      const { id, value } = message as ChildResponse;
      this.#pending.get(id)?.(value);
      this.#pending.delete(id);
    });
    this.#exited = new Promise((resolve) => {
      this.#process.once('exit', () => {
        this.#hasExited = true;
        for (const done of this.#pending.values()) done(undefined);
        this.#pending.clear();
        resolve();
      });
    });
  }

  get alive(): boolean {
    return !this.#hasExited;
  }

  get resourceUsage(): ResourceUsage {
    const { pid } = this.#process;
    if (this.#hasExited || pid === undefined) return { cpuMs: 0, rssMb: 0 };
    return readResourceUsage(pid);
  }

  call<T>(kind: string, data?: unknown): Promise<T> {
    return new Promise((resolve, reject) => {
      if (this.#hasExited) {
        reject(new Error(`child process ${this.name} has exited`));
        return;
      }
      this.#lastId += 1;
      this.#pending.set(this.#lastId, (value) =>
        this.#hasExited ? reject(new Error(`child process ${this.name} has exited`)) : resolve(value as T),
      );
      this.#process.send({ id: this.#lastId, kind, data } satisfies ParentRequest);
    });
  }

  async kill(signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
    if (!this.#hasExited) this.#process.kill(signal);
    await this.#exited;
  }
}
