/**
 * Which tasks are preempted for services. The capacity of the zone with the fewest machine types is reserved
 * for replicas that must be spread. Preempting there for another service would free a slot that the service
 * may not use, so the tasks would return to it and be preempted again and again.
 */

import { expect, test } from 'vitest';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';

const evictionCount = (harness: SchedulerHarness) =>
  harness.sentMessages.filter((message) => message.type === 'evict').length;

/**
 * Creates a fleet of one on-demand machine in `zone`, filled with low-priority work; zone b has the fewest
 * machine types.
 */
function createFullMachine(zone: string): SchedulerHarness {
  const harness = new SchedulerHarness(5);
  const overrides = { zone };
  harness.sendHeartbeat([], 5, overrides);
  harness.sendPlacement({
    ...harness.placementSpec('run'),
    jobId: 'wk-low',
    priority: 3,
    cpus: 4,
    memoryGb: 1,
  });
  harness.sendHeartbeat([{ ...taskStatus('running'), jobId: 'wk-low' }], 5, overrides);
  return harness;
}

const serviceRequest = (id: string, overrides: object) =>
  makeResourceRequest(id, { priority: 0, isService: true, spotAllowed: false, cpus: 4, ...overrides });
const spreadRequest = serviceRequest('wk-spread', { zoneAllowance: {}, machineTypes: ['big'] });

test.each([
  ['a', 1],
  ['b', 0],
])(
  'tasks in zone %s are preempted for a service that need not be spread only if it may be placed there (%i)',
  (zone, expectedEvictions) => {
    const harness = createFullMachine(zone);
    harness.sendRequests([spreadRequest, serviceRequest('wk-alone', {})]);
    for (let i = 0; i < 3; i++) {
      harness.sendHeartbeat([{ ...taskStatus('running'), jobId: 'wk-low' }], 5, { zone });
      harness.advance(1000);
      harness.scheduler.flush();
    }
    expect(evictionCount(harness)).toBe(expectedEvictions);
  },
);
