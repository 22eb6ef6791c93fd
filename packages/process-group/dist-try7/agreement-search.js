import { violation } from './agreement-invariants.js';
import { messageName } from './agreement-messages.js';
import { emptyDisk, firstDisk, firstVersion, ModelMachine, } from './agreement-model.js';
const GONE = -1;
/**
 * The graph of states of one scope, over one build of the code.
 * @example
 * const space = new StateSpace(code, scope);
 * for (const action of space.actions(space.start)) space.step(space.start, action);
 */
export class StateSpace {
    start;
    #code;
    #scope;
    #names;
    #states = [];
    #stateNumbers = new Map();
    #transitions = new Map();
    #messages = [];
    #messageNumbers = new Map();
    /** Messages that are not delivered any more. */
    #delivered = new Set();
    constructor(code, scope) {
        this.#code = code;
        this.#scope = scope;
        this.#names = [...scope.voters, ...scope.spares];
        this.start = this.#elected();
    }
    /** Everything that may happen next. */
    actions(state) {
        const actions = [];
        for (const [machine, number] of state.machines.entries()) {
            const known = this.#states[number];
            if (known === undefined)
                continue;
            this.#addOwnActions(actions, state, machine, known);
            for (const sent of state.sent)
                this.#addDelivery(actions, machine, known, sent);
        }
        return actions;
    }
    /** What follows from an action; the same state if nothing does. */
    step(state, action) {
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
    /** An action in words. */
    describe({ machine, what }) {
        const name = this.#names[machine] ?? '';
        if (what.kind !== 'deliver')
            return `${name}: ${what.kind}${what.kind === 'replace' ? ` ${what.disk}` : ''}`;
        return `${name}: takes ${readable(this.#message(what.message))}`;
    }
    /** Equal for equal states. */
    key(state) {
        const { claims, crashes, operations, replacements, losses } = state.budget;
        return `${state.machines.join()} ${state.sent.join()} ${claims} ${crashes} ${operations} ${replacements} ${losses}`;
    }
    // The beginning.
    /** The first coordinator is elected and everyone holds its first version. */
    #elected() {
        const { voters, spares, coordinator, budget } = this.#scope;
        const version = firstVersion(this.#names, voters);
        const machines = [
            ...voters.map((name) => this.#boot(name, 1, firstDisk(name, version, coordinator))),
            ...spares.map((name) => this.#boot(name, 1, emptyDisk(name))),
        ];
        const machine = voters.indexOf(coordinator);
        let state = this.#apply({ machines, sent: [], budget }, machine, { kind: 'claim' }).state;
        for (;;) {
            const next = this.#progress(state);
            if (next === undefined)
                return this.#settled(state, budget);
            state = next;
        }
    }
    /** The first election is over: its messages are known to the invariants, and not delivered again. */
    #settled(state, budget) {
        for (const number of state.sent)
            this.#delivered.add(number);
        const machines = state.machines.map((number, place) => this.#scope.lost.includes(this.#names[place] ?? '') ? GONE : number);
        return { ...state, machines, budget };
    }
    /** The state after some sync or delivery that changes anything. */
    #progress(state) {
        for (const action of this.actions(state)) {
            if (action.what.kind !== 'sync' && action.what.kind !== 'deliver')
                continue;
            const next = this.step(state, action).state;
            if (next !== state)
                return next;
        }
        return undefined;
    }
    #boot(name, life, records) {
        return this.#intern(new ModelMachine(this.#code, { machine: name, life }, records), { life, records }, []);
    }
    #intern(machine, boot, inputs) {
        const fingerprint = machine.fingerprint();
        const known = this.#stateNumbers.get(fingerprint);
        if (known !== undefined)
            return known;
        const number = this.#states.length;
        const { records, writesWait, mayClaim, idleCoordinator, heardMessages } = machine;
        this.#stateNumbers.set(fingerprint, number);
        this.#states.push({
            name: machine.from.machine,
            boot,
            inputs,
            records,
            writesWait,
            mayClaim,
            idleCoordinator,
            heard: heardMessages,
            live: machine,
        });
        return number;
    }
    // What may happen.
    #addOwnActions(actions, state, machine, known) {
        const { budget } = state;
        if (known.writesWait)
            actions.push({ machine, what: { kind: 'sync' } });
        if (budget.claims > 0 && known.mayClaim && this.#scope.claimants.includes(known.name))
            actions.push({ machine, what: { kind: 'claim' } });
        if (budget.crashes > 0 && this.#scope.crashing.includes(known.name))
            actions.push({ machine, what: { kind: 'crash' } });
        if (budget.operations > 0 && known.idleCoordinator)
            actions.push({ machine, what: { kind: 'operate' } });
        if (budget.replacements > 0 && known.idleCoordinator) {
            for (const disk of this.#scope.replaceable)
                if (disk !== this.#names[machine])
                    actions.push({ machine, what: { kind: 'replace', disk } });
        }
        if (budget.losses > 0 && this.#mayLose(state))
            actions.push({ machine, what: { kind: 'lose' } });
    }
    /** One disk may go while all voters of the newest chosen version have theirs. */
    #mayLose(state) {
        let voters = this.#scope.voters;
        let newest = 0;
        for (const number of state.sent) {
            const message = this.#messages[number]?.message;
            if (message?.kind !== 'chosen' || message.version.number <= newest)
                continue;
            newest = message.version.number;
            voters = (message.version.state?.voters ?? []).map((voter) => voter.disk);
        }
        return voters.every((name) => state.machines[this.#names.indexOf(name)] !== GONE);
    }
    #addDelivery(actions, machine, known, sent) {
        if (this.#delivered.has(sent) || !this.#isFor(this.#message(sent), known))
            return;
        if (known.heard.has(this.#messages[sent]?.name ?? ''))
            return;
        actions.push({ machine, what: { kind: 'deliver', message: sent } });
    }
    #isFor(message, { name, boot }) {
        switch (message.kind) {
            case 'claim':
            case 'propose':
                return message.to === name;
            case 'promise':
            case 'accepted':
                return message.to.machine === name && message.to.life === boot.life && message.from.machine !== name;
            default:
                return false;
        }
    }
    // What follows.
    #apply(state, machine, what) {
        const from = state.machines[machine] ?? GONE;
        let { next, sent } = this.#transition(from, what);
        while (!this.#scope.slowDisks && this.#states[next]?.writesWait === true) {
            const synced = this.#transition(next, { kind: 'sync' });
            next = synced.next;
            sent = [...sent, ...synced.sent];
        }
        const fresh = [...new Set(sent)].filter((number) => !state.sent.includes(number));
        if (next === from && fresh.length === 0 && what.kind === 'deliver')
            return { state, violation: undefined };
        return {
            state: {
                machines: withState(state.machines, machine, next),
                sent: fresh.length === 0 ? state.sent : [...state.sent, ...fresh].sort((one, other) => one - other),
                budget: spent(state.budget, what),
            },
            violation: this.#violation(state.sent, fresh),
        };
    }
    #violation(sent, fresh) {
        if (fresh.length === 0)
            return undefined;
        const before = sent.map((number) => this.#message(number));
        for (const number of fresh) {
            const message = this.#message(number);
            const found = violation(before, message);
            if (found !== undefined)
                return found;
            before.push(message);
        }
        return undefined;
    }
    #message(number) {
        return this.#messages[number].message;
    }
    #transition(from, what) {
        const key = `${from} ${inputName(what)}`;
        const known = this.#transitions.get(key);
        if (known !== undefined)
            return known;
        const { boot, inputs } = this.#states[from];
        const input = what.kind === 'deliver' ? { ...what, message: this.#message(what.message) } : what;
        const machine = this.#machineIn(this.#states[from]);
        const sent = machine
            .apply(input)
            .filter((message) => this.#scope.refusals || !isRefusal(message))
            .map((message) => this.#internMessage(message));
        const transition = { next: this.#intern(machine, boot, [...inputs, input]), sent };
        this.#transitions.set(key, transition);
        return transition;
    }
    #machineIn(state) {
        const { live, name, boot, inputs } = state;
        state.live = undefined;
        if (live !== undefined)
            return live;
        const machine = new ModelMachine(this.#code, { machine: name, life: boot.life }, boot.records);
        for (const earlier of inputs)
            machine.apply(earlier);
        return machine;
    }
    #internMessage(message) {
        const name = messageName(message);
        const known = this.#messageNumbers.get(name);
        if (known !== undefined)
            return known;
        const number = this.#messages.length;
        this.#messageNumbers.set(name, number);
        this.#messages.push({ message, name });
        return number;
    }
    #crash(state, machine) {
        const { boot, records } = this.#states[state.machines[machine] ?? GONE];
        const next = this.#boot(this.#names[machine] ?? '', boot.life + 1, records);
        const budget = { ...state.budget, crashes: state.budget.crashes - 1 };
        return { ...state, budget, machines: withState(state.machines, machine, next) };
    }
    #lose(state, machine) {
        const budget = { ...state.budget, losses: state.budget.losses - 1 };
        return { ...state, budget, machines: withState(state.machines, machine, GONE) };
    }
}
function withState(machines, machine, next) {
    return machines.map((number, place) => (place === machine ? next : number));
}
function spent(budget, input) {
    switch (input.kind) {
        case 'claim':
            return { ...budget, claims: budget.claims - 1 };
        case 'operate':
            return { ...budget, operations: budget.operations - 1 };
        case 'replace':
            return { ...budget, replacements: budget.replacements - 1 };
        default:
            return budget;
    }
}
function inputName(what) {
    if (what.kind === 'deliver')
        return String(what.message);
    return what.kind === 'replace' ? `replace ${what.disk}` : what.kind;
}
function isRefusal(message) {
    if (message.kind === 'promise')
        return !message.promise.granted;
    return message.kind === 'accepted' && message.accepted.refused;
}
function readable(message) {
    return messageName(message).replace(/(\d+\/\d+)\/\S+$/, 'version $1');
}
/**
 * Walks at random: each choice picks one of the actions that change anything,
 * most often a delivery or a sync. Returns the violation it met and its way.
 * @example
 * walk(space, [3, 1, 4, 1, 5]);
 */
export function walk(space, choices) {
    const trace = [];
    let state = space.start;
    for (const choice of choices) {
        const actions = space.actions(state);
        const due = actions.filter(({ what }) => what.kind === 'deliver' || what.kind === 'sync');
        const others = actions.filter((action) => !due.includes(action));
        const taken = choice % TROUBLE_EACH === 0 ? others : due;
        const step = firstChange(space, state, taken, Math.floor(choice / TROUBLE_EACH));
        if (step === undefined)
            continue;
        trace.push(step.text);
        if (step.violation !== undefined)
            return { trace, violation: step.violation };
        state = step.state;
    }
    return { trace, violation: undefined };
}
const TROUBLE_EACH = 6;
/** The first action from a place in a list, and round to it, that changes anything. */
function firstChange(space, state, actions, from) {
    for (let place = 0; place < actions.length; place += 1) {
        const action = actions[(from + place) % actions.length];
        const step = space.step(state, action);
        if (step.state !== state || step.violation !== undefined)
            return { ...step, text: space.describe(action) };
    }
    return undefined;
}
/**
 * Goes through all states of a scope, nearest first, and stops at the first
 * violation or after so many states.
 * @example
 * const found = searchAll(new StateSpace(code, scope), 100_000);
 */
export function searchAll(space, statesMost) {
    const waiting = [space.start];
    const seen = new Set([space.key(space.start)]);
    const ways = [{ before: -1, action: undefined }];
    let steps = 0;
    for (let place = 0; place < waiting.length; place += 1) {
        const state = waiting[place];
        waiting[place] = undefined;
        for (const action of space.actions(state)) {
            steps += 1;
            const step = space.step(state, action);
            if (step.violation !== undefined) {
                const trace = wayTo(ways, place, action).map((taken) => space.describe(taken));
                return { states: seen.size, steps, whole: false, violation: step.violation, trace };
            }
            if (step.state === state)
                continue;
            const key = space.key(step.state);
            if (seen.has(key))
                continue;
            if (seen.size >= statesMost)
                return { states: seen.size, steps, whole: false, violation: undefined, trace: [] };
            seen.add(key);
            waiting.push(step.state);
            ways.push({ before: place, action });
        }
    }
    return { states: seen.size, steps, whole: true, violation: undefined, trace: [] };
}
function wayTo(ways, place, last) {
    const actions = [last];
    for (let at = place; at > 0; at = ways[at]?.before ?? 0) {
        const action = ways[at]?.action;
        if (action !== undefined)
            actions.unshift(action);
    }
    return actions;
}
//# sourceMappingURL=agreement-search.js.map