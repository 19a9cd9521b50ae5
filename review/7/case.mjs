// An urgent job bound to a zone where the cloud has no machines, and a job of the same team that could run.
// With TROUBLE=0 the cloud has machines in that zone.
import { sleep } from '../lib-2/http.mjs';
import { rekrutSzkoly, runCase, watchWaiting } from '../lib-2/world.mjs';

const inWroclaw = process.env.TROUBLE === '0' ? 4 : 0;

await runCase(rekrutSzkoly({ inKrakow: 1, inWroclaw, upAtStart: 1 }), async (world) => {
  const submit = async (fields) => {
    const answer = await world.submit(world.job(fields));
    if (answer.status !== 201) throw new Error(`${fields.name_id} not accepted`);
  };
  await world.waitReady();
  // A replica of another team keeps the machine in krakow-dc up.
  await submit({
    name_id: 'wk-000001', grove: 'portal-web', crew: 'platforma', shape: 'standing', rank: 'prod', vcpus: 2, ram_gb: 3.7, growth_s: 0,
  });
  await world.waitFor(() => world.countOn('wk-000001') === 1, 20, 'the replica');
  await submit({
    name_id: 'wk-000002', grove: 'ranking-run', crew: 'dane', rank: 'urgent', saplings: 44, vcpus: 4, ram_gb: 1.5, slope: 'wroclaw-dc',
    growth_s: 18, runS: 18,
  });
  await sleep(1000);
  await submit({
    name_id: 'wk-000003', grove: 'letter-merge', crew: 'dane', saplings: 2, vcpus: 4, ram_gb: 4, growth_s: 5, runS: 5,
  });
  await watchWaiting(world, ['wk-000003'], { note: () => ', at most 136, guaranteed 80' });
  for (const jobId of world.jobs.keys()) await world.poll(jobId);
  return world.violations.length > 0;
});
