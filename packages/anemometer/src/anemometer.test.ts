import { it } from 'node:test';
import { expect } from 'earl';
import { Anemometer } from './index.js';

it('suspects who does not answer, but does not blame others for its own sleep', () => {
  const anemometer = new Anemometer({ suspectMs: 1500, pauseMs: 400 });
  anemometer.watch('a', 0);
  for (let nowMs = 0; nowMs <= 1400; nowMs += 100) anemometer.beat(nowMs);
  expect(anemometer.suspects('a', 1400)).toEqual(false);
  expect(anemometer.beat(6400)).toEqual(5000);
  expect(anemometer.suspects('a', 6400)).toEqual(false);
  expect(anemometer.suspects('a', 6600)).toEqual(true);
});
