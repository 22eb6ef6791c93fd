import { describe, it } from 'node:test';
import { once } from 'node:events';
import { connect } from 'node:net';
import { inspect } from 'node:util';
import type { OperatorCall, OperatorReply } from '@rainrun/cluster-node';
import { FAULT_RESPONSES, fault, type Fault } from '@rainrun/common';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { request } from 'undici';
import type { Dialect } from './dialect.js';
import { jsonExtent } from './json-extent.js';
import type { Log } from './log.js';
import { BODY_MAX_BYTES, OperatorServer } from './operator-server.js';
import { MONOTONIC_CLOCK } from './process-environment.js';

function readCall(
  _method: string,
  path: string,
  _headers: unknown,
  body: string,
): Result<OperatorCall, Fault> {
  if (path.startsWith('/zones/')) return Result.ok({ kind: 'evacuate', zone: path.slice(7) });
  return Result.ok({ kind: 'put', base: 0, document: JSON.parse(body) as Record<string, unknown> });
}

function failure(why: Fault): OperatorReply {
  return { status: FAULT_RESPONSES[why.kind].status, body: JSON.stringify(why) };
}

const SILENT = { info: () => undefined, error: () => undefined } as unknown as Log;

/** Opens a server that answers every call with 200 and collects the calls. */
async function open(
  dialect: Pick<Dialect, 'readCall'> = { readCall },
  log: Log = SILENT,
): Promise<{ server: OperatorServer; calls: OperatorCall[]; address: string }> {
  const calls: OperatorCall[] = [];
  const answers = {
    answer(call: OperatorCall, done: (reply: OperatorReply) => void): void {
      calls.push(call);
      done({ status: 200, body: '{}' });
    },
    failure,
  };
  const server = new OperatorServer({
    dialect: dialect as Dialect,
    handler: answers,
    log,
    machine: { memoryMb: 256, openFiles: 1024 },
    clock: MONOTONIC_CLOCK,
  });
  await new Promise<void>((resolve) => server.listen('127.0.0.1', 0, resolve));
  return { server, calls, address: `127.0.0.1:${server.port}` };
}

async function send(address: string, path: string, body: string | Buffer): Promise<number> {
  const reply = await request(`http://${address}${path}`, { method: 'PUT', body });
  await reply.body.dump();
  return reply.statusCode;
}

describe('control safety, point 1: malformed input of operators', () => {
  it('is rejected with an error status, and the server keeps running', async () => {
    const { server, calls, address } = await open();
    const depth = 200_000;
    const statuses = [
      await send(address, '/', '{"a":1}'),
      await send(address, '/', ' '.repeat(BODY_MAX_BYTES + 1)),
      await send(address, '/', ' '.repeat(3 * BODY_MAX_BYTES)),
      await send(address, '/', `{"routes":${'['.repeat(depth)}${']'.repeat(depth)}}`),
      await send(address, '/', Buffer.from([0x7b, 0x22, 0xff, 0x22, 0x3a, 0x31, 0x7d])),
      await send(address, '/', '{"a":"[[[[\\"[["}'),
    ];
    server.close();
    expect(statuses).toEqual([200, 413, 413, 400, 400, 200]);
    expect(calls.length).toEqual(2);
  });
});

describe('control safety, point 2: a call whose caller has disconnected', () => {
  it('is not executed: it was delayed here, and its caller may have called another node', async () => {
    const { server, calls, address } = await open();
    const socket = connect(server.port, '127.0.0.1');
    await once(socket, 'connect');
    socket.end('POST /zones/west HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n');
    socket.resume();
    await once(socket, 'close');
    const status = await send(address, '/zones/east', '');
    server.close();
    expect([status, calls]).toEqual([200, [{ kind: 'evacuate', zone: 'east' }]]);
  });
});

describe('the log of operator calls', () => {
  it('contains neither the body nor the error thrown while parsing it', async () => {
    const lines: string[] = [];
    function keepLine(...line: unknown[]): void {
      lines.push(inspect(line, { depth: 9 }));
    }
    const refusing = {
      readCall: (method: string, path: string, headers: unknown, body: string) =>
        path === '/refused'
          ? Result.err<OperatorCall, Fault>(fault('bad-request', 'not JSON', { cause: new Error(body) }))
          : readCall(method, path, headers, body),
    };
    const { server, address } = await open(refusing, { info: keepLine, error: keepLine } as unknown as Log);
    const statuses = [
      await send(address, '/refused', '{"tenants":["sk-secret",]}'),
      await send(address, '/', '{"tenants":["sk-secret"]}'),
    ];
    server.close();
    expect(statuses).toEqual([400, 200]);
    expect([lines.length, lines.filter((line) => line.includes('secret'))]).toEqual([2, []]);
  });
});

describe('the nesting depth of a JSON text', () => {
  it('counts arrays and objects, but no brackets within strings', () => {
    expect(
      ['1', '{}', '{"a":[{"b":"[[["}]}', '"\\"[["', '[[]'].map((text) => jsonExtent(text).depth),
    ).toEqual([0, 1, 3, 0, 2]);
    expect(['1', '{}', '[1,2,3]', '{"a":[1,2],"b":","}'].map((text) => jsonExtent(text).values)).toEqual([
      1, 2, 4, 5,
    ]);
  });
});
