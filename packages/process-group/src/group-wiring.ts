/** Constructs the parts of a group and connects them; no part imports this module. */
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
 * Builds the parts of a group. Each part declares the collaborators that it needs in its own module. Where
 * importing a collaborator's class would create an import cycle, it declares only the members that it uses.
 * Collaborators are looked up at each call, since some are constructed later.
 * @example
 * const wiring = new GroupWiring(dependencies);
 * wiring.receiver.receive(frame);
 */
export class GroupWiring<S> {
  readonly dependencies: GroupDependencies<S>;
  /** This node's identity, its applied state and the epochs that it knows of. */
  readonly local: LocalMember<S>;
  /** The known nodes and addresses. */
  readonly directory: Directory<S>;
  /** Sends frames and ordered messages to other nodes. */
  readonly transport: Transport<S>;
  /** Dispatches frames that arrive from other nodes. */
  readonly receiver: Receiver<S>;
  /** Detects failures of other members. */
  readonly liveness: Liveness<S>;
  /** Detects stalls of this node's own disk. */
  readonly diskWatch: DiskWatch;
  /** Finds other nodes and those that ask to join. */
  readonly discovery: Discovery<S>;
  /** Sends and handles heartbeats and their acknowledgements. */
  readonly heartbeats: Heartbeats<S>;
  /** The lease to admit work and the singleton lease. */
  readonly leases: Leases<S>;
  /** Delivers chosen versions and fetches missed ones. */
  readonly versions: Versions<S>;
  /** A member's side of a view change: stopping, flushing and entering the next view. */
  readonly viewChange: ViewChange<S>;
  /** Causal multicast. */
  readonly casts: Casts<S>;
  /** The operations that this node has submitted and not yet seen answered. */
  readonly submissions: Submissions<S>;
  /** The disks that vote. */
  readonly voters: Voters<S>;
  /** The coordinator that this node follows. */
  readonly coordinatorWatch: CoordinatorWatch<S>;
  /** This node's own term as coordinator. */
  readonly coordination: Coordination<S>;
  /** The first version of a group. */
  readonly founding: Founding<S>;
  /** Decides when this node becomes a candidate for the next epoch. */
  readonly election: Election<S>;
  /** Reports what this node waits for while it knows no committing coordinator. */
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
