import { afterEach } from 'vitest';
import { printDigests } from './simulation/output-digest.js';

/**
 * Lets the runner's messages through between tests. Simulated days never wait for anything, so a file of them would keep its
 * process from answering for over a minute, which the runner takes for an error.
 */
afterEach(() => new Promise<void>((resolve) => setImmediate(resolve)));

afterEach(({ task }) => printDigests(task.name));
