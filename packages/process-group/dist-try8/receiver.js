/**
 * Hands each frame, and each body that comes in order, to the part of the
 * group that answers it.
 * @example
 * receiver.receive(frame);
 */
export class Receiver {
    #parts;
    constructor(parts) {
        this.#parts = parts;
    }
    receive(frame) {
        const { from, body } = frame;
        const { discovery, local } = this.#parts;
        if (from === local.incarnation)
            return;
        if (body.case === 'hello')
            return discovery.onHello(body.value);
        if (body.case === 'helloAck')
            return discovery.onHelloAck(body.value);
        if (frame.to !== '' && frame.to !== local.incarnation)
            return;
        this.#onAddressed(from, body);
    }
    /** Takes a body that arrived in order, or that this node sent to itself. */
    onBody(from, body) {
        const { casts, coordination, submissions, versions } = this.#parts;
        switch (body.case) {
            case 'cast':
                return casts.receive(body.value);
            case 'chosen':
                for (const version of body.value.versions)
                    versions.take(from, version);
                return;
            case 'submit':
                return coordination.onSubmit(from, body.value);
            case 'answer':
                return submissions.onAnswer(body.value);
            case undefined:
                return;
        }
    }
    #onAddressed(from, body) {
        const { coordination, dependencies, election, heartbeats, liveness, transport, versions, viewChange } = this.#parts;
        switch (body.case) {
            case 'heartbeat':
                return heartbeats.onHeartbeat(from, body.value);
            case 'heartbeatAck':
                return heartbeats.onHeartbeatAck(from, body.value);
            case 'claim':
                return election.claims?.onClaim(from, body.value);
            case 'promise':
                return election.claims?.onPromise(body.value);
            case 'propose':
                return coordination.onPropose(from, body.value);
            case 'accepted':
                return coordination.onAccepted(body.value);
            case 'stop':
                return viewChange.onStop(from, body.value);
            case 'flush':
                return coordination.coordinator?.flushed(from, body.value);
            case 'fetch':
                return versions.onFetch(from, body.value.from);
            case 'parcel':
                return transport.onParcel(from, body.value);
            case 'bye':
                return liveness.onBye(from);
            default:
                return dependencies.audience.onFrame(from, body);
        }
    }
}
//# sourceMappingURL=receiver.js.map