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
  it('sends a change of a model at once to those who demand it, and to the others with later ones', () => {
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
    // The others are gathered for 3 ms times the three of them.
    expect(
      incarnationsOf(subscribers.dueSubscribers(availableState({ tableRow: 6 }), NO_CHANGES, 1008)),
    ).toEqual([]);
    expect(
      incarnationsOf(subscribers.dueSubscribers(availableState({ tableRow: 6 }), NO_CHANGES, 1009)),
    ).toEqual(['a', 'b', 'c']);
  });

  it('tells everyone at once that a worker came or leaves', () => {
    const subscribers = new Subscribers();
    for (const edge of ['a', 'b'])
      subscribers.recordRowsSent(subscribe(subscribers, edge, 1000), availableState(), 0, 1000);
    expect(
      incarnationsOf(
        subscribers.dueSubscribers(availableState({ tableRow: 6 }), { all: true, models: new Set() }, 1001),
      ),
    ).toEqual(['a', 'b']);
  });

  it('does not lose an urgent change that came while others were gathered', () => {
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

  it('sends a new state in a storm of changes five times a second, and always the newest in the end', () => {
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

  it('does not repeat rows that are on their way, and sends them again once they must have come', () => {
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

  it('sends nothing unasked from a core that is not the coordinator', () => {
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

describe('the state as edges receive it', () => {
  it('comes back the same in both forms, without what operators sent', () => {
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

  it('is refused where it is garbled', () => {
    expect(
      decodeStateUpdate(create(StateUpdateSchema, { deflatedState: new Uint8Array([1, 2, 3]) }))?.isErr,
    ).toEqual(true);
    expect(decodeStateUpdate(create(StateUpdateSchema))).toEqual(undefined);
  });
});

describe('pacing of plans', () => {
  it('leaves three quarters of the time to everything else, however dear a plan is', () => {
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

  it('lets cheap plans follow each other at once', () => {
    const pacer = new PlanPacer();
    pacer.recordPlan(1000, 1000);
    expect([pacer.isDue(1003), pacer.isDue(1004)]).toEqual([false, true]);
  });
});
