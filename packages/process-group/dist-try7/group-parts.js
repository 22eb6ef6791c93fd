/** The parts of a group, one job each, and the place at which they find one another. */
import { Casts } from './casts.js';
import { Coordination } from './coordination.js';
import { CoordinatorWatch } from './coordinator-watch.js';
import { Directory } from './directory.js';
import { Discovery } from './discovery.js';
import { DiskWatch } from './disk-watch.js';
import { Election } from './election.js';
import { Founding } from './founding.js';
import { Heartbeats } from './heartbeats.js';
import { Leases } from './leases.js';
import { Liveness } from './liveness.js';
import { LocalMember } from './local-member.js';
import { Receiver } from './receiver.js';
import { Submissions } from './submissions.js';
import { Transport } from './transport.js';
import { Versions } from './versions.js';
import { ViewChange } from './view-change.js';
import { Voters } from './voters.js';
/**
 * Builds the parts of a group. Each part names those that it uses in its
 * `...Parts` type and calls them at work, not while it is constructed.
 * @example
 * const parts = new GroupParts(dependencies);
 * parts.receiver.receive(frame);
 */
export class GroupParts {
    dependencies;
    /** Identity, state in force, epochs seen. */
    local;
    /** Nodes and addresses known. */
    directory;
    /** Frames and ordered parcels to others. */
    transport;
    /** Dispatch of what comes from others. */
    receiver;
    /** Failure detection. */
    liveness;
    /** The own disk's health. */
    diskWatch;
    /** Greetings and joiners. */
    discovery;
    /** Heartbeats and their acknowledgements. */
    heartbeats;
    /** The right to admit and the right to act alone. */
    leases;
    /** Agreed versions and catch-up. */
    versions;
    /** Stop, flush and the next view. */
    viewChange;
    /** Causal multicast. */
    casts;
    /** Operations under way. */
    submissions;
    /** The disks that vote. */
    voters;
    /** The coordinator that this node follows. */
    coordinatorWatch;
    /** This node's own term as coordinator. */
    coordination;
    /** The first version of a group. */
    founding;
    /** Claims to the next epoch. */
    election;
    constructor(dependencies) {
        this.dependencies = dependencies;
        this.local = new LocalMember(dependencies);
        this.directory = new Directory(dependencies);
        this.transport = new Transport(this);
        this.receiver = new Receiver(this);
        this.liveness = new Liveness(this);
        this.diskWatch = new DiskWatch(dependencies.acceptor, dependencies.times);
        this.discovery = new Discovery(this);
        this.heartbeats = new Heartbeats(this);
        this.leases = new Leases(this);
        this.versions = new Versions(this);
        this.viewChange = new ViewChange(this);
        this.casts = new Casts(this);
        this.submissions = new Submissions(this);
        this.voters = new Voters(this);
        this.coordinatorWatch = new CoordinatorWatch(this);
        this.coordination = new Coordination(this);
        this.founding = new Founding(this);
        this.election = new Election(this);
    }
}
//# sourceMappingURL=group-parts.js.map