/**
 * Search of the states that a few machines can reach: all orders of messages,
 * losses, duplicates, syncs and crashes within a budget. A message that was sent
 * may be delivered at any later time, more than once or never. The code of a
 * machine runs once for each combination of its state and an input; the search
 * itself works on numbered states.
 */
import type { Records } from '@rainrun/storage';
import type { Budget, Scope } from './agreement-scopes.js';
import { findViolation } from './agreement-invariants.js';
import { messageKey, type Message } from './agreement-messages.js';
import { emptyDisk, diskWithFirstVersion, firstVersion } from './agreement-initial-state.js';
import { ModelMachine, type AgreementCode, type Input } from './agreement-model.js';

/** An action on one machine; a delivery refers to its message by number. */
export interface Action {
  readonly machine: number;
  readonly what:
    | Exclude<Input, { readonly kind: 'deliver' }>
    | { readonly kind: 'deliver'; readonly message: number }
    | { readonly kind: 'crash' }
    | { readonly kind: 'lose' };
}

type ModelInput = Exclude<Action['what'], { readonly kind: 'crash' | 'lose' }>;

/** The states of all machines and the messages sent so far. */
export interface State {
  /** Numbers of the machines' states; -1 stands for a lost machine. */
  readonly machines: readonly number[];
  /** Numbers of all messages that were ever sent, in ascending order. */
  readonly sent: readonly number[];
  readonly budget: Budget;
}

/** The result of an action. */
export interface Step {
  readonly state: State;
  readonly violation: string | undefined;
}

interface MachineState {
  readonly name: string;
  readonly boot: { readonly incarnation: number; readonly records: Records };
  readonly inputs: readonly Input[];
  readonly records: Records;
  readonly hasPendingWrites: boolean;
  readonly canPrepare: boolean;
  readonly isIdleCoordinator: boolean;
  /** Keys of the messages that are not delivered again. */
  readonly receivedMessages: ReadonlySet<string>;
  /** A machine in this state until a transition uses it; after that, `inputs` are replayed on a new one. */
  cachedMachine: ModelMachine | undefined;
}

interface Transition {
  readonly next: number;
  readonly sent: readonly number[];
}

const LOST_MACHINE = -1;

/**
 * The graph of states of one scope, over one build of the code.
 * @example
 * const space = new StateSpace(code, scope);
 * for (const action of space.actions(space.start)) space.step(space.start, action);
 */
export class StateSpace {
  readonly start: State;
  #code: AgreementCode;
  #scope: Scope;
  #machineNames: readonly string[];
  #machineStates: MachineState[] = [];
  #machineStateNumbers = new Map<string, number>();
  #transitions = new Map<string, Transition>();
  #messages: { readonly message: Message; readonly name: string }[] = [];
  #messageNumbers = new Map<string, number>();
  /** Numbers of the messages of the first election, which are not delivered again. */
  #setupMessages = new Set<number>();

  constructor(code: AgreementCode, scope: Scope) {
    this.#code = code;
    this.#scope = scope;
    this.#machineNames = [...scope.voters, ...scope.spares];
    this.start = this.#stateAfterFirstElection();
  }

  /** All actions that are possible in a state. */
  actions(state: State): Action[] {
    const actions: Action[] = [];
    for (const [machine, number] of state.machines.entries()) {
      const machineState = this.#machineStates[number];
      if (machineState === undefined) continue;
      this.#addLocalActions(actions, state, machine, machineState);
      for (const sent of state.sent) this.#addDelivery(actions, machine, machineState, sent);
    }
    return actions;
  }

  /** Carries out an action; returns the same state if the action changes nothing. */
  step(state: State, action: Action): Step {
    const { machine, what } = action;
    switch (what.kind) {
      case 'crash':
        return { state: this.#crash(state, machine), violation: undefined };
      case 'lose':
        return { state: this.#lose(state, machine), violation: undefined };
      default:
        return this.#apply(state, machine, what);
    }
  }

  /** An action as a line of a trace. */
  describe({ machine, what }: Action): string {
    const name = this.#machineNames[machine] ?? '';
    if (what.kind !== 'deliver')
      return `${name}: ${what.kind}${what.kind === 'replace' ? ` ${what.disk}` : ''}`;
    return `${name}: takes ${describeMessage(this.#message(what.message))}`;
  }

  /** A key that is the same for equal states. */
  key(state: State): string {
    const { prepares, crashes, operations, replacements, losses } = state.budget;
    return `${state.machines.join()} ${state.sent.join()} ${prepares} ${crashes} ${operations} ${replacements} ${losses}`;
  }

  // Initial state.

  /** The state in which the first coordinator is elected and every machine holds its first version. */
  #stateAfterFirstElection(): State {
    const { voters, spares, coordinator, budget } = this.#scope;
    const version = firstVersion(this.#machineNames, voters);
    const machines = [
      ...voters.map((name) => this.#boot(name, 1, diskWithFirstVersion(name, version, coordinator))),
      ...spares.map((name) => this.#boot(name, 1, emptyDisk(name))),
    ];
    const machine = voters.indexOf(coordinator);
    let state = this.#apply({ machines, sent: [], budget }, machine, { kind: 'prepare' }).state;
    for (;;) {
      const next = this.#progress(state);
      if (next === undefined) return this.#completeSetup(state, budget);
      state = next;
    }
  }

  /** Ends the setup; the invariants still see the first election's messages, which are not redelivered. */
  #completeSetup(state: State, budget: Budget): State {
    for (const number of state.sent) this.#setupMessages.add(number);
    const machines = state.machines.map((number, index) =>
      this.#scope.lost.includes(this.#machineNames[index] ?? '') ? LOST_MACHINE : number,
    );
    return { ...state, machines, budget };
  }

  /** The state after the first sync or delivery that has an effect. */
  #progress(state: State): State | undefined {
    for (const action of this.actions(state)) {
      if (action.what.kind !== 'sync' && action.what.kind !== 'deliver') continue;
      const next = this.step(state, action).state;
      if (next !== state) return next;
    }
    return undefined;
  }

  #boot(name: string, incarnation: number, records: Records): number {
    return this.#intern(
      new ModelMachine(this.#code, { machine: name, incarnation }, records),
      { incarnation, records },
      [],
    );
  }

  #intern(machine: ModelMachine, boot: MachineState['boot'], inputs: readonly Input[]): number {
    const fingerprint = machine.fingerprint();
    const known = this.#machineStateNumbers.get(fingerprint);
    if (known !== undefined) return known;
    const number = this.#machineStates.length;
    const { records, hasPendingWrites, canPrepare, isIdleCoordinator, receivedMessages } = machine;
    this.#machineStateNumbers.set(fingerprint, number);
    this.#machineStates.push({
      name: machine.from.machine,
      boot,
      inputs,
      records,
      hasPendingWrites,
      canPrepare,
      isIdleCoordinator,
      receivedMessages,
      cachedMachine: machine,
    });
    return number;
  }

  // Possible actions.

  #addLocalActions(actions: Action[], state: State, machine: number, machineState: MachineState): void {
    const { budget } = state;
    if (machineState.hasPendingWrites) actions.push({ machine, what: { kind: 'sync' } });
    if (budget.prepares > 0 && machineState.canPrepare && this.#scope.candidates.includes(machineState.name))
      actions.push({ machine, what: { kind: 'prepare' } });
    if (budget.crashes > 0 && this.#scope.crashing.includes(machineState.name))
      actions.push({ machine, what: { kind: 'crash' } });
    if (budget.operations > 0 && machineState.isIdleCoordinator)
      actions.push({ machine, what: { kind: 'operate' } });
    if (budget.replacements > 0 && machineState.isIdleCoordinator) {
      for (const disk of this.#scope.replaceable)
        if (disk !== this.#machineNames[machine]) actions.push({ machine, what: { kind: 'replace', disk } });
    }
    if (budget.losses > 0 && this.#canLoseDisk(state)) actions.push({ machine, what: { kind: 'lose' } });
  }

  /** Whether a disk may be lost: only while all voters of the newest chosen version have theirs. */
  #canLoseDisk(state: State): boolean {
    let voters: readonly string[] = this.#scope.voters;
    let newest = 0;
    for (const number of state.sent) {
      const message = this.#messages[number]?.message;
      if (message?.kind !== 'chosen' || message.version.number <= newest) continue;
      newest = message.version.number;
      voters = (message.version.state?.voters ?? []).map((voter) => voter.disk);
    }
    return voters.every((name) => state.machines[this.#machineNames.indexOf(name)] !== LOST_MACHINE);
  }

  #addDelivery(actions: Action[], machine: number, machineState: MachineState, sent: number): void {
    if (this.#setupMessages.has(sent) || !this.#isAddressedTo(this.#message(sent), machineState)) return;
    if (machineState.receivedMessages.has(this.#messages[sent]?.name ?? '')) return;
    actions.push({ machine, what: { kind: 'deliver', message: sent } });
  }

  #isAddressedTo(message: Message, { name, boot }: MachineState): boolean {
    switch (message.kind) {
      case 'prepare':
      case 'propose':
        return message.to === name;
      case 'promise':
      case 'accepted':
        return (
          message.to.machine === name &&
          message.to.incarnation === boot.incarnation &&
          message.from.machine !== name
        );
      default:
        return false;
    }
  }

  // Transitions.

  #apply(state: State, machine: number, what: ModelInput): Step {
    const from = state.machines[machine] ?? LOST_MACHINE;
    let { next, sent } = this.#transition(from, what);
    while (!this.#scope.slowDisks && this.#machineStates[next]?.hasPendingWrites === true) {
      const synced = this.#transition(next, { kind: 'sync' });
      next = synced.next;
      sent = [...sent, ...synced.sent];
    }
    const newMessages = [...new Set(sent)].filter((number) => !state.sent.includes(number));
    if (next === from && newMessages.length === 0 && what.kind === 'deliver')
      return { state, violation: undefined };
    return {
      state: {
        machines: withState(state.machines, machine, next),
        sent:
          newMessages.length === 0
            ? state.sent
            : [...state.sent, ...newMessages].sort((one, other) => one - other),
        budget: budgetAfter(state.budget, what),
      },
      violation: this.#violation(state.sent, newMessages),
    };
  }

  #violation(sent: readonly number[], newMessages: readonly number[]): string | undefined {
    if (newMessages.length === 0) return undefined;
    const before = sent.map((number) => this.#message(number));
    for (const number of newMessages) {
      const message = this.#message(number);
      const found = findViolation(before, message);
      if (found !== undefined) return found;
      before.push(message);
    }
    return undefined;
  }

  #message(number: number): Message {
    return (this.#messages[number] as { message: Message }).message;
  }

  #transition(from: number, what: ModelInput): Transition {
    const key = `${from} ${inputKey(what)}`;
    const known = this.#transitions.get(key);
    if (known !== undefined) return known;
    const { boot, inputs } = this.#machineStates[from] as MachineState;
    const input: Input = what.kind === 'deliver' ? { ...what, message: this.#message(what.message) } : what;
    const machine = this.#restoreMachine(this.#machineStates[from] as MachineState);
    const sent = machine
      .apply(input)
      .filter((message) => this.#scope.rejections || !isRejection(message))
      .map((message) => this.#internMessage(message));
    const transition = { next: this.#intern(machine, boot, [...inputs, input]), sent };
    this.#transitions.set(key, transition);
    return transition;
  }

  #restoreMachine(state: MachineState): ModelMachine {
    const { cachedMachine, name, boot, inputs } = state;
    state.cachedMachine = undefined;
    if (cachedMachine !== undefined) return cachedMachine;
    const machine = new ModelMachine(
      this.#code,
      { machine: name, incarnation: boot.incarnation },
      boot.records,
    );
    for (const earlier of inputs) machine.apply(earlier);
    return machine;
  }

  #internMessage(message: Message): number {
    const name = messageKey(message);
    const known = this.#messageNumbers.get(name);
    if (known !== undefined) return known;
    const number = this.#messages.length;
    this.#messageNumbers.set(name, number);
    this.#messages.push({ message, name });
    return number;
  }

  #crash(state: State, machine: number): State {
    const { boot, records } = this.#machineStates[state.machines[machine] ?? LOST_MACHINE] as MachineState;
    const next = this.#boot(this.#machineNames[machine] ?? '', boot.incarnation + 1, records);
    const budget = { ...state.budget, crashes: state.budget.crashes - 1 };
    return { ...state, budget, machines: withState(state.machines, machine, next) };
  }

  #lose(state: State, machine: number): State {
    const budget = { ...state.budget, losses: state.budget.losses - 1 };
    return { ...state, budget, machines: withState(state.machines, machine, LOST_MACHINE) };
  }
}

function withState(machines: readonly number[], machine: number, next: number): number[] {
  return machines.map((number, index) => (index === machine ? next : number));
}

function budgetAfter(budget: Budget, input: ModelInput): Budget {
  switch (input.kind) {
    case 'prepare':
      return { ...budget, prepares: budget.prepares - 1 };
    case 'operate':
      return { ...budget, operations: budget.operations - 1 };
    case 'replace':
      return { ...budget, replacements: budget.replacements - 1 };
    default:
      return budget;
  }
}

function inputKey(what: ModelInput): string {
  if (what.kind === 'deliver') return String(what.message);
  return what.kind === 'replace' ? `replace ${what.disk}` : what.kind;
}

function isRejection(message: Message): boolean {
  if (message.kind === 'promise') return !message.promise.granted;
  return message.kind === 'accepted' && message.accepted.rejected;
}

function describeMessage(message: Message): string {
  return messageKey(message).replace(/(\d+\/\d+)\/\S+$/, 'version $1');
}

/**
 * Walks randomly through the states: each choice picks one of the actions that
 * have an effect, most often a delivery or a sync. Returns the trace and the
 * violation at its end, if there is one.
 * @example
 * randomWalk(space, [3, 1, 4, 1, 5]);
 */
export function randomWalk(space: StateSpace, choices: readonly number[]): RandomWalkResult {
  const trace: string[] = [];
  let state = space.start;
  for (const choice of choices) {
    const actions = space.actions(state);
    const due = actions.filter(({ what }) => what.kind === 'deliver' || what.kind === 'sync');
    const others = actions.filter((action) => !due.includes(action));
    const candidates = choice % FAULT_EVERY === 0 ? others : due;
    const step = firstEffectiveStep(space, state, candidates, Math.floor(choice / FAULT_EVERY));
    if (step === undefined) continue;
    trace.push(step.text);
    if (step.violation !== undefined) return { trace, violation: step.violation };
    state = step.state;
  }
  return { trace, violation: undefined };
}

/** One choice in this many picks an action other than a delivery or a sync. */
const FAULT_EVERY = 6;

/** The result of a random walk. */
export interface RandomWalkResult {
  readonly trace: readonly string[];
  readonly violation: string | undefined;
}

/** The first action with an effect, trying the list from a position on and wrapping around. */
function firstEffectiveStep(
  space: StateSpace,
  state: State,
  actions: readonly Action[],
  from: number,
): (Step & { readonly text: string }) | undefined {
  for (let index = 0; index < actions.length; index += 1) {
    const action = actions[(from + index) % actions.length] as Action;
    const step = space.step(state, action);
    if (step.state !== state || step.violation !== undefined)
      return { ...step, text: space.describe(action) };
  }
  return undefined;
}

/** The result of an exhaustive search. */
export interface SearchResult {
  readonly states: number;
  readonly steps: number;
  /** Whether every state of the scope was visited. */
  readonly complete: boolean;
  readonly violation: string | undefined;
  /** The shortest sequence of actions that leads to the violation. */
  readonly trace: readonly string[];
}

interface Predecessor {
  /** Index of the state from which this one was reached. */
  readonly previous: number;
  readonly action: Action | undefined;
}

/**
 * Searches all states of a scope breadth-first, and stops at the first
 * violation or after `maxStates` states.
 * @example
 * const found = searchAll(new StateSpace(code, scope), 100_000);
 */
export function searchAll(space: StateSpace, maxStates: number): SearchResult {
  const queue: (State | undefined)[] = [space.start];
  const seen = new Set([space.key(space.start)]);
  const predecessors: Predecessor[] = [{ previous: -1, action: undefined }];
  let steps = 0;
  for (let index = 0; index < queue.length; index += 1) {
    const state = queue[index] as State;
    queue[index] = undefined;
    for (const action of space.actions(state)) {
      steps += 1;
      const step = space.step(state, action);
      if (step.violation !== undefined) {
        const trace = actionsLeadingTo(predecessors, index, action).map((taken) => space.describe(taken));
        return { states: seen.size, steps, complete: false, violation: step.violation, trace };
      }
      if (step.state === state) continue;
      const key = space.key(step.state);
      if (seen.has(key)) continue;
      if (seen.size >= maxStates)
        return { states: seen.size, steps, complete: false, violation: undefined, trace: [] };
      seen.add(key);
      queue.push(step.state);
      predecessors.push({ previous: index, action });
    }
  }
  return { states: seen.size, steps, complete: true, violation: undefined, trace: [] };
}

function actionsLeadingTo(predecessors: readonly Predecessor[], index: number, last: Action): Action[] {
  const actions = [last];
  for (let at = index; at > 0; at = predecessors[at]?.previous ?? 0) {
    const action = predecessors[at]?.action;
    if (action !== undefined) actions.unshift(action);
  }
  return actions;
}
