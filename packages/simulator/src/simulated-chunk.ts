/** Chunks of simulated responses, which say by themselves where they belong. */

/** One chunk of a simulated response: whose it is, of which run, and its place among how many. */
export interface SimulatedChunk {
  readonly id: string;
  readonly run: string;
  readonly place: number;
  readonly of: number;
}
