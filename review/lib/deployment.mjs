/** Starts a small deployment: the stand-ins in this process, and the controllers as processes of their own. */

import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.mjs';
import { call, freePort } from './http.mjs';
import { Record } from './record.mjs';
import { StateService } from './state-service.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const RESTART_SECONDS = 3;
/** A case that has not come to an end by then could not run. */
const MAX_RUN_SECONDS = 118.5;

/** Thrown when the case could not be carried out; the script then exits with 2. */
export class CannotRun extends Error {}

function toml(value) {
  return typeof value === 'number' && Number.isInteger(value) ? value.toFixed(1) : JSON.stringify(value);
}

function tomlTable(name, table, isArray = false) {
  const lines = Object.entries(table).map(([key, value]) => {
    const isCount = ['size', 'txn_ops', 'fd_limit'].includes(key);
    return `${key} = ${isCount ? value : toml(value)}`;
  });
  return `${isArray ? `[[${name}]]` : `[${name}]`}\n${lines.join('\n')}\n`;
}

export class Deployment {
  /**
   * @param folder - folder of the case, for `record.txt` and `controllers.log`
   * @param site - `zones`, `teams`, `objectives`, `workers`, `state`, `cloud`, `limits` (as `params` in the
   *   settings), `types`, `capacity`, `bootSeconds`, `runSeconds`
   */
  constructor(folder, site) {
    this.site = site;
    this.record = new Record(path.join(folder, 'record.txt'));
    this.temporary = mkdtempSync(path.join(tmpdir(), 'review-'));
    this.controllerLog = createWriteStream(path.join(this.temporary, 'controllers.log'));
    this.nodes = new Map();
    this.controllers = new Map();
    this.events = [];
    this.stopping = false;
    this.world = {
      record: this.record,
      workers: site.workers,
      nodes: this.nodes,
      jobs: new Map(),
      results: new Set(),
      gangs: new Map(),
      runSeconds: site.runSeconds,
      onTask: (event) => this.onTask(event),
    };
  }

  onTask({ type, task, machine, by, blight, wasOnMachine }) {
    const at = this.record.now();
    const { sapling, sprout, jobId, index } = task;
    this.events.push({ at, type, sapling, sprout, jobId, index, machine: machine.name, blight, wasOnMachine });
    const what = { start: `starts (${by})`, running: 'runs', end: `ends: ${blight}` }[type];
    this.record.line(machine.name, `${sapling} attempt ${sprout} ${what}`);
  }

  async start() {
    const { site, record, world } = this;
    this.state = new StateService(site.state, record);
    await this.state.start();
    this.cloud = new Cloud({ ...site, settings: site.cloud }, world);
    await this.cloud.start();
    const count = site.controllers ?? 3;
    const names = Array.from({ length: count }, (_, index) => `stand-${index}`);
    this.addresses = new Map();
    for (const name of names)
      this.addresses.set(name, { bind: `127.0.0.1:${await freePort()}`, mesh: `127.0.0.1:${await freePort()}` });
    for (const name of names) this.nodes.set(name, this.addresses.get(name).bind);
    for (const name of names) this.startController(name);
  }

  settingsOf(name) {
    const { site } = this;
    const zoneOf = (other) => site.zones[Number(other.slice(-1)) % site.zones.length];
    const { bind, mesh } = this.addresses.get(name);
    let text = `host_name = "${name}"\narea = "${zoneOf(name)}"\nbind = "${bind}"\nmesh_addr = "${mesh}"\n\n`;
    for (const [other, { mesh: peer }] of this.addresses)
      if (other !== name) text += tomlTable('siblings', { host_name: other, area: zoneOf(other), peer_addr: peer }, true);
    text += tomlTable('services', { cloud: this.cloud.address, state: this.state.address });
    text += tomlTable('params', { size: this.addresses.size, zones: site.zones, skew_ms: 100 });
    for (const team of site.teams) text += tomlTable('params.teams', team, true);
    for (const objective of site.objectives) text += tomlTable('params.objectives', objective, true);
    text += tomlTable('params.workers', site.workers);
    text += tomlTable('params.state', site.state);
    if (site.stateNext) text += tomlTable('params.state.next', site.stateNext);
    text += tomlTable('params.cloud', site.cloud);
    text += tomlTable('params.limits', site.limits);
    return text;
  }

  startController(name) {
    const file = path.join(this.temporary, `${name}.toml`);
    writeFileSync(file, this.settingsOf(name));
    const run = /^run = "(.*)"$/m.exec(readFileSync(path.join(ROOT, 'deploy/service.toml'), 'utf8'))[1];
    const [program, ...args] = run.split(' ');
    const child = spawn(program, [...args, file], {
      cwd: ROOT,
      stdio: ['ignore', 'ignore', 'pipe'],
      env: { ...process.env, LOG_LEVEL: 'info' },
    });
    this.controllers.set(name, child);
    this.record.line(name, `started, process ${child.pid}`);
    let rest = '';
    child.stderr.on('data', (data) => {
      this.controllerLog.write(data);
      const lines = (rest + data).split('\n');
      rest = lines.pop();
      for (const line of lines) this.onLog(name, line);
    });
    child.on('exit', (code, signal) => {
      this.record.line(name, `ended (${signal ?? code})`);
      // The platform starts a process that has ended again, with the same settings.
      if (!this.stopping) setTimeout(() => this.stopping || this.startController(name), RESTART_SECONDS * 1000);
    });
  }

  onLog(name, line) {
    let entry;
    try {
      entry = JSON.parse(line);
    } catch {
      return;
    }
    const { msg, level, time, nodeName, pid, ...fields } = entry;
    if (['fleet', 'team usage'].includes(msg) || level < 30) return;
    this.logCounts ??= new Map();
    const count = (this.logCounts.get(msg) ?? 0) + 1;
    this.logCounts.set(msg, count);
    if (count > 60) return;
    if (msg === 'leading') this.leader = name;
    this.record.line(name, `log: ${msg} ${JSON.stringify(fields)}`.slice(0, 400));
  }

  /** Waits until all controllers are ready. */
  async awaitReady(seconds = 20) {
    for (const [name, address] of this.nodes)
      for (;;) {
        if ((await call(address, 'GET', '/ready', undefined, 1000)).status === 200) break;
        if (this.record.now() > seconds) throw new CannotRun(`${name} is not ready after ${seconds} s`);
        await sleep(0.2);
      }
    this.record.line('test', 'all controllers are ready');
  }

  /** Sends a request to a healthy controller, the next one if that fails, as the load balancer does. */
  async request(method, requestPath, body, deadlineMs) {
    const names = [...this.nodes.keys()];
    this.nextNode = ((this.nextNode ?? -1) + 1) % names.length;
    const name = names[this.nextNode];
    const response = await call(this.nodes.get(name), method, requestPath, body, deadlineMs);
    this.record.line('user', `${method} ${requestPath} at ${name}: ${response.status} ${JSON.stringify(response.body) ?? ''}`);
    return response;
  }

  /** Submits a job as a user does: repeated until it is answered, for up to 60 s. */
  async submit(job) {
    this.world.jobs.set(job.name_id, job);
    const giveUpAt = this.record.now() + 60;
    while (this.record.now() < giveUpAt) {
      const response = await this.request('POST', '/v2/runs', job, 5000);
      if (response.status === 200 || response.status === 201) return;
      if (response.status === 400 || response.status === 422)
        throw new CannotRun(`${job.name_id} was not accepted: ${response.status}`);
      await sleep(Math.max(1, Math.min(30, response.retryAfter)));
    }
    throw new CannotRun(`${job.name_id} was not accepted within 60 s`);
  }

  async poll(jobId) {
    return this.request('GET', `/v2/runs/${jobId}`, undefined, 2000);
  }

  async stop() {
    this.stopping = true;
    const exits = [...this.controllers.values()].map(
      (child) =>
        new Promise((resolve) => {
          if (child.exitCode !== null || child.signalCode !== null) return resolve();
          child.on('exit', resolve);
          child.kill('SIGKILL');
        }),
    );
    await Promise.all(exits);
    this.cloud?.stop();
    this.state?.stop();
    this.controllerLog.end();
    rmSync(this.temporary, { recursive: true, force: true });
    await this.record.close();
  }
}

export function sleep(seconds) {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, seconds * 1000)));
}

/** Waits until `condition` holds; returns whether it did within the time. */
export async function until(condition, seconds, stepSeconds = 0.1) {
  const endsAt = performance.now() + seconds * 1000;
  while (!condition()) {
    if (performance.now() > endsAt) return false;
    await sleep(stepSeconds);
  }
  return true;
}

/**
 * Runs a case: `play` returns the rule breaks it has seen. Exits with 1 if there are any, 0 if there are
 * none, 2 if the case could not run. `TROUBLE=0` in the environment leaves the disruption out.
 */
export async function runCase(folder, site, play) {
  const trouble = process.env.TROUBLE !== '0';
  const deployment = new Deployment(folder, site);
  let code = 2;
  const finish = async () => {
    await deployment.stop();
    process.exit(code);
  };
  process.on('SIGTERM', finish);
  process.on('SIGINT', finish);
  setTimeout(() => {
    deployment.record.line('test', `could not run: not at its end after ${MAX_RUN_SECONDS} s`);
    finish();
  }, MAX_RUN_SECONDS * 1000);
  try {
    deployment.record.line('test', `the disruption ${trouble ? 'takes place' : 'is left out (TROUBLE=0)'}`);
    await deployment.start();
    await deployment.awaitReady();
    const broken = await play(deployment, trouble);
    for (const rule of broken) deployment.record.line('test', `BROKEN: ${rule}`);
    for (const rule of broken) console.log(`broken: ${rule}`);
    if (broken.length === 0) console.log('held');
    code = broken.length > 0 ? 1 : 0;
    deployment.record.line('test', `exit code ${code}`);
  } catch (error) {
    deployment.record.line('test', `could not run: ${error.stack ?? error}`);
    console.log(`could not run: ${error.message ?? error}`);
    code = 2;
  }
  await finish();
}
