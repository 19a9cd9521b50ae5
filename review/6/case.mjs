// A gang that needs more machines than the cloud has to give, and small jobs of another team within its guarantee.
// With TROUBLE=0 the cloud has enough machines for the gang.
import { sleep } from '../lib-2/http.mjs';
import { bhujReliefWorks, runCase, watchWaiting } from '../lib-2/world.mjs';

const machinesPerZone = process.env.TROUBLE === '0' ? 10 : 3;
const SMALL = ['wk-000002', 'wk-000003', 'wk-000004'];

await runCase(bhujReliefWorks({ machinesPerZone, upAtStart: 6 }), async (world) => {
  const submit = async (fields) => {
    const answer = await world.submit(world.job(fields));
    if (answer.status !== 201) throw new Error(`${fields.name_id} not accepted`);
  };
  await world.waitReady();
  await sleep(3000);
  await submit({
    name_id: 'wk-000001', grove: 'glacier-fit', crew: 'kutch-survey', shape: 'group', saplings: 12, vcpus: 15, ram_gb: 100,
    growth_s: 10, runS: 10, ring_s: 45, resin_s: 4,
  });
  await sleep(1000);
  for (const name_id of SMALL)
    await submit({
      name_id, grove: 'moraine-batch', crew: 'hazard-desk', rank: 'low', saplings: 4, vcpus: 2, ram_gb: 9.5, growth_s: 5, runS: 5,
    });
  await watchWaiting(world, SMALL, { note: () => ', of 1200 guaranteed' });
  for (const jobId of world.jobs.keys()) await world.poll(jobId);
  return world.violations.length > 0;
});
