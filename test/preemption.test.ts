/**
 * Which tasks are preempted for services. The capacity of the zone with the fewest machine types is kept for replicas that must be
 * spread: preempting there for another service frees a place that the service may not take, so the tasks would return to it and
 * be preempted again and again.
 */

import { expect, test } from 'vitest';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';

const stopsFor = (harness: SchedulerHarness) =>
  harness.sentMessages.filter((message) => message.type === 'evict').length;

/** Low work fills one ordinary machine in this zone; zone b has the fewest types. One service must be spread. */
function fullMachineIn(zone: string): SchedulerHarness {
  const harness = new SchedulerHarness(5);
  const over = { zone };
  harness.sendHeartbeat([], 5, over);
  harness.sendPlacement({
    ...harness.placementSpec('run'),
    jobId: 'wk-low',
    priority: 3,
    cpus: 4,
    memoryGb: 1,
  });
  harness.sendHeartbeat([{ ...taskStatus('running'), jobId: 'wk-low' }], 5, over);
  return harness;
}

const service = (id: string, over: object) =>
  makeResourceRequest(id, { priority: 0, isService: true, spotAllowed: false, cpus: 4, ...over });
const spread = service('wk-spread', { zoneAllowance: {}, machineTypes: ['big'] });

test.each([
  ['a', 1],
  ['b', 0],
])(
  'work in zone %s is stopped for a service that need not be spread only where it may then go (%i)',
  (zone, stops) => {
    const harness = fullMachineIn(zone);
    harness.sendRequests([spread, service('wk-alone', {})]);
    for (let i = 0; i < 3; i++) {
      harness.sendHeartbeat([{ ...taskStatus('running'), jobId: 'wk-low' }], 5, { zone });
      harness.advance(1000);
      harness.scheduler.flush();
    }
    expect(stopsFor(harness)).toBe(stops);
  },
);
