/** Names of the headers that stand-in workers and raw clients read and write. */
export interface StandInNames {
  readonly requestId: string;
  readonly signature: string;
  readonly notRun: string;
}

/** Header names in the tests of this package; a platform defines its own. */
export const TEST_NAMES: StandInNames = { requestId: 'call-id', signature: 'mark', notRun: 'unrun' };
