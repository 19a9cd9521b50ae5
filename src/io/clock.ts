import type { Clock } from '../core/types.js';

export const realClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  after(ms, fn) {
    const t = setTimeout(fn, ms);
    return () => clearTimeout(t);
  },
  soon: (fn) => {
    setImmediate(fn);
  },
  random: () => Math.random(),
};
