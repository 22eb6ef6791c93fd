import { it } from 'node:test';
import { expect } from 'earl';
import { FailureDetector } from './failure-detector.js';

it('suspects a member that does not answer, but extends the time-out by a pause of its own process', () => {
  const detector = new FailureDetector({ suspectMs: 1500, pauseMs: 400 });
  detector.watch('a', 0);
  for (let nowMs = 0; nowMs <= 1400; nowMs += 100) detector.tick(nowMs);
  expect(detector.suspects('a', 1400)).toEqual(false);
  expect(detector.tick(6400)).toEqual(5000);
  expect(detector.suspects('a', 6400)).toEqual(false);
  expect(detector.suspects('a', 6600)).toEqual(true);
});
