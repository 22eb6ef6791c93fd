import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { FRAME_MAX_BYTES, OperationSchema, pack, SPEAKS } from '@rainrun/messages';
import { Dice } from '@rainrun/common';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { Acceptor, readRecords } from './acceptor.js';
import { Group } from './group.js';
import { GROUP_TIMES } from './times.js';
const NAMES = ['a', 'b', 'c'];
const TICK_MS = 20;
/** A disk that has synced as soon as it is asked to. */
class QuickVault {
    store(_kind, _bytes, done) {
        done(Result.ok());
    }
}
/** A state that counts the bytes of the operations that were applied. */
const COUNT = {
    empty: () => 0,
    encode: (state) => ({ play: new TextEncoder().encode(String(state)), extra: new Uint8Array() }),
    decode: ({ play }) => Result.ok(Number(new TextDecoder().decode(play))),
    apply: (state, { payload }) => ({
        state: state + payload.length,
        outcome: { kind: 'agreed', detail: '' },
    }),
    plain: (state) => state,
};
/** Three cores on a network without delay, in virtual time. */
class Cluster {
    nowMs = 1000;
    mostBytes = 0;
    answers = [];
    cuts = new Set();
    groups = new Map();
    #frames = [];
    constructor() {
        const dice = new Dice(3);
        for (const name of NAMES) {
            const opening = readRecords({}, `disk-${name}`);
            if (opening.isErr)
                continue;
            const group = new Group({
                name,
                address: name,
                zone: 'z',
                deployment: 'd',
                seeds: NAMES,
                founders: NAMES,
                clock: { nowMs: () => this.nowMs },
                chance: dice,
                times: GROUP_TIMES,
                play: COUNT,
                acceptor: new Acceptor(opening.value, new QuickVault(), 'd', () => undefined),
                speaks: SPEAKS,
                audience: {
                    onVersion: () => undefined,
                    onCast: () => undefined,
                    onAnswer: (answer) => this.answers.push(answer),
                    onReborn: () => undefined,
                    onFrame: () => undefined,
                    onRefused: () => undefined,
                },
                post: (to, frame) => this.#post(name, to, frame),
            });
            this.groups.set(name, group);
        }
    }
    get coordinator() {
        return NAMES.find((name) => this.group(name).leading) ?? '';
    }
    group(name) {
        return this.groups.get(name);
    }
    run(forMs) {
        for (const endMs = this.nowMs + forMs; this.nowMs < endMs; this.nowMs += TICK_MS) {
            for (const group of this.groups.values())
                group.tick();
            this.#deliver();
        }
    }
    cut(one, other) {
        this.cuts.add(`${one} ${other}`).add(`${other} ${one}`);
    }
    #post(from, to, frame) {
        this.mostBytes = Math.max(this.mostBytes, pack(frame).length);
        if (!this.cuts.has(`${from} ${to}`))
            this.#frames.push({ to, frame });
    }
    #deliver() {
        for (let next = this.#frames.shift(); next !== undefined; next = this.#frames.shift())
            this.groups.get(next.to)?.receive(next.frame);
    }
}
describe('control safety, point 1: a member that has said goodbye', () => {
    it('vouches for nobody, itself included: the others agree without it', () => {
        const cluster = new Cluster();
        cluster.run(3000);
        const { coordinator } = cluster;
        const [leaving, cutOff] = NAMES.filter((name) => name !== coordinator);
        const before = NAMES.map((name) => cluster.group(name).granted());
        cluster.cut(coordinator, cutOff);
        cluster.group(leaving).leave();
        const leftMs = cluster.nowMs;
        cluster.run(150);
        const informed = [leaving, cutOff].map((name) => cluster.group(name).informedMs() > leftMs);
        expect([before, informed]).toEqual([
            [true, true, true],
            [false, false],
        ]);
    });
});
describe('control safety, point 2: large orders at once', () => {
    it('are agreed in versions that a message between nodes can carry', () => {
        const cluster = new Cluster();
        cluster.run(3000);
        const bytes = 2 * 1024 * 1024;
        for (let place = 0; place < 8; place += 1) {
            const operation = create(OperationSchema, {
                id: `o${place}`,
                kind: 'k',
                payload: new Uint8Array(bytes),
                brief: true,
            });
            expect(cluster.group('b').submit(operation)).toEqual(true);
        }
        cluster.run(3000);
        expect([cluster.answers.length, cluster.mostBytes < FRAME_MAX_BYTES]).toEqual([8, true]);
        expect(NAMES.map((name) => cluster.group(name).held?.play)).toEqual(NAMES.map(() => 8 * bytes));
    });
});
//# sourceMappingURL=group-orders.test.js.map