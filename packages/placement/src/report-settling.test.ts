import { describe, it } from 'node:test';
import { expect } from 'earl';
import { MAX_REPORT_AGE_MS, ReportSettling } from './report-settling.js';
import { newStep, WorkerState } from './worker-state.js';

const MAX_AGE_MS = MAX_REPORT_AGE_MS;

function report(sequence: number, ...models: string[]) {
  return { sequence, holdings: new Map(models.map((model) => [model, new Set<string>()])) };
}

/** A worker that has reported that it accepted four orders and holds m0 and m1. */
function knownWorker(): WorkerState {
  const state = new WorkerState(new Map());
  state.applyReport(report(4, 'm0', 'm1'));
  return state;
}

/** Sends an order whose answer is lost. */
function sendUnanswered(state: WorkerState, action: 'load' | 'unload', model: string): void {
  const step = newStep(action, model, '', 0);
  step.inFlight = true;
  state.add(step);
  state.clear();
}

describe('the models in a report', () => {
  it('belong to its sequence from the third report on, if requests are at least the maximum age apart', () => {
    const settling = new ReportSettling();
    expect(settling.observe(report(3), 0, 2)).toEqual(false);
    expect(settling.observe(report(3), 2 + MAX_AGE_MS, 4 + MAX_AGE_MS)).toEqual(false);
    expect(settling.observe(report(3), 4 + 2 * MAX_AGE_MS, 6 + 2 * MAX_AGE_MS)).toEqual(true);
  });

  it('do not belong to its sequence yet if the reports follow each other within the maximum age', () => {
    const settling = new ReportSettling();
    for (let atMs = 0; atMs < 2 * MAX_AGE_MS; atMs += MAX_AGE_MS / 4)
      expect(settling.observe(report(3), atMs, atMs)).toEqual(false);
    expect(settling.observe(report(3), 2 * MAX_AGE_MS, 2 * MAX_AGE_MS)).toEqual(true);
  });

  it('have to be confirmed again after the sequence has changed', () => {
    const settling = new ReportSettling();
    settling.observe(report(3), 0, 0);
    settling.observe(report(3), MAX_AGE_MS, MAX_AGE_MS);
    expect(settling.observe(report(4), 2 * MAX_AGE_MS, 2 * MAX_AGE_MS)).toEqual(false);
    expect(settling.observe(report(4), 3 * MAX_AGE_MS, 3 * MAX_AGE_MS)).toEqual(false);
    expect(settling.observe(report(4), 4 * MAX_AGE_MS, 4 * MAX_AGE_MS)).toEqual(true);
  });

  it('belong to its sequence at once if the worker has accepted no order', () => {
    expect(new ReportSettling().observe(report(0, 'm0'), 0, 0)).toEqual(true);
  });
});

describe('the holdings of a worker after an order without an answer', () => {
  it('are known at once if the report shows that nothing was accepted', () => {
    const state = knownWorker();
    sendUnanswered(state, 'load', 'm2');
    expect(state.isConsistentWith(report(4, 'm0', 'm1'))).toEqual(true);
  });

  it('are known at once if the report shows that only this order was accepted', () => {
    const state = knownWorker();
    sendUnanswered(state, 'load', 'm2');
    expect(state.isConsistentWith(report(5, 'm0', 'm1', 'm2'))).toEqual(true);
  });

  it('are unknown while the models and the sequence of the report do not match', () => {
    const state = knownWorker();
    sendUnanswered(state, 'load', 'm2');
    expect(state.isConsistentWith(report(5, 'm0', 'm1'))).toEqual(false);
    expect(state.isConsistentWith(report(4, 'm0', 'm1', 'm2'))).toEqual(false);
  });

  it('are unknown if either of two orders may have been accepted', () => {
    const state = knownWorker();
    sendUnanswered(state, 'load', 'm2');
    state.applyReport(report(4, 'm0', 'm1'));
    sendUnanswered(state, 'load', 'm3');
    expect(state.isConsistentWith(report(5, 'm0', 'm1', 'm2'))).toEqual(false);
  });

  it('are unknown if more orders were accepted, or if nothing was known before', () => {
    expect(knownWorker().isConsistentWith(report(6, 'm0', 'm1'))).toEqual(false);
    expect(new WorkerState(report(4, 'm0').holdings).isConsistentWith(report(0, 'm0'))).toEqual(false);
  });

  it('include a load that the worker has accepted', () => {
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
