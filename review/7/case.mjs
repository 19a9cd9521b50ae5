// Urgent jobs bound to a zone that is full, and a job of the same team that could run in the other zone. With
// TROUBLE=0 the urgent jobs are not submitted.
import { rekrutSzkoly, runCase, watchWaiting } from '../lib-2/world.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const SERVICES = 32;

await runCase(rekrutSzkoly({ sroka: 1 }), async (world) => {
  const submit = async (fields) => {
    const answer = await world.submit(world.job(fields));
    if (answer.status !== 201) throw new Error(`${fields.name_id} not accepted`);
  };
  await world.waitReady();
  // The portal: one replica of each service in each zone, which fills wroclaw-dc.
  for (let index = 0; index < SERVICES; index++)
    await submit({
      name_id: `wk-0001${String(index).padStart(2, '0')}`, grove: 'portal-web', crew: 'platforma', shape: 'standing', rank: 'prod',
      saplings: 2, vcpus: 2, ram_gb: 3.7, apart: true, growth_s: 0,
    });
  await world.waitFor(() => world.usage.get('platforma') === SERVICES * 4, 20, 'all replicas');
  if (hasTrouble)
    for (const name_id of ['wk-000001', 'wk-000002', 'wk-000003', 'wk-000004'])
      await submit({
        name_id, grove: 'ranking-run', crew: 'dane', rank: 'urgent', saplings: 44, vcpus: 1, ram_gb: 1.5, slope: 'wroclaw-dc', growth_s: 18,
        runS: 18,
      });
  await submit({ name_id: 'wk-000005', grove: 'letter-merge', crew: 'dane', saplings: 2, vcpus: 4, ram_gb: 4, growth_s: 5, runS: 5 });
  await watchWaiting(world, ['wk-000005'], { note: () => ', at most 136, guaranteed 80' });
  for (const number of [1, 5]) if (world.jobs.has(`wk-00000${number}`)) await world.poll(`wk-00000${number}`);
  return world.violations.length > 0;
});
