/** The time of the process. */

import type { Clock } from '../model/clock.js';

/** Clock, timers and random numbers of Node.js. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after(ms, fn) {
    const timer = setTimeout(fn, ms);
    return () => clearTimeout(timer);
  },
  soon: (fn) => {
    setImmediate(fn);
  },
  random: () => Math.random(),
};
