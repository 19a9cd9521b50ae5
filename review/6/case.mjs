// Two of four machines fail every task that they start, for some seconds. With TROUBLE=0 none does.
import { sleep } from '../lib-2/http.mjs';
import { runCase, trivediMaps } from '../lib-2/world.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const KIOSK = 'wk-000001';
const REPLICAS = 8;
const WAIT_LIMIT_S = 90;

await runCase(trivediMaps({ upAtStart: 4 }), async (world) => {
  await world.waitReady();
  await sleep(4000);
  const machines = [...world.cloud.machines.values()];
  if (hasTrouble) for (const { name, worker } of machines.slice(0, 2)) {
    worker.isFaulty = true;
    world.record(`trouble: ${name} fails every task that it starts`);
  }
  const job = world.job({
    name_id: KIOSK, grove: 'kiosk-mapserve', shape: 'standing', rank: 'prod', saplings: REPLICAS, vcpus: 4, ram_gb: 4.2, growth_s: 0,
    barks: ['gaddi'],
  });
  if ((await world.submit(job)).status !== 201) throw new Error('not accepted');
  await sleep(4000);
  for (const { worker } of machines) worker.isFaulty = false;
  world.record('all troubles are over');
  let since = performance.now();
  const until = since + (WAIT_LIMIT_S + 3) * 1000;
  let nextLineAt = 0;
  let nextSmallJobAt = 0;
  let smallJobs = 0;
  while (performance.now() < until) {
    const now = performance.now();
    const running = world.countOn(KIOSK);
    const machine = world.machineWithRoom(job);
    if (running === REPLICAS || !machine) since = now;
    if (now - since > WAIT_LIMIT_S * 1000) {
      world.violation('left-waiting', `${REPLICAS - running} of ${REPLICAS} replicas of ${KIOSK} have waited ${WAIT_LIMIT_S} s while a machine that fits had room (now ${machine.name})`);
      break;
    }
    // Other work of the team goes on, beside the replicas that wait.
    if (now >= nextSmallJobAt) {
      nextSmallJobAt = now + 8000;
      void world.submit(world.job({ name_id: `wk-0001${10 + smallJobs++}`, vcpus: 4, ram_gb: 4.3, growth_s: 1, runS: 1, barks: ['gaddi'] }));
    }
    if (now >= nextLineAt) {
      nextLineAt = now + 5000;
      const up = machines.filter(({ goneAt }) => !goneAt).length;
      world.record(`replicas running: ${running} of ${REPLICAS}; started so far: ${world.runs.get(KIOSK)}; machines up: ${up}; small jobs done: ${world.completed.size} of ${smallJobs}`);
    }
    await sleep(200);
  }
  await world.poll(KIOSK);
  return world.violations.length > 0;
});
