import { it } from 'node:test';
import { expect } from 'earl';
import { FailureDetector } from './failure-detector.js';

it('suspects who does not answer, but does not blame others for its own sleep', () => {
  const detector = new FailureDetector({ suspectMs: 1500, pauseMs: 400 });
  detector.watch('a', 0);
  for (let nowMs = 0; nowMs <= 1400; nowMs += 100) detector.tick(nowMs);
  expect(detector.suspects('a', 1400)).toEqual(false);
  expect(detector.tick(6400)).toEqual(5000);
  expect(detector.suspects('a', 6400)).toEqual(false);
  expect(detector.suspects('a', 6600)).toEqual(true);
});
