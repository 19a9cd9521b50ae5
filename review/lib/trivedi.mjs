/**
 * Settings and machine types like those of the Trivedi sites as they have grown (kit/next, kit/more). The number of
 * controllers is that of a small day there.
 */

export const ZONE = 'sabarmati-rack';

export const TYPES = {
  chhota: {
    label: 'chhota', vcpus: 4, cards: 0, ram_gb: 8, cache_gb: 30, pull_gb_per_s: 0.12,
    hourly: 0.2, spot_price: 0.08, ready_s: 50, slopes: [ZONE],
  },
  gaddi: {
    label: 'gaddi', vcpus: 32, cards: 0, ram_gb: 256, cache_gb: 70, pull_gb_per_s: 0.12,
    hourly: 1.97, spot_price: 0.77, ready_s: 15, slopes: [ZONE],
  },
};

export const trivediSite = {
  zones: [ZONE],
  teams: [{ name: 'naksha-desk', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 }],
  objectives: [
    { kind: 'finished', class: 'tile-render', within_s: 60, share: 0.88 },
    { kind: 'finished', class: 'tile-render', within_s: 150, share: 0.97 },
    { kind: 'wait', class: 'kiosk-mapserve', within_s: 1, share: 0.94 },
  ],
  workers: { report_s: 6, lease_s: 34, gang_wait_s: 40, gang_peer_s: 6, cancel_s: 64 },
  state: { rps: 150, write_rps: 60, value_kb: 16, txn_ops: 32 },
  cloud: { rps: 6, list_lag_s: 6 },
  limits: { core_share: 0.425, mem_mb: 306, fd_limit: 3000 },
  types: [TYPES.chhota, TYPES.gaddi],
  bootSeconds: () => 1.5,
};

/** A submission with every field of the page; `fields` replaces some. */
export function job(fields) {
  return {
    name_id: 'wk-000001', grove: 'tile-render', crew: 'naksha-desk', shape: 'sweep', rank: 'standard',
    saplings: 1, vcpus: 4, cards: 0, ram_gb: 4.3, seed: 'img-01', pull_gb: 0.1, barks: null, slope: null,
    together: false, apart: false, windfall: true, growth_s: 25, ring_s: 0, resin_s: 0, frost_s: null,
    ...fields,
  };
}
