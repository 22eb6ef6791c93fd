/** Initial state of the agreement model: the first version and the records of the machines' disks. */
import { create, toBinary } from '@bufbuild/protobuf';
import {
  DiskRecordSchema,
  EntrySchema,
  MemberSchema,
  PromiseRecordSchema,
  StateSchema,
  VersionSchema,
  ViewSchema,
  VoterSchema,
  type Member,
  type Version,
  type Voter,
} from '@rainrun/messages';
import type { Records } from '@rainrun/storage';

/** The deployment that the model's disks belong to. */
export const DEPLOYMENT = 'model';

/** A machine as a member; its incarnation is its name. */
export function memberOf(machine: string): Member {
  return create(MemberSchema, { name: machine, incarnation: machine, address: machine, disk: machine });
}

function voterOf(machine: string): Voter {
  return create(VoterSchema, { name: machine, disk: machine });
}

/** The first version, on which the first voters have agreed before the search begins. */
export function firstVersion(machines: readonly string[], voters: readonly string[]): Version {
  return create(VersionSchema, {
    epoch: 1,
    number: 1,
    entry: create(EntrySchema),
    state: create(StateSchema, {
      deployment: DEPLOYMENT,
      view: create(ViewSchema, { epoch: 1, number: 1, members: machines.map(memberOf) }),
      voters: voters.map(voterOf),
    }),
  });
}

/** The records of a disk that holds only its id. */
export function emptyDisk(machine: string): Records {
  return { disk: toBinary(DiskRecordSchema, create(DiskRecordSchema, { disk: machine })) };
}

/** The records of a disk that has accepted the first version. */
export function diskWithFirstVersion(machine: string, version: Version, founder: string): Records {
  const disk = create(DiskRecordSchema, { disk: machine, deployment: DEPLOYMENT });
  const promise = create(PromiseRecordSchema, { epoch: 1, candidate: founder });
  return {
    disk: toBinary(DiskRecordSchema, disk),
    promise: toBinary(PromiseRecordSchema, promise),
    version: toBinary(VersionSchema, version),
  };
}
