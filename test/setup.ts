/** Hooks that run in every test file. */

import { afterEach } from 'vitest';
import { printDigests } from './simulation/output-digest.js';

/**
 * Yields to the event loop between tests. Simulated scenarios never wait for anything, so a file of them
 * would keep its process from answering the test runner for over a minute, which the runner treats as an
 * error.
 */
afterEach(() => new Promise<void>((resolve) => setImmediate(resolve)));

afterEach(({ task }) => printDigests(task.name));
