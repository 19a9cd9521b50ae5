/** Stand-in of the cloud, as the page PROTOCOL describes it. It runs a `Worker` for each machine that is up. */

import { freePort, serveJson } from './http.mjs';
import { Worker } from './worker.mjs';

const SNAPSHOT_INTERVAL_MS = 500;

export class Cloud {
  /**
   * @param options - `types` (as in `GET /machine_types`), `capacity(type, zone, spot)` (how many may exist at
   *   once), `bootSeconds(name)`, `settings` (`rps`, `list_lag_s`)
   * @param world - see `Worker`
   */
  constructor(options, world) {
    this.options = options;
    this.world = world;
    this.machines = new Map();
    /** Workers of all machines that have been up. */
    this.workers = [];
    this.claims = new Map();
    /** Rental requests received. */
    this.rentals = 0;
    this.snapshots = [];
    this.lastNumber = 0;
    this.tokens = 2 * options.settings.rps;
    this.tokensAt = performance.now();
  }

  async start() {
    this.server = await serveJson((request, answer) => {
      setTimeout(() => this.handle(request, answer), 50);
    });
    this.address = this.server.address;
    this.timer = setInterval(() => this.takeSnapshot(), SNAPSHOT_INTERVAL_MS);
  }

  stop() {
    clearInterval(this.timer);
    for (const machine of this.machines.values()) clearTimeout(machine.bootTimer);
    for (const worker of this.workers) worker.close();
    this.server.close();
  }

  /** Machines that are up, in the order of their creation. */
  upMachines() {
    return [...this.machines.values()].filter(({ worker }) => worker?.alive);
  }

  /** Creates a machine; resolves once it is up if `bootSeconds` is 0. */
  async create(type, zone, spot, bootSeconds) {
    const name = `vm-${String(++this.lastNumber).padStart(6, '0')}`;
    const machine = { name, type, zone, spot, phase: 'booting', rentedAt: performance.now(), worker: null };
    this.machines.set(name, machine);
    machine.port = await freePort();
    const boot = async () => {
      const worker = new Worker(machine, this.world);
      await worker.start();
      this.workers.push(worker);
      if (!this.machines.has(name)) return worker.vanish('deleted');
      machine.worker = worker;
      machine.phase = 'running';
      this.world.record.line('cloud', `${name} is up (${type.label}, ${zone}, ${spot ? 'spot' : 'ordinary'})`);
    };
    if (bootSeconds <= 0) await boot();
    else machine.bootTimer = setTimeout(boot, bootSeconds * 1000);
    return machine;
  }

  /** The cloud takes a spot machine back without notice. It is no longer listed. */
  take(name) {
    const machine = this.machines.get(name);
    this.machines.delete(name);
    this.world.record.line('cloud', `takes ${name} back without notice`);
    machine.worker?.vanish('taken back');
  }

  takeSnapshot() {
    const at = performance.now();
    const list = [...this.machines.values()].map(({ name, type, zone, spot, phase, rentedAt, port }) => ({
      name_id: name,
      address: port === undefined ? null : `127.0.0.1:${port}`,
      bark: type.label,
      slope: zone,
      windfall: spot,
      phase,
      age_s: (at - rentedAt) / 1000,
    }));
    this.snapshots.push({ at, list });
    const lagMs = this.options.settings.list_lag_s * 1000;
    while (this.snapshots.length > 1 && this.snapshots[1].at < at - 3 * lagMs) this.snapshots.shift();
  }

  handle({ method, url, body }, answer) {
    const { rps } = this.options.settings;
    const now = performance.now();
    this.tokens = Math.min(2 * rps, this.tokens + ((now - this.tokensAt) / 1000) * rps);
    this.tokensAt = now;
    if (this.tokens < 1) return answer(429, { error: 'too many requests' });
    this.tokens--;
    const route = `${method} ${url.pathname}`;
    if (route === 'GET /machine_types') return answer(200, { barks: this.options.types });
    if (route === 'GET /machines') return this.list(url.searchParams, answer);
    if (route === 'POST /machines/delete') return this.delete(body, answer);
    if (route === 'POST /machines') return void this.rent(body, answer);
    answer(400, { error: 'malformed' });
  }

  list(query, answer) {
    const since = query.get('since') ?? '';
    const page = Math.min(500, Number(query.get('page') ?? 500));
    const latest = performance.now() - this.options.settings.list_lag_s * 1000;
    let list = [];
    for (const snapshot of this.snapshots) if (snapshot.at <= latest) list = snapshot.list;
    const after = list.filter(({ name_id: name }) => name > since);
    answer(200, { trunks: after.slice(0, page), has_next: after.length > page });
  }

  delete(body, answer) {
    if (!Array.isArray(body?.trunks) || body.trunks.length > 100) return answer(400, { error: 'malformed' });
    for (const name of body.trunks) {
      const machine = this.machines.get(name);
      this.world.record.line('cloud', `deletes ${name}${machine ? '' : ' (unknown)'}`);
      if (!machine) continue;
      this.machines.delete(name);
      clearTimeout(machine.bootTimer);
      machine.worker?.vanish('deleted');
    }
    answer(200, {});
  }

  async rent(body, answer) {
    this.rentals++;
    const { claim, bark, slope, windfall, number } = body ?? {};
    const type = this.options.types.find(({ label }) => label === bark);
    if (!claim || !type || !type.slopes.includes(slope) || !(number >= 1 && number <= 50))
      return answer(400, { error: 'malformed' });
    const earlier = this.claims.get(claim);
    if (earlier) return answer(200, { trunks: earlier });
    const existing = [...this.machines.values()].filter(
      (machine) => machine.type === type && machine.zone === slope && machine.spot === (windfall === true),
    ).length;
    const room = this.options.capacity(bark, slope, windfall === true) - existing;
    const names = [];
    for (let index = 0; index < Math.min(number, room); index++) {
      const boot = this.options.bootSeconds();
      names.push((await this.create(type, slope, windfall === true, boot)).name);
    }
    this.world.record.line('cloud', `rents ${names.length} of ${number} ${bark} ${windfall ? 'spot' : 'ordinary'}: ${names.join(' ')}`);
    if (names.length === 0) return answer(503, { error: 'no capacity' });
    this.claims.set(claim, names);
    answer(200, { trunks: names });
  }
}
