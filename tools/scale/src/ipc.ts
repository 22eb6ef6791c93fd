import { fork, type ChildProcess } from 'node:child_process';
import { closeSync, openSync, readdirSync, readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

interface Asked {
  readonly id: number;
  readonly kind: string;
  readonly data: unknown;
}

interface Told {
  readonly id: number;
  readonly value: unknown;
}

/** Milliseconds on the clock that all processes of one machine share. */
export function sharedMs(): number {
  return Number(process.hrtime.bigint()) / 1e6;
}

/**
 * Answers what the parent asks, by the kind of the question.
 * @example
 * answerParent({ counts: () => counts });
 */
export function answerParent(handlers: Readonly<Record<string, (data: never) => unknown>>): void {
  process.on('disconnect', () => process.exit(0));
  process.on('message', (message) => {
    const { id, kind, data } = message as Asked;
    void Promise.resolve(handlers[kind]?.(data as never)).then((value) =>
      process.send?.({ id, value } satisfies Told),
    );
  });
}

/** What a process has used, by the kernel's own count. */
export interface Used {
  readonly cpuMs: number;
  readonly rssMb: number;
}

const PAGE_BYTES = 4096;

/**
 * Processor time and memory of a process, read without asking it.
 * @example
 * used(process.pid).rssMb;
 */
export function used(pid: number): Used {
  let ns = 0;
  for (const task of readdirSync(`/proc/${pid}/task`))
    ns += Number(readFileSync(`/proc/${pid}/task/${task}/schedstat`, 'utf8').split(' ')[0]);
  const pages = Number(readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ')[1]);
  return { cpuMs: ns / 1e6, rssMb: (pages * PAGE_BYTES) / 2 ** 20 };
}

/**
 * A process that this run started, and ends.
 * @example
 * const child = new Child('core-1', './system-child.js', ['core', path], logPath);
 * await child.ask('counts');
 */
export class Child {
  readonly name: string;
  #process: ChildProcess;
  #next = 0;
  #open = new Map<number, (value: unknown) => void>();
  #gone = false;
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
      const { id, value } = message as Told;
      this.#open.get(id)?.(value);
      this.#open.delete(id);
    });
    this.#exited = new Promise((resolve) => {
      this.#process.once('exit', () => {
        this.#gone = true;
        for (const done of this.#open.values()) done(undefined);
        this.#open.clear();
        resolve();
      });
    });
  }

  get alive(): boolean {
    return !this.#gone;
  }

  get used(): Used {
    const { pid } = this.#process;
    if (this.#gone || pid === undefined) return { cpuMs: 0, rssMb: 0 };
    return used(pid);
  }

  ask<T>(kind: string, data?: unknown): Promise<T> {
    return new Promise((resolve, reject) => {
      if (this.#gone) {
        reject(new Error(`${this.name} has ended`));
        return;
      }
      this.#next += 1;
      this.#open.set(this.#next, (value) =>
        this.#gone ? reject(new Error(`${this.name} has ended`)) : resolve(value as T),
      );
      this.#process.send({ id: this.#next, kind, data } satisfies Asked);
    });
  }

  async kill(signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
    if (!this.#gone) this.#process.kill(signal);
    await this.#exited;
  }
}
