/** Wires the parts of a group together; no part imports this module. */
import { Casts } from './multicast/casts.js';
import { Coordination } from './agreement/coordination.js';
import { CoordinatorWaitReport } from './agreement/coordinator-wait.js';
import { CoordinatorWatch } from './agreement/coordinator-watch.js';
import { Directory } from './membership/directory.js';
import { Discovery } from './membership/discovery.js';
import { DiskWatch } from './membership/disk-watch.js';
import { Election } from './agreement/election.js';
import { Founding } from './agreement/founding.js';
import type { GroupDependencies } from './group-dependencies.js';
import { Heartbeats } from './membership/heartbeats.js';
import { Leases } from './leases/leases.js';
import { Liveness } from './membership/liveness.js';
import { LocalMember } from './membership/local-member.js';
import { Receiver } from './transport/receiver.js';
import { Submissions } from './agreement/submissions.js';
import { Transport } from './transport/transport.js';
import { Versions } from './agreement/versions.js';
import { ViewChange } from './membership/view-change.js';
import { Voters } from './agreement/voters.js';

/**
 * Builds the parts of a group. Each part declares its collaborators in its own
 * module, those above it in the order of imports by the few calls that it makes.
 * Collaborators are looked up at each call, since some are constructed later.
 * @example
 * const wiring = new GroupWiring(dependencies);
 * wiring.receiver.receive(frame);
 */
export class GroupWiring<S> {
  readonly dependencies: GroupDependencies<S>;
  /** Identity, state in force, epochs seen. */
  readonly local: LocalMember<S>;
  /** Nodes and addresses known. */
  readonly directory: Directory<S>;
  /** Frames and ordered messages to others. */
  readonly transport: Transport<S>;
  /** Dispatch of what comes from others. */
  readonly receiver: Receiver<S>;
  /** Failure detection. */
  readonly liveness: Liveness<S>;
  /** The own disk's health. */
  readonly diskWatch: DiskWatch;
  /** Greetings and joiners. */
  readonly discovery: Discovery<S>;
  /** Heartbeats and their acknowledgements. */
  readonly heartbeats: Heartbeats<S>;
  /** The right to admit and the right to act alone. */
  readonly leases: Leases<S>;
  /** Agreed versions and catch-up. */
  readonly versions: Versions<S>;
  /** Stop, flush and the next view. */
  readonly viewChange: ViewChange<S>;
  /** Causal multicast. */
  readonly casts: Casts<S>;
  /** Operations under way. */
  readonly submissions: Submissions<S>;
  /** The disks that vote. */
  readonly voters: Voters<S>;
  /** The coordinator that this node follows. */
  readonly coordinatorWatch: CoordinatorWatch<S>;
  /** This node's own term as coordinator. */
  readonly coordination: Coordination<S>;
  /** The first version of a group. */
  readonly founding: Founding<S>;
  /** Claims to the next epoch. */
  readonly election: Election<S>;
  /** What this node waits for while it knows no coordinator. */
  readonly coordinatorWait: CoordinatorWaitReport<S>;

  constructor(dependencies: GroupDependencies<S>) {
    this.dependencies = dependencies;
    this.local = new LocalMember(dependencies);
    this.directory = new Directory(dependencies);
    this.transport = new Transport<S>(this);
    this.receiver = new Receiver<S>(this);
    this.liveness = new Liveness<S>(this);
    this.diskWatch = new DiskWatch(dependencies.acceptor, dependencies.times);
    this.discovery = new Discovery<S>(this);
    this.heartbeats = new Heartbeats<S>(this);
    this.leases = new Leases<S>(this);
    this.versions = new Versions<S>(this);
    this.viewChange = new ViewChange<S>(this);
    this.casts = new Casts<S>(this);
    this.submissions = new Submissions<S>(this);
    this.voters = new Voters<S>(this);
    this.coordinatorWatch = new CoordinatorWatch<S>(this);
    this.coordination = new Coordination<S>(this);
    this.founding = new Founding<S>(this);
    this.election = new Election<S>(this);
    this.coordinatorWait = new CoordinatorWaitReport<S>(this);
  }
}
