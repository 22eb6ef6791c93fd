import { describe, it } from 'node:test';
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import { SubscribeSchema, MemberSchema, StateUpdateSchema, ModelDemandSchema } from '@rainrun/messages';
import { EMPTY_DEPLOYMENT } from '@rainrun/configuration';
import { expect } from 'earl';
import { PlanPacer } from './plan-pacer.js';
import { Subscribers, type AvailableState, type Subscriber } from './subscribers.js';
import { decodeStateUpdate, encodeStateUpdate } from './state-update.js';

const NO_CHANGES = { all: false, models: new Set<string>() };

function memberOf(incarnation: string) {
  return create(MemberSchema, { name: incarnation, incarnation, address: `${incarnation}:1` });
}

function subscribe(
  subscribers: Subscribers,
  edge: string,
  nowMs: number,
  known: MessageInitShape<typeof SubscribeSchema> = {},
  model = '',
): Subscriber {
  const demands = model === '' ? [] : [create(ModelDemandSchema, { service: 'assist', model })];
  const message = create(SubscribeSchema, {
    subscriber: memberOf(edge),
    tableId: 't',
    tableRow: 5,
    edition: 3,
    demands,
    ...known,
  });
  return subscribers.onSubscribe(message, memberOf(edge), nowMs);
}

function availableState(change: Partial<AvailableState> = {}): AvailableState {
  return { edition: 3, tableId: 't', tableRow: 5, isCoordinator: true, ...change };
}

function incarnationsOf(subscribers: readonly Subscriber[]): string[] {
  return subscribers.map(({ member }) => member.incarnation);
}

describe('subscribers', () => {
  it('sends a change of a model at once to the edges that demand it, and batched to the others', () => {
    const subscribers = new Subscribers();
    for (const edge of ['a', 'b', 'c'])
      subscribers.recordRowsSent(
        subscribe(subscribers, edge, 1000, {}, edge === 'b' ? 'm' : 'n'),
        availableState(),
        0,
        1000,
      );
    const changes = { all: false, models: new Set(['assist/m']) };
    expect(
      incarnationsOf(subscribers.dueSubscribers(availableState({ tableRow: 6 }), changes, 1001)),
    ).toEqual(['b']);
    // For the other edges, changes are batched for 3 ms per subscriber, so for 9 ms.
    expect(
      incarnationsOf(subscribers.dueSubscribers(availableState({ tableRow: 6 }), NO_CHANGES, 1008)),
    ).toEqual([]);
    expect(
      incarnationsOf(subscribers.dueSubscribers(availableState({ tableRow: 6 }), NO_CHANGES, 1009)),
    ).toEqual(['a', 'b', 'c']);
  });

  it('sends the arrival or departure of a worker at once to all edges', () => {
    const subscribers = new Subscribers();
    for (const edge of ['a', 'b'])
      subscribers.recordRowsSent(subscribe(subscribers, edge, 1000), availableState(), 0, 1000);
    expect(
      incarnationsOf(
        subscribers.dueSubscribers(availableState({ tableRow: 6 }), { all: true, models: new Set() }, 1001),
      ),
    ).toEqual(['a', 'b']);
  });

  it('sends an urgent change once its batching delay has passed', () => {
    const subscribers = new Subscribers();
    for (let edge = 0; edge < 40; edge += 1)
      subscribers.recordRowsSent(
        subscribe(subscribers, `e${edge}`, 1000, {}, edge === 7 ? 'm' : 'n'),
        availableState(),
        0,
        1000,
      );
    const changes = { all: false, models: new Set(['assist/m']) };
    expect(
      incarnationsOf(subscribers.dueSubscribers(availableState({ tableRow: 6 }), changes, 1001)),
    ).toEqual([]);
    expect(
      incarnationsOf(subscribers.dueSubscribers(availableState({ tableRow: 6 }), NO_CHANGES, 1006)),
    ).toEqual(['e7']);
  });

  it('sends the state five times a second during frequent changes, and the newest one at the end', () => {
    const subscribers = new Subscribers();
    subscribe(subscribers, 'a', 1000);
    let sent = 0;
    let nowMs = 1000;
    for (let edition = 4; edition < 34; edition += 1) {
      nowMs += 50;
      for (const one of subscribers.dueSubscribers(availableState({ edition }), NO_CHANGES, nowMs)) {
        sent += 1;
        subscribers.recordStateSent(one, availableState({ edition }), nowMs);
      }
    }
    const [last] = subscribers.dueSubscribers(availableState({ edition: 33 }), NO_CHANGES, nowMs + 200);
    const newest = last === undefined ? 33 : last.edition;
    expect([sent, newest >= 30]).toEqual([8, true]);
  });

  it('does not repeat rows in flight, but sends them again if the edge still lacks them afterwards', () => {
    const subscribers = new Subscribers();
    const one = subscribe(subscribers, 'a', 1000, { tableRow: 0 });
    subscribers.recordRowsSent(one, availableState(), 5, 1000);
    expect(
      subscribers.isAnswerDue(subscribe(subscribers, 'a', 1010, { tableRow: 0 }), availableState(), 1010),
    ).toEqual(true);
    one.lastUpdateMs = 1005;
    expect(
      subscribers.isAnswerDue(subscribe(subscribers, 'a', 1011, { tableRow: 0 }), availableState(), 1011),
    ).toEqual(false);
    expect(
      subscribers.isAnswerDue(subscribe(subscribers, 'a', 1100, { tableRow: 0 }), availableState(), 1100),
    ).toEqual(true);
  });

  it('sends updates only as answers from a core that is not the coordinator', () => {
    const subscribers = new Subscribers();
    subscribe(subscribers, 'a', 1000);
    expect(
      subscribers.dueSubscribers(availableState({ edition: 9, isCoordinator: false }), NO_CHANGES, 2000),
    ).toEqual([]);
    expect(
      subscribers.isAnswerDue(
        subscribe(subscribers, 'a', 2000),
        availableState({ edition: 9, isCoordinator: false }),
        2000,
      ),
    ).toEqual(true);
  });

  it('expires a subscription that is not renewed', () => {
    const subscribers = new Subscribers();
    subscribe(subscribers, 'a', 1000);
    subscribers.expire(3400);
    expect(subscribers.size).toEqual(1);
    subscribers.expire(3600);
    expect(subscribers.size).toEqual(0);
  });
});

describe('the encoding of the state for edges', () => {
  it('is decoded to the same state from both forms, without the accepted changes', () => {
    const state = { ...EMPTY_DEPLOYMENT, edition: 4, revision: 9, evacuated: ['north'] };
    const encoded = encodeStateUpdate(state);
    for (const update of [
      create(StateUpdateSchema, { state: encoded.plain }),
      create(StateUpdateSchema, { deflatedState: encoded.deflated }),
    ]) {
      const read = decodeStateUpdate(update);
      expect(read?.isOk === true ? read.value : undefined).toEqual({
        ...state,
        accepted: EMPTY_DEPLOYMENT.accepted,
      });
    }
  });

  it('is rejected if it is corrupt, and undefined if an update includes none', () => {
    expect(
      decodeStateUpdate(create(StateUpdateSchema, { deflatedState: new Uint8Array([1, 2, 3]) }))?.isErr,
    ).toEqual(true);
    expect(decodeStateUpdate(create(StateUpdateSchema))).toEqual(undefined);
  });
});

describe('pacing of plans', () => {
  it('leaves three quarters of the time to other work, however long a plan takes', () => {
    const pacer = new PlanPacer();
    let nowMs = 0;
    let planningMs = 0;
    while (nowMs < 10_000) {
      if (pacer.isDue(nowMs)) {
        pacer.recordPlan(nowMs, nowMs + 30);
        planningMs += 30;
        nowMs += 30;
      } else nowMs += 1;
    }
    expect(planningMs <= 2600).toEqual(true);
    expect(planningMs >= 2400).toEqual(true);
  });

  it('lets cheap plans follow each other after 4 ms', () => {
    const pacer = new PlanPacer();
    pacer.recordPlan(1000, 1000);
    expect([pacer.isDue(1003), pacer.isDue(1004)]).toEqual([false, true]);
  });
});
