/** {@link Clock} of the running process. */

import type { Clock } from '../model/clock.js';

/** Clock backed by the clocks, timers and random numbers of Node.js. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wallTime: () => Date.now(),
  after(ms, run) {
    const timer = setTimeout(run, ms);
    return () => clearTimeout(timer);
  },
  defer: (run) => {
    setImmediate(run);
  },
  random: () => Math.random(),
};
