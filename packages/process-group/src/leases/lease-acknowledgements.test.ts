import { describe, it } from 'node:test';
import { expect } from 'earl';
import { VIEW } from '../testing/three-member-view.js';
import { LeaseAcknowledgements } from './lease-acknowledgements.js';

describe('lease acknowledgements', () => {
  it('extend the lease to 1 s after the heartbeats to a majority were sent', () => {
    const acknowledgements = new LeaseAcknowledgements(1000);
    expect(acknowledgements.leaseEndMs(VIEW, 'a', 1, 500)).toEqual(-Infinity);
    acknowledgements.acknowledge('b', 400, 1);
    expect(acknowledgements.leaseEndMs(VIEW, 'a', 1, 500)).toEqual(1400);
  });

  it('do not count while the acknowledging member has applied a newer version than this node', () => {
    const acknowledgements = new LeaseAcknowledgements(1000);
    acknowledgements.acknowledge('b', 400, 2);
    expect(acknowledgements.leaseEndMs(VIEW, 'a', 1, 500)).toEqual(-Infinity);
    expect(acknowledgements.leaseEndMs(VIEW, 'a', 2, 500)).toEqual(1400);
  });
});
