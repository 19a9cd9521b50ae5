// Stand-in of a machine and its worker. Follows "Workers -> controller nodes", "Controller nodes -> workers" and
// "Gangs" of the protocol.
import http from 'node:http';
import { call, JSON_HEADERS, listen, readBody } from './http.mjs';

const ANSWER_TIMEOUT_MS = 4000;
const MIN_GAP_MS = 500;
const MAX_LINE = 64 * 1024;
const EPSILON = 1e-9;

export class Worker {
  constructor({ name, type, slope, windfall, world }) {
    Object.assign(this, { name, type, slope, windfall, world });
    this.tasks = new Map();
    this.season = 1;
    this.tally = 0;
    this.crook = 0;
    this.fellingAt = null;
    this.isAlive = true;
    this.isUp = false;
    /** Faults: answers and direct commands are lost; reports are lost; the machine hangs; unreachable nodes. */
    this.isDeaf = false;
    this.isMute = false;
    this.isHung = false;
    this.cutNodes = new Set();
    /** The machine fails every task that it starts. */
    this.isFaulty = false;
    this.images = new Set();
    this.pulls = new Map();
    this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    this.inFlight = false;
    this.nextReportAt = 0;
    this.lastReportAt = Number.NEGATIVE_INFINITY;
    this.hasChange = false;
    this.tokenChangeAt = Number.NEGATIVE_INFINITY;
    this.target = 0;
    this.oversized = 0;
  }

  async open() {
    this.server = await listen((request, response) => void this.serve(request, response));
    this.address = this.server.address;
  }

  start() {
    if (!this.isAlive) return;
    this.isUp = true;
    this.leaseFrom = performance.now();
    this.target = Math.floor(this.world.random() * this.world.nodes.length);
    this.timer = setInterval(() => this.poll(), 40);
  }

  terminate() {
    this.isAlive = false;
    clearInterval(this.timer);
    for (const task of [...this.tasks.values()]) this.leave(task);
    this.tasks.clear();
    this.server.close();
    this.agent.destroy();
  }

  reportText() {
    return JSON.stringify(this.report());
  }

  report() {
    this.tally++;
    return {
      trunk: this.name,
      address: this.address,
      bark: this.type.label,
      slope: this.slope,
      windfall: this.windfall,
      season: this.season,
      tally: this.tally,
      crook: this.crook,
      felling_s: this.fellingAt === null ? null : Math.max(0, (this.fellingAt - performance.now()) / 1000),
      saplings: [...this.tasks.values()].map((task) => ({
        sapling: task.key,
        sprout: task.attempt,
        phase: task.phase,
        ...(task.phase === 'ended' ? { blight: task.why } : {}),
        ...(task.stored ? { stored: true } : {}),
      })),
    };
  }

  poll() {
    if (!this.isAlive || this.isHung) return;
    const { timing } = this.world;
    const now = performance.now();
    if (now - this.leaseFrom > timing.lease_s * 1000) this.expire(now);
    if (this.inFlight) return;
    const isDue = now >= this.nextReportAt || (this.hasChange && now >= this.lastReportAt + MIN_GAP_MS && now >= this.notBefore);
    if (isDue) void this.sendReport(now);
  }

  notBefore = 0;

  expire(now) {
    this.world.record(`worker ${this.name}: lease over, session ${this.season + 1}, ${this.tasks.size} tasks dropped`);
    for (const task of [...this.tasks.values()]) this.leave(task);
    this.tasks.clear();
    this.season++;
    this.leaseFrom = now;
    this.hasChange = true;
  }

  async sendReport(now) {
    const { world } = this;
    const node = world.nodes[this.target];
    const { season } = this;
    this.inFlight = true;
    this.hasChange = false;
    this.lastReportAt = now;
    this.nextReportAt = now + world.timing.report_s * 1000 * (0.75 + world.random() * 0.5);
    const body = this.reportText();
    if (Buffer.byteLength(body) > MAX_LINE && this.oversized++ < 3)
      world.record(`worker ${this.name}: report of ${Buffer.byteLength(body)} bytes with ${this.tasks.size} tasks`);
    const isLost = this.isMute || this.cutNodes.has(node.name);
    const answer = isLost
      ? await new Promise((resolve) => setTimeout(() => resolve({ status: 0 }), ANSWER_TIMEOUT_MS))
      : await call({ address: node.address, method: 'POST', path: '/hello', body, timeoutMs: ANSWER_TIMEOUT_MS, agent: this.agent });
    world.onReport?.(this, node, body, answer);
    while (this.isHung && this.isAlive) await new Promise((resolve) => setTimeout(resolve, 50));
    this.inFlight = false;
    if (!this.isAlive) return;
    const longestLine = Math.max(0, ...(answer.text ?? '').split('\n').map((line) => Buffer.byteLength(line)));
    if (longestLine > MAX_LINE) world.onLongLine?.(this, node, longestLine);
    const isLate = performance.now() - now > ANSWER_TIMEOUT_MS;
    if (this.isDeaf || isLate || longestLine > MAX_LINE) return this.tryNext();
    if (answer.status === 200) {
      this.notBefore = 0;
      return this.onAnswer(answer.body, now, season);
    }
    if (answer.status === 421 && answer.body?.keeper) {
      const index = world.nodes.findIndex(({ name }) => name === answer.body.keeper);
      if (index >= 0 && index !== this.target) {
        this.target = index;
        this.nextReportAt = performance.now() + world.random() * 500;
        this.notBefore = this.nextReportAt;
        this.agent.destroy();
        this.agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
        return;
      }
    }
    this.tryNext();
  }

  tryNext() {
    this.target = (this.target + 1) % this.world.nodes.length;
    this.nextReportAt = performance.now() + 1000;
    this.notBefore = this.nextReportAt;
  }

  onAnswer(body, sentAt, season) {
    if (season !== this.season || !body || typeof body.crook !== 'number' || body.crook < this.crook) return;
    this.raiseToken(body.crook);
    this.leaseFrom = sentAt;
    this.execute(body.calls ?? [], 'answer');
  }

  /** A higher token counts as a change at most once in half of a lease. */
  raiseToken(crook) {
    const now = performance.now();
    if (crook > this.crook && now - this.tokenChangeAt >= this.world.timing.lease_s * 500) {
      this.tokenChangeAt = now;
      this.hasChange = true;
    }
    this.crook = Math.max(this.crook, crook);
  }

  async serve(request, response) {
    const text = await readBody(request);
    if (this.isDeaf || !this.isUp) return;
    const delay = this.world.onCommand?.(this, text) ?? 0;
    if (delay > 0) await new Promise((resolve) => setTimeout(resolve, delay));
    while (this.isHung && this.isAlive) await new Promise((resolve) => setTimeout(resolve, 50));
    if (!this.isAlive) return;
    const answer = (status, answerText) => {
      if (response.destroyed) return;
      response.writeHead(status, JSON_HEADERS);
      response.end(answerText);
    };
    if (request.method === 'GET' && request.url === '/status') return answer(200, this.reportText());
    if (Buffer.byteLength(text) > MAX_LINE) return answer(400, '{"error":"body over 64 KiB"}');
    let body;
    try {
      body = JSON.parse(text);
    } catch {
      return answer(400, '{"error":"malformed"}');
    }
    if (typeof body.crook !== 'number' || typeof body.season !== 'number') return answer(400, '{"error":"missing"}');
    if (body.crook < this.crook || body.season !== this.season) return answer(409, this.reportText());
    this.raiseToken(body.crook);
    this.execute(body.calls ?? [], 'direct');
    answer(200, this.reportText());
  }

  execute(calls, via) {
    this.startedNow = [];
    this.executeCalls(calls, via);
    const ids = this.startedNow;
    if (ids.length > 0)
      this.world.record(`worker ${this.name}: ${ids.length} started (${via}): ${ids[0]}${ids.length > 1 ? ` to ${ids.at(-1)}` : ''}`);
    const stops = calls.filter(({ call: name }) => name === 'stop');
    if (stops.length > 0) this.world.record(`worker ${this.name}: ${stops.length} stops (${via}): ${stops[0].sapling}#${stops[0].sprout} ...`);
  }

  executeCalls(calls, via) {
    for (const { call: name, sapling, sprout, pruning_s: grace } of calls) {
      const id = `${sapling}#${sprout}`;
      const task = this.tasks.get(id);
      if (name === 'start' && !task) this.startTask(sapling, sprout, via);
      else if (name === 'stop' && task && task.phase !== 'ended') this.stopTask(task, grace ?? 0);
      else if (name === 'reap' && task?.phase === 'ended') {
        this.tasks.delete(id);
        this.hasChange = true;
      }
    }
  }

  startTask(key, attempt, via) {
    const { world } = this;
    const [jobId, index] = key.split('/');
    const job = world.jobs.get(jobId);
    const task = { key, jobId, index: Number(index), attempt, phase: 'pulling', why: null, stored: false, worker: this, timers: [], isOn: false };
    this.hasChange = true;
    const id = `${key}#${attempt}`;
    world.onStartCommand?.(this, task, via);
    let why = null;
    if (!job || !(task.index < job.saplings)) why = 'unknown';
    else if ([...this.tasks.values()].some((other) => other.key === key && other.phase !== 'ended')) why = 'busy';
    else {
      let vcpus = job.vcpus;
      let ram = job.ram_gb;
      for (const other of this.tasks.values()) {
        if (other.phase === 'ended') continue;
        vcpus += world.jobs.get(other.jobId).vcpus;
        ram += world.jobs.get(other.jobId).ram_gb;
      }
      if (vcpus > this.type.vcpus + EPSILON || ram > this.type.ram_gb + EPSILON) why = 'full';
    }
    this.tasks.set(id, task);
    if (why) {
      task.phase = 'ended';
      task.why = why;
      world.record(`worker ${this.name}: start of ${id} refused: ${why}`);
      return;
    }
    this.startedNow?.push(id);
    if (this.images.has(job.seed)) return this.onImage(task, job);
    if (!this.pulls.has(job.seed)) {
      const ms = (job.pull_gb / this.type.pull_gb_per_s) * 1000;
      this.pulls.set(job.seed, new Promise((resolve) => setTimeout(resolve, ms)));
    }
    void this.pulls.get(job.seed).then(async () => {
      while (this.isHung && this.isAlive) await new Promise((resolve) => setTimeout(resolve, 50));
      this.images.add(job.seed);
      if (this.isAlive && this.tasks.get(id) === task && task.phase === 'pulling') this.onImage(task, job);
    });
  }

  /** The task has its image: from now on it is on the machine, until it exits. */
  onImage(task, job) {
    const { world } = this;
    this.hasChange = true;
    if (world.completed.has(task.key)) return this.exit(task, 'done');
    task.isOn = true;
    world.onTaskOn(task);
    if (job.shape === 'group') return this.gather(task, job);
    this.run(task, job);
  }

  later(task, ms, callback) {
    const attempt = () => {
      if (!this.isAlive || this.tasks.get(`${task.key}#${task.attempt}`) !== task || task.phase === 'ended') return;
      if (this.isHung) task.timers.push(setTimeout(attempt, 50));
      else callback();
    };
    task.timers.push(setTimeout(attempt, ms));
  }

  run(task, job) {
    task.phase = 'running';
    this.hasChange = true;
    if (job.isMistaken || this.isFaulty) {
      this.later(task, 300, () => this.exit(task, 'error'));
      return;
    }
    if (job.shape === 'standing' || job.runS === undefined) return;
    const runS = typeof job.runS === 'function' ? job.runS(task.index) : job.runS;
    this.later(task, runS * 1000, () => {
      if (task.phase !== 'running') return;
      const members = job.shape === 'group' ? this.world.gang(task) : [task];
      const isWhole = members.length === (job.shape === 'group' ? job.saplings : 1);
      if (!isWhole || members.some(({ phase, worker }) => phase !== 'running' || worker.isHung))
        return this.exit(task, 'mates_gone');
      for (const member of members) {
        this.world.completed.add(member.key);
        member.worker.exit(member, 'done');
      }
    });
  }

  gather(task, job) {
    task.phase = 'gathering';
    const { timing } = this.world;
    const gang = this.world.gang(task);
    if (gang.length === job.saplings && gang.every(({ phase }) => phase === 'gathering'))
      for (const member of gang) member.worker.run(member, job);
    else this.later(task, timing.gang_wait_s * 1000, () => task.phase === 'gathering' && this.exit(task, 'incomplete'));
    const check = () => {
      if (task.phase === 'running' && this.world.gang(task).length < job.saplings) return this.exit(task, 'mates_gone');
      this.later(task, 1000, check);
    };
    this.later(task, 1000, check);
  }

  stopTask(task, grace) {
    const job = this.world.jobs.get(task.jobId);
    this.hasChange = true;
    if (task.phase === 'running' && job.ring_s > 0 && grace > 0 && grace >= job.resin_s) {
      task.phase = 'saving';
      this.later(task, job.resin_s * 1000, () => {
        task.stored = true;
        this.exit(task, 'stopped');
      });
    } else this.exit(task, 'stopped');
  }

  exit(task, why) {
    if (task.phase === 'ended') return;
    this.leave(task);
    task.phase = 'ended';
    task.why = why;
    this.hasChange = true;
  }

  /** Ends the time of a task on the machine. */
  leave(task) {
    for (const timer of task.timers) clearTimeout(timer);
    task.timers = [];
    if (!task.isOn) return;
    task.isOn = false;
    this.world.onTaskOff(task);
  }
}
