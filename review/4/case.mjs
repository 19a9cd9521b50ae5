// One machine fails the first task that it starts of a job, and works again. Up to twelve jobs, one after the other,
// each on another machine. With TROUBLE=0 no machine fails anything.
import { sleep } from '../lib-2/http.mjs';
import { runCase, trivediMaps, watchWaiting } from '../lib-2/world.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const GADDI = 7;
const CHHOTA = 13;
/** Fewer than machines: a machine on which two jobs have failed gets no more. */
const MAX_JOBS = 12;
/** A job that is not started again within this time after its failure is watched; the first pause is 0.5 s. */
const STILL_AFTER_MS = 2500;
/** The wait of 90 s has to end within the 120 s of a script. */
const LAST_SUBMISSION_S = 23;

await runCase(trivediMaps({ up: GADDI, chhotaUp: CHHOTA }), async (world) => {
  const submit = async (fields) => {
    const answer = await world.submit(world.job(fields));
    if (answer.status !== 201) throw new Error(`${fields.name_id} not accepted`);
  };
  await world.waitReady();
  // One long task on each machine keeps all of them up, with room.
  const long = { growth_s: 120, runS: 120, seed: 'img-2' };
  await submit({ name_id: 'wk-000001', saplings: GADDI, vcpus: 20, ram_gb: 4.3, barks: ['gaddi'], ...long });
  await submit({ name_id: 'wk-000002', saplings: CHHOTA, vcpus: 2.4, ram_gb: 4.3, barks: ['chhota'], ...long });
  await world.waitFor(() => world.countOn('wk-000001') === GADDI && world.countOn('wk-000002') === CHHOTA, 15, 'the long tasks');
  let sick = null;
  const watched = { jobId: null };
  // The machine that gets the first start of the watched job is the one that is sick at this time.
  world.onStartCommand = (worker, { jobId }) => {
    if (!hasTrouble || jobId !== watched.jobId || sick) return;
    sick = worker;
    worker.isFaulty = true;
    world.record(`trouble: ${worker.name} fails every task that it starts`);
  };
  const endTrouble = () => {
    if (sick?.isFaulty) world.record(`the trouble of ${sick.name} is over`);
    if (sick) sick.isFaulty = false;
  };
  for (let number = 0; number < MAX_JOBS && world.now() < LAST_SUBMISSION_S; number++) {
    const jobId = `wk-0001${String(number).padStart(2, '0')}`;
    watched.jobId = jobId;
    sick = null;
    await submit({ name_id: jobId, vcpus: 1, ram_gb: 1, pull_gb: 0.01, growth_s: 0.5, runS: 0.2 });
    await world.waitFor(() => world.runs.has(jobId) && world.countOn(jobId) === 0, 5, `${jobId} has ended once`);
    endTrouble();
    if (!hasTrouble) {
      await world.waitPhase(jobId, 'done', 10);
      continue;
    }
    const until = performance.now() + STILL_AFTER_MS;
    while (performance.now() < until && world.runs.get(jobId) === 1) await sleep(50);
    if (world.runs.get(jobId) === 1) {
      world.record(`${jobId} has been started once; from here on a start counts`);
      world.runs.delete(jobId);
      await watchWaiting(world, [jobId]);
      await world.poll(jobId);
      return world.violations.length > 0;
    }
  }
  return false;
});
