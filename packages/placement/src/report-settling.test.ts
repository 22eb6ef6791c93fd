import { describe, it } from 'node:test';
import { expect } from 'earl';
import { MAX_REPORT_AGE_MS, ReportSettling } from './report-settling.js';
import { newStep, WorkerState } from './worker-state.js';

const MAX_AGE_MS = MAX_REPORT_AGE_MS;

function report(sequence: number, ...models: string[]) {
  return { sequence, holdings: new Map(models.map((model) => [model, new Set<string>()])) };
}

/** A worker that has reported that it took four orders and holds m0 and m1. */
function knownWorker(): WorkerState {
  const state = new WorkerState(new Map());
  state.applyReport(report(4, 'm0', 'm1'));
  return state;
}

/** An order is sent, and its sender hears nothing. */
function sendUnanswered(state: WorkerState, action: 'load' | 'unload', model: string): void {
  const step = newStep(action, model, '', 0);
  step.inFlight = true;
  state.add(step);
  state.clear();
}

describe('the models of a report', () => {
  it('belong to its count once that count was told, and the worker idle after it, each an age before', () => {
    const settling = new ReportSettling();
    expect(settling.observe(report(3), 0, 2)).toEqual(false);
    expect(settling.observe(report(3), 2 + MAX_AGE_MS, 4 + MAX_AGE_MS)).toEqual(false);
    expect(settling.observe(report(3), 4 + 2 * MAX_AGE_MS, 6 + 2 * MAX_AGE_MS)).toEqual(true);
  });

  it('do not yet where reports follow each other sooner', () => {
    const settling = new ReportSettling();
    for (let atMs = 0; atMs < 2 * MAX_AGE_MS; atMs += MAX_AGE_MS / 4)
      expect(settling.observe(report(3), atMs, atMs)).toEqual(false);
    expect(settling.observe(report(3), 2 * MAX_AGE_MS, 2 * MAX_AGE_MS)).toEqual(true);
  });

  it('are waited for anew when the count has changed', () => {
    const settling = new ReportSettling();
    settling.observe(report(3), 0, 0);
    settling.observe(report(3), MAX_AGE_MS, MAX_AGE_MS);
    expect(settling.observe(report(4), 2 * MAX_AGE_MS, 2 * MAX_AGE_MS)).toEqual(false);
    expect(settling.observe(report(4), 3 * MAX_AGE_MS, 3 * MAX_AGE_MS)).toEqual(false);
    expect(settling.observe(report(4), 4 * MAX_AGE_MS, 4 * MAX_AGE_MS)).toEqual(true);
  });

  it('belong to the count of a worker that has taken no order', () => {
    expect(new ReportSettling().observe(report(0, 'm0'), 0, 0)).toEqual(true);
  });
});

describe('what a worker holds after an order without an answer', () => {
  it('is known at once if the report says that nothing was taken', () => {
    const state = knownWorker();
    sendUnanswered(state, 'load', 'm2');
    expect(state.isConsistentWith(report(4, 'm0', 'm1'))).toEqual(true);
  });

  it('is known at once if the report says that just this order was taken', () => {
    const state = knownWorker();
    sendUnanswered(state, 'load', 'm2');
    expect(state.isConsistentWith(report(5, 'm0', 'm1', 'm2'))).toEqual(true);
  });

  it('is open while models and count do not fit each other', () => {
    const state = knownWorker();
    sendUnanswered(state, 'load', 'm2');
    expect(state.isConsistentWith(report(5, 'm0', 'm1'))).toEqual(false);
    expect(state.isConsistentWith(report(4, 'm0', 'm1', 'm2'))).toEqual(false);
  });

  it('is open if either of two orders may have been taken', () => {
    const state = knownWorker();
    sendUnanswered(state, 'load', 'm2');
    state.applyReport(report(4, 'm0', 'm1'));
    sendUnanswered(state, 'load', 'm3');
    expect(state.isConsistentWith(report(5, 'm0', 'm1', 'm2'))).toEqual(false);
  });

  it('is open if more was taken, or nothing was known before', () => {
    expect(knownWorker().isConsistentWith(report(6, 'm0', 'm1'))).toEqual(false);
    expect(new WorkerState(report(4, 'm0').holdings).isConsistentWith(report(0, 'm0'))).toEqual(false);
  });

  it('counts a load that the worker has begun', () => {
    const state = knownWorker();
    const step = newStep('load', 'm2', '', 0);
    state.add(step);
    state.recordAccepted(0);
    step.started = true;
    state.clear();
    expect(state.isConsistentWith(report(5, 'm0', 'm1', 'm2'))).toEqual(true);
    expect(state.isConsistentWith(report(5, 'm0', 'm1'))).toEqual(false);
  });
});
