import { describe, it } from 'node:test';
import { create } from '@bufbuild/protobuf';
import { ClaimSchema, EntrySchema, OperationSchema, ProposeSchema, SeatSchema, VersionSchema, ViewSchema, } from '@rainrun/messages';
import { fault } from '@rainrun/common';
import { expect } from 'earl';
import { Result } from 'true-myth';
import { Acceptor, readRecords } from './acceptor.js';
import { Causal, cutOf } from './causal.js';
import { Grants } from './grants.js';
import { advance, levelOf, REMEMBERED_MS, unbridged } from './play.js';
const VIEW = create(ViewSchema, {
    epoch: 1,
    number: 1,
    members: ['a', 'b', 'c'].map((incarnation) => create(SeatSchema, { incarnation, name: incarnation })),
});
function member(incarnation) {
    const heard = [];
    const causal = new Causal(VIEW, incarnation, (cast) => heard.push(`${cast.sender}${cast.sequence}`));
    return { causal, heard };
}
const EMPTY = new Uint8Array();
describe('causal order', () => {
    it('holds a cast back until what its sender had delivered has come', () => {
        const [a, b, c] = [member('a'), member('b'), member('c')];
        const first = a.causal.send(EMPTY);
        b.causal.receive(first);
        const answer = b.causal.send(EMPTY);
        c.causal.receive(answer);
        expect(c.heard).toEqual([]);
        c.causal.receive(first);
        expect(c.heard).toEqual(['a1', 'b1']);
    });
    it('carries only what changed in the context record', () => {
        const [a, b] = [member('a'), member('b')];
        b.causal.receive(a.causal.send(EMPTY));
        const first = b.causal.send(EMPTY);
        const second = b.causal.send(EMPTY);
        expect([first.contextRank, second.contextRank]).toEqual([[0], []]);
    });
    it('keeps a cast until all have it, and hands it on in a flush', () => {
        const [a, b] = [member('a'), member('b')];
        const cast = a.causal.send(EMPTY);
        b.causal.receive(cast);
        expect(b.causal.keptCount).toEqual(1);
        b.causal.learnDelivered('a', [1, 0, 0]);
        expect(b.causal.keptCount).toEqual(1);
        b.causal.learnDelivered('c', [1, 0, 0]);
        expect(b.causal.keptCount).toEqual(0);
    });
    it('lets go of what the gatherer says that all have', () => {
        const [a, b] = [member('a'), member('b')];
        b.causal.receive(a.causal.send(EMPTY));
        a.causal.learnDelivered('b', [1, 0, 0]);
        const early = a.causal.stable;
        a.causal.learnDelivered('c', [1, 0, 0]);
        b.causal.learnStable(early);
        const kept = b.causal.keptCount;
        b.causal.learnStable(a.causal.stable);
        expect([early, kept, b.causal.keptCount]).toEqual([[0, 0, 0], 1, 0]);
    });
    it('ends a view with the same casts everywhere, though their sender is gone', () => {
        const [a, b, c] = [member('a'), member('b'), member('c')];
        const one = a.causal.send(EMPTY);
        const two = a.causal.send(EMPTY);
        b.causal.receive(one);
        b.causal.receive(two);
        c.causal.receive(one);
        const cut = cutOf(VIEW, [b.causal.stop(), c.causal.stop()]);
        const late = b.causal.stop();
        for (const { causal } of [b, c])
            causal.finish(cut);
        expect(late.length).toEqual(2);
        expect([b.heard, c.heard]).toEqual([
            ['a1', 'a2'],
            ['a1', 'a2'],
        ]);
    });
    it('delivers nothing after it stopped but what was agreed', () => {
        const [a, b] = [member('a'), member('b')];
        b.causal.stop();
        b.causal.receive(a.causal.send(EMPTY));
        b.causal.finish([]);
        expect(b.heard).toEqual([]);
    });
    it('puts a cut in causal order, with those whose predecessors are lost at the end', () => {
        function full(sender, sequence, context) {
            const cast = member(sender).causal.send(EMPTY);
            return { ...cast, sequence, contextRank: [0, 1, 2], contextCount: context };
        }
        const cut = cutOf(VIEW, [[full('b', 1, [1, 1, 0]), full('c', 1, [0, 5, 1])], [full('a', 1, [1, 0, 0])]]);
        expect(cut.map((cast) => cast.sender)).toEqual(['a', 'b', 'c']);
    });
});
describe('grants', () => {
    it('last a second from the moment the majority was asked', () => {
        const grants = new Grants(1000);
        expect(grants.endMs(VIEW, 'a', 1, 500)).toEqual(-Infinity);
        grants.given('b', 400, 1);
        expect(grants.endMs(VIEW, 'a', 1, 500)).toEqual(1400);
    });
    it('do not count while the granter holds more than we do', () => {
        const grants = new Grants(1000);
        grants.given('b', 400, 2);
        expect(grants.endMs(VIEW, 'a', 1, 500)).toEqual(-Infinity);
        expect(grants.endMs(VIEW, 'a', 2, 500)).toEqual(1400);
    });
});
class SlowVault {
    waiting = [];
    store(_kind, _bytes, done) {
        this.waiting.push(() => done(Result.ok()));
    }
    sync() {
        for (const done of this.waiting.splice(0))
            done();
    }
}
function acceptorOn(vault) {
    const opening = readRecords({}, 'disk-1');
    return new Acceptor(opening.isOk
        ? opening.value
        : { disk: '', deployment: '', promisedEpoch: 0, promisedTo: '', accepted: undefined }, vault, 'test', () => undefined);
}
function version(epoch, number) {
    return create(ProposeSchema, {
        disk: 'leader',
        version: create(VersionSchema, { epoch, number, entry: create(EntrySchema) }),
    });
}
describe('voter', () => {
    it('answers only after the sync', () => {
        const vault = new SlowVault();
        const answers = [];
        const acceptor = acceptorOn(vault);
        acceptor.claim(create(ClaimSchema, { epoch: 3, disk: 'leader' }), (promise) => answers.push(promise));
        acceptor.propose(version(3, 1), (accepted) => answers.push(accepted));
        expect(answers.length).toEqual(0);
        vault.sync();
        expect(answers.length).toEqual(2);
    });
    it('promises an epoch to one claimant and refuses what is older', () => {
        const vault = new SlowVault();
        const acceptor = acceptorOn(vault);
        const granted = [];
        const refused = [];
        acceptor.claim(create(ClaimSchema, { epoch: 3, disk: 'leader' }), (promise) => granted.push(promise.granted));
        acceptor.claim(create(ClaimSchema, { epoch: 3, disk: 'other' }), (promise) => granted.push(promise.granted));
        acceptor.claim(create(ClaimSchema, { epoch: 2, disk: 'leader' }), (promise) => granted.push(promise.granted));
        acceptor.propose(version(2, 9), (accepted) => refused.push(accepted.refused));
        vault.sync();
        expect(granted).toEqual([false, false, true]);
        expect(refused).toEqual([true]);
    });
    it('is refused when its disk has lost what it once held', () => {
        const vault = new SlowVault();
        const acceptor = acceptorOn(vault);
        const records = [];
        const replica = {
            store: (kind, bytes, done) => {
                if (kind === 'disk')
                    records.push(bytes);
                done(Result.ok());
            },
        };
        const kept = acceptorOn(replica);
        kept.propose(version(1, 1), () => undefined);
        const opening = readRecords({ disk: records[0] ?? EMPTY }, 'fresh');
        expect(acceptor.disk).toEqual('disk-1');
        expect(opening.isErr && opening.error.kind).toEqual('damaged');
    });
});
describe('agreed operations', () => {
    const counter = {
        empty: () => 0,
        encode: (state) => ({ play: new Uint8Array([state]), extra: new Uint8Array() }),
        decode: ({ play }) => Result.ok(play[0] ?? 0),
        plain: (state) => state,
        apply: (state, operation) => operation.kind === 'add'
            ? { state: state + 1, outcome: { kind: 'agreed', detail: '' } }
            : { state, outcome: fault('bad-request', 'no such kind') },
    };
    const start = {
        epoch: 1,
        number: 1,
        deployment: 'd',
        view: VIEW,
        before: undefined,
        voters: [],
        votersBefore: [],
        play: 0,
        answers: [],
        level: 1,
        clockMs: 0,
    };
    it('take effect once for each id, and a refused one never', () => {
        const operations = ['x', 'x', 'y'].map((id) => create(OperationSchema, { id, kind: id === 'y' ? 'no' : 'add' }));
        const once = advance(counter, start, 1, create(EntrySchema, { operations }));
        const again = advance(counter, once, 1, create(EntrySchema, { operations }));
        expect([once.play, again.play, again.number]).toEqual([1, 1, 3]);
        expect(again.answers.map((answer) => `${answer.id} ${answer.kind}@${answer.number}`)).toEqual([
            'x agreed@2',
            'y bad-request@2',
        ]);
    });
    it("are remembered by their ids for ten minutes of the group's clock, placements for less", () => {
        function add(held, id, elapsedMs, brief = false) {
            return advance(counter, held, 1, create(EntrySchema, {
                level: 2,
                elapsedMs,
                operations: [create(OperationSchema, { id, kind: 'add', brief })],
            }));
        }
        let held = add(start, 'first', 5);
        for (let place = 0; place < 600; place += 1)
            held = add(held, `place-${place}`, 900, true);
        const soon = add(held, 'first', REMEMBERED_MS - 600 * 900);
        const late = add(held, 'first', REMEMBERED_MS - 600 * 900 + 1);
        expect([held.play, soon.play, late.play, held.answers.length]).toEqual([601, 601, 602, 65]);
    });
    it('follow the rules that all members speak, and no joiner comes in whom they cannot reach', () => {
        expect([levelOf([{ speaks: 2 }, { speaks: 0 }]), levelOf([{ speaks: 3 }, { speaks: 2 }])]).toEqual([
            1, 2,
        ]);
        const group = [
            { speaks: 2, speaksFrom: 1 },
            { speaks: 3, speaksFrom: 2 },
        ];
        expect(unbridged({ speaks: 2, speaksFrom: 1 }, group)).toEqual(undefined);
        expect(unbridged({ speaks: 0, speaksFrom: 0 }, group)).toEqual('it speaks levels 1 to 1 of the protocol, the group 2 to 2');
        expect(unbridged({ speaks: 4, speaksFrom: 3 }, group)).toEqual('it speaks levels 3 to 4 of the protocol, the group 2 to 2');
    });
});
//# sourceMappingURL=process-group.test.js.map