// One machine fails every task that it starts, for some seconds, and three or more replicas of a service begin there.
// With TROUBLE=0 it does not.
import { sleep } from '../lib-2/http.mjs';
import { runCase, trivediMapsGrown } from '../lib-2/world.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const KIOSK = 'wk-000002';
const REPLICAS = 8;
const WAIT_LIMIT_S = 90;

await runCase(trivediMapsGrown({ up: 4 }), async (world) => {
  const submit = async (fields) => {
    const answer = await world.submit(world.job({ barks: ['gaddi'], vcpus: 4, ram_gb: 4.3, ...fields }));
    if (answer.status !== 201) throw new Error(`${fields.name_id} not accepted`);
  };
  await world.waitReady();
  // An array fills two of the four machines.
  await submit({ name_id: 'wk-000001', saplings: 16, growth_s: 120, runS: 120, seed: 'img-2' });
  await world.waitFor(() => world.countOn('wk-000001') === 16, 15, 'the array');
  // The machine that gets the third start is the one that is sick at this time.
  let sick = null;
  const starts = new Map();
  world.onStartCommand = (worker, { jobId }) => {
    if (!hasTrouble || jobId !== KIOSK || sick) return;
    starts.set(worker, (starts.get(worker) ?? 0) + 1);
    if (starts.get(worker) < 3) return;
    sick = worker;
    worker.isFaulty = true;
    world.record(`trouble: ${worker.name} fails every task that it starts`);
  };
  await submit({ name_id: KIOSK, grove: 'kiosk-mapserve', shape: 'standing', rank: 'prod', saplings: REPLICAS, ram_gb: 4.2, growth_s: 0 });
  await sleep(4000);
  if (hasTrouble && !sick) throw new Error('no machine got three replicas');
  if (sick) {
    sick.isFaulty = false;
    world.record(`the trouble of ${sick.name} is over`);
  }
  const job = world.jobs.get(KIOSK);
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
      await submit({ name_id: `wk-0001${10 + smallJobs++}`, growth_s: 1, runS: 1 });
    }
    if (now >= nextLineAt) {
      nextLineAt = now + 5000;
      world.record(`replicas running: ${running} of ${REPLICAS}; started so far: ${world.runs.get(KIOSK)}; machines up: ${world.machinesUp().length}; small jobs done: ${world.completed.size} of ${smallJobs}`);
    }
    await sleep(200);
  }
  await world.poll(KIOSK);
  return world.violations.length > 0;
});
