/** The names of headers that stand-in workers and raw clients read and write. */
export interface StandInNames {
  readonly requestId: string;
  readonly signature: string;
  readonly notRun: string;
}

/** The names that the tests of this package use; a platform has its own. */
export const TEST_NAMES: StandInNames = { requestId: 'call-id', signature: 'mark', notRun: 'unrun' };
