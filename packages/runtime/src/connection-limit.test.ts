import { Socket } from 'node:net';
import { beforeEach, describe, it } from 'node:test';
import { expect } from 'earl';
import { ConnectionLimit } from './connection-limit.js';

const GRACE_MS = 1000;

describe('a connection limit', () => {
  let nowMs = 0;
  let limit: ConnectionLimit;
  let sockets: Socket[];

  beforeEach(() => {
    nowMs = 0;
    limit = new ConnectionLimit(3, { nowMs: () => nowMs });
    sockets = Array.from({ length: 5 }, () => new Socket());
  });

  function add(...indices: readonly number[]): void {
    for (const index of indices) limit.add(sockets[index] as Socket);
  }

  function closed(): number[] {
    return sockets.flatMap((socket, index) => (socket.destroyed ? [index] : []));
  }

  it('closes the oldest connection that was never used for a new one', () => {
    add(0, 1, 2);
    limit.touch(sockets[0] as Socket);
    nowMs += GRACE_MS;
    add(3);
    expect(closed()).toEqual([1]);
    expect(limit.counts).toEqual({ open: 3, limit: 3, closed: 1 });
  });

  it('closes the connection at rest for longest where those never used have just come', () => {
    add(0, 1, 2);
    limit.touch(sockets[1] as Socket);
    limit.touch(sockets[0] as Socket);
    add(3);
    expect(closed()).toEqual([1]);
  });

  it('closes a connection that has just come where no other is at rest', () => {
    add(0, 1, 2);
    limit.begin(sockets[0] as Socket);
    add(3);
    expect(closed()).toEqual([1]);
  });

  it('keeps connections with requests in progress, and closes the new one where there are no others', () => {
    add(0, 1, 2);
    for (const socket of sockets.slice(0, 3)) limit.begin(socket);
    limit.begin(sockets[0] as Socket);
    limit.end(sockets[0] as Socket);
    add(3);
    expect(closed()).toEqual([3]);
    limit.end(sockets[0] as Socket);
    add(4);
    expect(closed()).toEqual([0, 3]);
  });

  it('does not count a connection again whose request begins after its close', async () => {
    add(0);
    sockets[0]?.destroy();
    await new Promise((resolve) => setImmediate(resolve));
    limit.begin(sockets[0] as Socket);
    expect(limit.counts.open).toEqual(0);
  });

  it('counts closed connections no longer', async () => {
    add(0, 1, 2);
    limit.begin(sockets[2] as Socket);
    for (const socket of sockets) socket.destroy();
    await new Promise((resolve) => setImmediate(resolve));
    limit.end(sockets[2] as Socket);
    expect(limit.counts).toEqual({ open: 0, limit: 3, closed: 0 });
  });
});
