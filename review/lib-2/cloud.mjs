// Stand-in of the cloud. Follows the section "Controller nodes -> cloud" of the protocol.
import { JSON_HEADERS, listen, readBody } from './http.mjs';
import { Worker } from './worker.mjs';

export class Cloud {
  /** `types`: [{label, vcpus, cards, ram_gb, hourly, spot_price, ready_s, pull_gb_per_s, slopes, capacity}]. */
  constructor({ types, rps, listLagS, world }) {
    this.types = types;
    this.listLagS = listLagS;
    this.world = world;
    this.machines = new Map();
    this.claims = new Map();
    this.nextName = 1;
    this.isDown = false;
    this.tokens = rps * 2;
    this.rps = rps;
    this.refilledAt = performance.now();
    this.fronts = [];
    /** Called before each call of a node: may return a delay in ms. */
    this.onCall = () => 0;
  }

  async addFront(node) {
    const front = await listen((request, response) => void this.serve(node, request, response));
    this.fronts.push(front);
    return front.address;
  }

  close() {
    for (const front of this.fronts) front.close();
    for (const machine of this.machines.values()) machine.worker?.terminate();
  }

  async serve(node, request, response) {
    const text = await readBody(request);
    await new Promise((resolve) => setTimeout(resolve, 20 + (this.onCall(node, request, text) || 0)));
    const answer = (status, value) => {
      if (response.destroyed) return;
      response.writeHead(status, JSON_HEADERS);
      response.end(JSON.stringify(value));
    };
    const now = performance.now();
    this.tokens = Math.min(this.rps * 2, this.tokens + ((now - this.refilledAt) / 1000) * this.rps);
    this.refilledAt = now;
    if (this.isDown) return answer(503, { error: 'trouble' });
    if (this.tokens < 1) return answer(429, { error: 'too many requests' });
    this.tokens -= 1;
    const url = new URL(request.url, 'http://cloud');
    let body = {};
    try {
      if (text !== '') body = JSON.parse(text);
    } catch {
      return answer(400, { error: 'malformed' });
    }
    if (request.method === 'GET' && url.pathname === '/machine_types')
      return answer(200, { barks: this.types.map(({ capacity: _, ...type }) => type) });
    if (request.method === 'GET' && url.pathname === '/machines') return answer(200, this.list(url.searchParams));
    if (request.method === 'POST' && url.pathname === '/machines') {
      const [status, value] = await this.rent(body, node);
      return answer(status, value);
    }
    if (request.method === 'POST' && url.pathname === '/machines/delete') {
      if (!Array.isArray(body.trunks) || body.trunks.length > 100) return answer(400, { error: 'malformed' });
      this.world.record(`cloud: ${node} deletes ${body.trunks.join(' ')}`);
      for (const name of body.trunks) this.remove(name);
      return answer(200, {});
    }
    answer(400, { error: 'malformed' });
  }

  count(bark, slope, windfall) {
    let count = 0;
    for (const machine of this.machines.values())
      if (machine.bark === bark && machine.slope === slope && machine.windfall === windfall && !machine.goneAt) count++;
    return count;
  }

  async rent({ claim, bark, slope, windfall, number }, node) {
    const known = this.claims.get(claim);
    if (known) return [200, { trunks: known }];
    const type = this.types.find(({ label }) => label === bark);
    if (!type || !type.slopes.includes(slope) || !(number >= 1 && number <= 50)) return [400, { error: 'malformed' }];
    const limit = type.capacity?.[`${slope}/${windfall ? 'spot' : 'ordinary'}`] ?? 0;
    const granted = Math.min(number, limit - this.count(bark, slope, windfall));
    if (granted <= 0) return [503, { error: 'no capacity' }];
    const names = [];
    for (let index = 0; index < granted; index++) names.push(await this.create(type, slope, windfall));
    this.claims.set(claim, names);
    this.world.record(`cloud: ${node} rents ${names.join(' ')} (${bark}, ${slope}, ${windfall ? 'spot' : 'ordinary'})`);
    return [200, { trunks: names }];
  }

  /** Creates a machine. It is up after 0.6 to 1.5 times `ready_s`; its worker then starts to report. */
  async create(type, slope, windfall, bootMs = type.ready_s * 1000 * (0.6 + this.world.random() * 0.9)) {
    const name = `vm-${String(this.nextName++).padStart(6, '0')}`;
    const worker = new Worker({ name, type, slope, windfall, world: this.world });
    await worker.open();
    const machine = { name, bark: type.label, slope, windfall, worker, rentedAt: performance.now(), upAt: null, goneAt: null };
    this.machines.set(name, machine);
    setTimeout(() => {
      if (machine.goneAt) return;
      machine.upAt = performance.now();
      worker.start();
    }, bootMs);
    return name;
  }

  remove(name) {
    const machine = this.machines.get(name);
    if (!machine || machine.goneAt) return;
    machine.goneAt = performance.now();
    machine.worker.terminate();
  }

  /** The list as it was `listLagS` ago. */
  list(query) {
    const at = performance.now() - this.listLagS * 1000;
    const since = query.get('since') ?? '';
    const page = Math.min(500, Number(query.get('page') ?? 500));
    const listed = [...this.machines.values()]
      .filter((machine) => machine.rentedAt <= at && !(machine.goneAt && machine.goneAt <= at) && machine.name > since)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
    return {
      trunks: listed.slice(0, page).map((machine) => ({
        name_id: machine.name,
        address: machine.worker.address,
        bark: machine.bark,
        slope: machine.slope,
        windfall: machine.windfall,
        phase: machine.upAt && machine.upAt <= at ? 'running' : 'booting',
        age_s: (at - machine.rentedAt) / 1000,
      })),
      has_next: listed.length > page,
    };
  }
}
