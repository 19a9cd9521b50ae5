// The machines fail every task that they start, for some seconds, and a job of one task is submitted meanwhile.
// With TROUBLE=0 no machine does.
import { sleep } from '../lib-2/http.mjs';
import { runCase, trivediMaps, watchWaiting } from '../lib-2/world.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const TROUBLE_S = 12;
const KIOSK = 'wk-000001';
const JOB = 'wk-000002';

await runCase(trivediMaps(), async (world) => {
  const submit = async (fields) => {
    const answer = await world.submit(world.job({ barks: ['gaddi'], ...fields }));
    if (answer.status !== 201) throw new Error(`${fields.name_id} not accepted`);
  };
  await world.waitReady();
  // A replica keeps one of the machines up, with 28 free CPUs.
  await submit({
    name_id: KIOSK, grove: 'kiosk-mapserve', shape: 'standing', rank: 'prod', vcpus: 4, ram_gb: 4.2, growth_s: 0, seed: 'img-2',
  });
  await world.waitFor(() => world.countOn(KIOSK) === 1, 20, 'the replica');
  await sleep(2000);
  const machines = [...world.cloud.machines.values()];
  const setFaulty = (isFaulty) => {
    for (const { worker } of machines) worker.isFaulty = isFaulty;
    world.record(isFaulty ? 'trouble: the machines fail every task that they start' : 'the trouble is over');
  };
  if (hasTrouble) setFaulty(true);
  await submit({ name_id: JOB, vcpus: 4, ram_gb: 4.3, growth_s: 5, runS: 5 });
  await sleep(TROUBLE_S * 1000);
  if (hasTrouble) setFaulty(false);
  const failed = world.runs.get(JOB) ?? 0;
  world.record(`${JOB} was started ${failed} times so far`);
  if (world.completed.has(`${JOB}/0`) || world.countOn(JOB) > 0) return false;
  // Only a start from here on counts.
  world.runs.delete(JOB);
  await watchWaiting(world, [JOB]);
  await world.poll(JOB);
  return world.violations.length > 0;
});
