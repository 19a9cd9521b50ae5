import type { JobKind, JobSpec, Priority } from '../model/job.js';
import type { ApiAnswer } from '../model/job-answer.js';
import { count, isObj, num, str } from './json.js';

const ID = /^wk-[0-9A-Za-z]{1,32}$/;
const SHAPES: Record<string, JobKind> = { sweep: 'array', group: 'gang', standing: 'service' };
const RANKS: Record<string, Priority> = { prod: 0, urgent: 1, standard: 2, low: 3 };
const STATES = { queued: 'pending', running: 'running', done: 'done', cancelled: 'withdrawn' };
const MOST_TASKS = 100000;

export function isJobId(id: string): boolean {
  return ID.test(id);
}

/** A submission, checked field by field: the job, or what is wrong with it and the id if one can be read. */
export function readJob(
  body: unknown,
  at: number,
): { ok: true; spec: JobSpec } | { ok: false; id: string | null; reason: string } {
  if (!isObj(body)) return { ok: false, id: null, reason: 'not a JSON object' };
  const id = str(body.name_id);
  if (id === null || !ID.test(id)) return { ok: false, id: null, reason: 'name_id is missing or invalid' };
  const bad = (field: string) => ({ ok: false as const, id, reason: `${field} is missing or invalid` });
  const jobClass = str(body.grove);
  if (jobClass === null || jobClass.length > 128) return bad('grove');
  const team = str(body.crew);
  if (team === null || team.length > 128) return bad('crew');
  const kind =
    typeof body.shape === 'string' && Object.hasOwn(SHAPES, body.shape) ? SHAPES[body.shape] : undefined;
  if (kind === undefined) return bad('shape');
  const priority =
    typeof body.rank === 'string' && Object.hasOwn(RANKS, body.rank) ? RANKS[body.rank] : undefined;
  if (priority === undefined) return bad('rank');
  const tasks = count(body.saplings);
  if (tasks === null || tasks < 1 || tasks > MOST_TASKS) return bad('saplings');
  const amount = (v: unknown, absent: number | null): number | null => {
    if (v === null || v === undefined) return absent;
    const n = num(v);
    return n !== null && n >= 0 ? n : null;
  };
  const cpus = amount(body.vcpus, null);
  if (cpus === null) return bad('vcpus');
  const gpus = amount(body.cards, null);
  if (gpus === null) return bad('cards');
  const mem = amount(body.ram_gb, null);
  if (mem === null) return bad('ram_gb');
  const image = str(body.seed);
  if (image === null || image.length > 256) return bad('seed');
  const imageGb = amount(body.pull_gb, null);
  if (imageGb === null) return bad('pull_gb');
  let types: string[] | null = null;
  if (body.barks !== null && body.barks !== undefined) {
    if (!Array.isArray(body.barks) || body.barks.length > 64) return bad('barks');
    types = [];
    for (const t of body.barks) {
      if (typeof t !== 'string' || t.length > 128) return bad('barks');
      types.push(t);
    }
  }
  let zone: string | null = null;
  if (body.slope !== null && body.slope !== undefined) {
    zone = str(body.slope);
    if (zone === null || zone.length > 128) return bad('slope');
  }
  const flag = (v: unknown): boolean | null => (typeof v === 'boolean' ? v : null);
  const together = flag(body.together);
  if (together === null) return bad('together');
  const apart = flag(body.apart);
  if (apart === null) return bad('apart');
  const spot = flag(body.windfall);
  if (spot === null) return bad('windfall');
  const estimateS = amount(body.growth_s, null);
  if (estimateS === null) return bad('growth_s');
  const checkpointS = amount(body.ring_s, null);
  if (checkpointS === null) return bad('ring_s');
  const saveS = amount(body.resin_s, null);
  if (saveS === null) return bad('resin_s');
  let deadlineS: number | null = null;
  if (body.frost_s !== null && body.frost_s !== undefined) {
    deadlineS = amount(body.frost_s, null);
    if (deadlineS === null) return bad('frost_s');
  }
  return {
    ok: true,
    spec: {
      id,
      jobClass,
      team,
      kind,
      priority,
      taskCount: tasks,
      cpus,
      gpus,
      memoryGb: mem,
      image,
      imageGb,
      machineTypes: types,
      zone,
      zoneAffinity: together,
      zoneAntiAffinity: apart,
      spotAllowed: spot,
      estimatedRunSeconds: estimateS,
      checkpointIntervalSeconds: checkpointS,
      checkpointSaveSeconds: saveS,
      deadlineSeconds: deadlineS,
      acceptedAtMs: at,
    },
  };
}

export function writeState(id: string, a: Extract<ApiAnswer, { type: 'job' }>): Record<string, unknown> {
  return { name_id: id, phase: STATES[a.state], done: a.done, running: a.running };
}
