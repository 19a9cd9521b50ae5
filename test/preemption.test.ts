import { expect, test } from 'vitest';
import { makeResourceRequest, SchedulerHarness, taskStatus } from './simulation/scheduler-harness.js';

// What happens: tasks are stopped for a service, stand ready for 5 s, find their old place again and are stopped once more, for
// minutes (inc-1fa0: one task 16 times). Why: the ordinary room of the zone with the fewest types is kept for replicas that must be
// spread; placing keeps other services out of it, the choice of work to stop did not. What showed it: vm-000007, the only
// ordinary machine of wroclaw-dc: seven tasks stopped at 201.42 s for seven one-task services, all placed there again at
// 206.49 s, when the reservation of 5 s was over, and stopped again at 206.51 s; each service began elsewhere in the end.

type SchedulerStandin = SchedulerHarness;

const stopsFor = (harness: SchedulerStandin) =>
  harness.sentMessages.filter((message) => message.type === 'evict').length;

/** Low work fills one ordinary machine in this zone; zone b has the fewest types. One service must be spread. */
function fullMachineIn(zone: string): SchedulerStandin {
  const harness = new SchedulerHarness(5);
  const over = { zone };
  harness.heartbeat([], 5, over);
  harness.sendPlacement({
    ...harness.placementSpec('run'),
    jobId: 'wk-low',
    priority: 3,
    cpus: 4,
    memoryGb: 1,
  });
  harness.heartbeat([{ ...taskStatus('running'), jobId: 'wk-low' }], 5, over);
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
      harness.heartbeat([{ ...taskStatus('running'), jobId: 'wk-low' }], 5, { zone });
      harness.advance(1000);
      harness.scheduler.flush();
    }
    expect(stopsFor(harness)).toBe(stops);
  },
);
