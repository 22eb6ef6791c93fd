/** Chunks of simulated responses, which identify their request, run and position. */

/** One chunk of a simulated response: its request, its run, its index, and the number of chunks. */
export interface SimulatedChunk {
  readonly id: string;
  readonly run: string;
  readonly place: number;
  readonly of: number;
}
