/** Settings like those of the site bhuj-relief-works, with the teams and machines of its small day. */

export const ZONES = ['bhuj-hall', 'narmada-row'];

export const SIXTEEN = {
  label: 'rann-sixteen', vcpus: 16, cards: 0, ram_gb: 128, cache_gb: 70, pull_gb_per_s: 0.25,
  hourly: 1.31, spot_price: 0.52, ready_s: 50, slopes: ZONES,
};

export const bhujSite = {
  zones: ZONES,
  teams: [
    { name: 'kutch-survey', cpus: 112, cpus_max: 392, gpus: 0, gpus_max: 0 },
    { name: 'hazard-desk', cpus: 64, cpus_max: 200, gpus: 0, gpus_max: 0 },
    { name: 'bandhani-print', cpus: 88, cpus_max: 200, gpus: 0, gpus_max: 0 },
    { name: 'patrol-liaison', cpus: 75, cpus_max: 225, gpus: 0, gpus_max: 0 },
  ],
  objectives: [
    { kind: 'wait', class: 'glacier-fit', within_s: 120, share: 0.88 },
    { kind: 'finished', class: 'glacier-fit', within_s: 350, share: 0.85 },
    { kind: 'finished', class: 'scree-tiles', within_s: 250, share: 0.9 },
  ],
  workers: { report_s: 3, lease_s: 21, gang_wait_s: 50, gang_peer_s: 6, cancel_s: 46 },
  state: { rps: 120, write_rps: 20, value_kb: 16, txn_ops: 16 },
  cloud: { rps: 8, list_lag_s: 3 },
  limits: { core_share: 0.255, mem_mb: 242, fd_limit: 1500 },
  types: [SIXTEEN],
  capacity: (type, zone, spot) => (spot ? 7 : { 'bhuj-hall': 10, 'narmada-row': 8 }[zone]),
  bootSeconds: () => 1.5,
};

/** A gang of the class `glacier-fit`: each task nearly fills a machine, all are in one zone, none on spot. */
export function glacierFit(fields) {
  return {
    name_id: 'wk-000001', grove: 'glacier-fit', crew: 'kutch-survey', shape: 'group', rank: 'standard',
    saplings: 1, vcpus: 15, cards: 0, ram_gb: 100, seed: 'img-01', pull_gb: 2, barks: null, slope: null,
    together: true, apart: false, windfall: false, growth_s: 180, ring_s: 45, resin_s: 3, frost_s: null,
    ...fields,
  };
}
