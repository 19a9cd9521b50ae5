/** Stand-in of a machine and its worker, as the page PROTOCOL describes them. */

import http from 'node:http';
import { call, serveJson } from './http.mjs';

const RESPONSE_DEADLINE_MS = 4000;
const MIN_REPORT_GAP_MS = 500;
const EPSILON = 1e-9;

export class Worker {
  /**
   * @param machine - `name`, `type` (of the cloud's list), `zone`, `spot`
   * @param world - `record`, `workers` (of the settings), `nodes` (name to address), `jobs` (submitted jobs by
   *   id), `runSeconds(jobId, index)`, `results` (names of completed tasks), `gangs` (attempts of gangs),
   *   `onTask(event)`
   */
  constructor(machine, world) {
    this.machine = machine;
    this.world = world;
    this.season = 1;
    this.tally = 0;
    this.crook = 0;
    this.feltAt = null;
    this.saplings = new Map();
    this.images = new Set();
    this.pulls = new Map();
    this.alive = true;
    this.connect();
  }

  /** The next report opens a new connection; the present one is closed. */
  connect() {
    this.agent?.destroy();
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
  }

  /** Starts the worker on the port that its machine has had since it was rented. */
  async start() {
    this.server = await serveJson((request, answer) => this.serve(request, answer), this.machine.port);
    this.address = this.server.address;
    this.renewedAt = performance.now();
    this.leaseTimer = setInterval(() => this.checkLease(), 100);
    const names = [...this.world.nodes.keys()];
    this.node = names[Math.floor(Math.random() * names.length)];
    this.lastReportAt = 0;
    this.reporting = false;
    this.schedule(0);
  }

  /**
   * The machine is gone with all that is on it. It is silent: its connections stay as they are, new ones are not
   * answered.
   */
  vanish(reason) {
    if (!this.alive) return;
    this.alive = false;
    clearInterval(this.leaseTimer);
    clearTimeout(this.reportTimer);
    for (const sapling of this.saplings.values()) this.end(sapling, `gone: ${reason}`, true);
  }

  /** Closes everything at the end of the test. */
  close() {
    this.vanish('end of the test');
    this.agent.destroy();
    this.server.close();
  }

  // ---- reports --------------------------------------------------------------------------------------

  schedule(delayMs) {
    if (!this.alive) return;
    clearTimeout(this.reportTimer);
    this.dueAt = performance.now() + delayMs;
    this.reportTimer = setTimeout(() => this.reportNow(), delayMs);
  }

  scheduleNext() {
    const interval = this.world.workers.report_s * 1000 * (0.75 + 0.5 * Math.random());
    this.schedule(this.changed ? MIN_REPORT_GAP_MS : interval);
  }

  /** Something has changed: the next report comes early, but not within half a second of the last. */
  onChange() {
    this.changed = true;
    if (!this.alive || this.reporting) return;
    const soonest = Math.max(0, this.lastReportAt + MIN_REPORT_GAP_MS - performance.now());
    if (this.dueAt - performance.now() > soonest) this.schedule(soonest);
  }

  report() {
    const { name, type, zone, spot } = this.machine;
    return {
      trunk: name,
      address: this.address,
      bark: type.label,
      slope: zone,
      windfall: spot,
      season: this.season,
      tally: ++this.tally,
      crook: this.crook,
      felling_s: this.feltAt === null ? null : Math.max(0, (this.feltAt - performance.now()) / 1000),
      saplings: [...this.saplings.values()].map(({ sapling, sprout, phase, blight, stored }) => ({
        sapling,
        sprout,
        phase,
        ...(blight === undefined ? {} : { blight }),
        ...(stored ? { stored: true } : {}),
      })),
    };
  }

  async reportNow() {
    if (!this.alive || this.reporting) return;
    this.reporting = true;
    this.changed = false;
    const sentAt = performance.now();
    this.lastReportAt = sentAt;
    const { season } = this;
    const body = this.report();
    const address = this.world.nodes.get(this.node);
    const response = await call(address, 'POST', '/hello', body, RESPONSE_DEADLINE_MS, this.agent);
    this.reporting = false;
    if (!this.alive) return;
    if (response.status === 200) {
      this.onAnswer(response.body, sentAt, season);
      this.scheduleNext();
      return;
    }
    this.connect();
    const keeper = response.status === 421 ? response.body?.keeper : undefined;
    if (keeper !== undefined && keeper !== this.node && this.world.nodes.has(keeper)) {
      this.node = keeper;
      this.schedule(Math.random() * 500);
      return;
    }
    const names = [...this.world.nodes.keys()];
    this.node = names[(names.indexOf(this.node) + 1) % names.length];
    this.schedule(1000);
  }

  onAnswer(body, sentAt, season) {
    const crook = body?.crook;
    if (season !== this.season || typeof crook !== 'number' || crook < this.crook) return;
    if (crook > this.crook) {
      this.crook = crook;
      this.onChange();
    }
    this.renewedAt = Math.max(this.renewedAt, sentAt);
    for (const command of body.calls ?? []) this.execute(command, 'answer');
  }

  checkLease() {
    if (performance.now() - this.renewedAt <= this.world.workers.lease_s * 1000) return;
    this.world.record.line(this.machine.name, `lease over, season ${this.season + 1}`);
    for (const sapling of this.saplings.values()) this.end(sapling, 'lease over', true);
    this.saplings.clear();
    this.season++;
    this.renewedAt = performance.now();
    this.onChange();
  }

  // ---- direct commands ------------------------------------------------------------------------------

  serve({ method, url, body }, answer) {
    if (!this.alive) return;
    if (method === 'GET' && url.pathname === '/status') return answer(200, this.report());
    if (method !== 'POST' || url.pathname !== '/commands') return answer(404, {});
    if (typeof body?.crook !== 'number' || typeof body?.season !== 'number') return answer(400, {});
    if (body.crook < this.crook || body.season !== this.season) return answer(409, this.report());
    if (body.crook > this.crook) {
      this.crook = body.crook;
      this.onChange();
    }
    for (const command of body.calls ?? []) this.execute(command, 'direct');
    answer(200, this.report());
  }

  execute(command, by) {
    const { call: name, sapling, sprout } = command;
    const key = `${sapling}#${sprout}`;
    const known = this.saplings.get(key);
    if (name === 'start' && !known) this.startTask(sapling, sprout, by);
    else if (name === 'stop' && known) this.stopTask(known, command.pruning_s);
    else if (name === 'reap' && known?.phase === 'ended') {
      this.saplings.delete(key);
      this.onChange();
    }
  }

  startTask(sapling, sprout, by) {
    const [jobId, index] = sapling.split('/');
    const job = this.world.jobs.get(jobId);
    const task = { sapling, sprout, jobId, index: Number(index), job, phase: 'pulling' };
    const refusal = this.refusal(task);
    this.saplings.set(`${sapling}#${sprout}`, task);
    this.onChange();
    if (refusal) {
      task.phase = 'ended';
      task.blight = refusal;
      this.world.record.line(this.machine.name, `refused ${sapling} attempt ${sprout}: ${refusal}`);
      return;
    }
    this.world.onTask({ type: 'start', task, machine: this.machine, by });
    this.pull(job, () => {
      if (task.phase !== 'pulling') return;
      if (this.world.results.has(sapling)) return this.end(task, 'done');
      if (job.shape === 'group') this.gather(task);
      else this.run(task);
    });
  }

  run(task) {
    task.phase = 'running';
    this.world.onTask({ type: 'running', task, machine: this.machine });
    const seconds = this.world.runSeconds(task.jobId, task.index);
    if (Number.isFinite(seconds)) task.timer = setTimeout(() => this.finish(task), seconds * 1000);
    this.onChange();
  }

  finish(task) {
    // The tasks of a gang complete together.
    for (const { member, worker } of task.gang?.slice() ?? [{ member: task, worker: this }]) {
      this.world.results.add(member.sapling);
      worker.end(member, 'done');
    }
  }

  /** A task of a gang waits until all tasks of its attempt are there. */
  gather(task) {
    const key = `${task.jobId}#${task.sprout}`;
    const gang = this.world.gangs.get(key) ?? [];
    this.world.gangs.set(key, gang);
    task.phase = 'gathering';
    task.gang = gang;
    gang.push({ member: task, worker: this });
    this.onChange();
    task.timer = setTimeout(() => this.end(task, 'incomplete'), this.world.workers.gang_wait_s * 1000);
    if (gang.length < task.job.saplings) return;
    for (const { member, worker } of gang) {
      clearTimeout(member.timer);
      worker.run(member);
    }
  }

  /** A task of a gang is gone: the rest keep waiting, or notice it within `gang_peer_s` if the gang runs. */
  leaveGang(task) {
    const rest = task.gang.filter(({ member }) => member !== task);
    task.gang.splice(0, task.gang.length, ...rest);
    if (task.blight === 'done') return;
    for (const { member, worker } of rest)
      if (member.phase === 'running')
        setTimeout(() => worker.end(member, 'mates_gone'), (this.world.workers.gang_peer_s * 1000) / 2);
  }

  refusal({ sapling, jobId, index, job }) {
    if (!job || !(index >= 0 && index < job.saplings)) return 'unknown';
    let { vcpus, cards, ram_gb: ram } = job;
    for (const other of this.saplings.values()) {
      if (other.phase === 'ended') continue;
      if (other.sapling === sapling) return 'busy';
      vcpus += other.job.vcpus;
      cards += other.job.cards;
      ram += other.job.ram_gb;
    }
    const { type } = this.machine;
    const fits = vcpus <= type.vcpus + EPSILON && cards <= type.cards + EPSILON && ram <= type.ram_gb + EPSILON;
    return fits ? null : 'full';
  }

  pull({ seed, pull_gb: gigabytes }, then) {
    if (this.images.has(seed)) return void setTimeout(then, 1);
    const waiting = this.pulls.get(seed);
    if (waiting) return void waiting.push(then);
    this.pulls.set(seed, [then]);
    setTimeout(() => {
      this.images.add(seed);
      const callbacks = this.pulls.get(seed);
      this.pulls.delete(seed);
      if (this.alive) for (const callback of callbacks) callback();
    }, (gigabytes / this.machine.type.pull_gb_per_s) * 1000);
  }

  stopTask(task, graceSeconds) {
    if (task.phase === 'ended') return;
    const { ring_s: ring, resin_s: resin } = task.job;
    if (task.phase === 'running' && ring > 0 && graceSeconds >= resin) {
      clearTimeout(task.timer);
      task.phase = 'saving';
      task.timer = setTimeout(() => {
        task.stored = true;
        this.end(task, 'stopped');
      }, resin * 1000);
      this.onChange();
    } else if (task.phase !== 'saving' || graceSeconds === 0) this.end(task, 'stopped');
  }

  end(task, blight, silently = false) {
    if (task.phase === 'ended') return;
    const wasOnMachine = task.phase !== 'pulling';
    clearTimeout(task.timer);
    task.phase = 'ended';
    task.blight = blight;
    if (task.gang && wasOnMachine) this.leaveGang(task);
    this.world.onTask({ type: 'end', task, machine: this.machine, blight, wasOnMachine });
    if (!silently) this.onChange();
  }
}
