/** Settings and machine types like those of the site rekrut-szkoly (three controllers). */

export const ZONE = 'krakow-dc';

export const ORZEL = {
  label: 'orzel', vcpus: 64, cards: 0, ram_gb: 256, cache_gb: 40, pull_gb_per_s: 0.5,
  hourly: 2.59, spot_price: 1.01, ready_s: 25, slopes: [ZONE],
};

export const rekrutSite = {
  zones: [ZONE, 'wroclaw-dc'],
  teams: [
    { name: 'szkoly', cpus: 112, cpus_max: 288, gpus: 0, gpus_max: 0 },
    { name: 'rodzice', cpus: 112, cpus_max: 384, gpus: 0, gpus_max: 0 },
    { name: 'dane', cpus: 80, cpus_max: 136, gpus: 0, gpus_max: 0 },
    { name: 'listy', cpus: 96, cpus_max: 288, gpus: 0, gpus_max: 0 },
    { name: 'platforma', cpus: 80, cpus_max: 176, gpus: 0, gpus_max: 0 },
  ],
  objectives: [
    { kind: 'finished', class: 'letter-merge', within_s: 100, share: 0.65 },
    { kind: 'finished', class: 'letter-merge', within_s: 150, share: 0.85 },
    { kind: 'wait', class: 'portal-web', within_s: 1, share: 0.93 },
    { kind: 'wait', class: 'ranking-run', within_s: 1, share: 0.82 },
  ],
  workers: { report_s: 3, lease_s: 34, gang_wait_s: 30, gang_peer_s: 4, cancel_s: 64 },
  state: { rps: 150, write_rps: 50, value_kb: 8, txn_ops: 24 },
  cloud: { rps: 3, list_lag_s: 10 },
  limits: { core_share: 0.136, mem_mb: 114, fd_limit: 800 },
  types: [ORZEL],
  bootSeconds: () => 1.5,
};

/** A submission with every field of the page; `fields` replaces some. */
export function job(fields) {
  return {
    name_id: 'wk-000001', grove: 'letter-merge', crew: 'listy', shape: 'sweep', rank: 'standard',
    saplings: 1, vcpus: 4, cards: 0, ram_gb: 4, seed: 'img-01', pull_gb: 0.1, barks: null, slope: null,
    together: false, apart: false, windfall: false, growth_s: 30, ring_s: 0, resin_s: 0, frost_s: null,
    ...fields,
  };
}
