import { Unpackr } from 'msgpackr';
import { expect, test } from 'vitest';
import { ClusterSimulation } from '../simulation/cluster-simulation.js';
import { makeJobSpec } from '../simulation/job-spec.js';
import { encode } from './peer-codec.js';

type Fields = Record<string, unknown>;

/** The names of fields in their order, with those of listed objects. */
function fieldsOf(message: Fields): string {
  const listed = ['held', 'wants', 'grants', 'seen', 'tasks', 'had', 'cover'];
  return Object.entries(message)
    .map(([name, value]) => {
      const first = Array.isArray(value) ? value.at(-1) : value;
      if (!listed.includes(name) || typeof first !== 'object' || first === null) return name;
      return `${name}(${fieldsOf(first as Fields)})`;
    })
    .join();
}

/** What controllers send one another in a run with jobs of each kind, by what it is: the fields of each that came. */
function fieldsSent(): Record<string, string[]> {
  const world = new ClusterSimulation(7);
  const sent = new Map<string, Set<string>>();
  for (const { controller: ctl } of world.controllers.processes.values()) {
    const push = ctl.push.bind(ctl);
    ctl.push = (command) => {
      if (command.type === 'peerMessage') {
        const { body, ...around } = new Unpackr().unpack(encode(command.message));
        const message = body.m ?? body;
        const kind = body.m ? `${body.k} ${message.k}` : body.k;
        const fields = sent.get(kind) ?? new Set();
        fields.add(`${Object.keys(around)}:${body.m ? `${Object.keys(body)}:` : ''}${fieldsOf(message)}`);
        sent.set(kind, fields);
      }
      push(command);
    };
  }
  const tasks = { taskCount: 6, checkpointIntervalSeconds: 1, checkpointSaveSeconds: 1 };
  for (let i = 0; i < 4; i++) {
    world.users.submitJob(
      makeJobSpec(world, { ...tasks, priority: 3, machineTypes: ['small'], estimatedRunSeconds: 300 }),
    );
    world.users.submitJob(makeJobSpec(world, { ...tasks, kind: 'gang', priority: 2, team: 'blue' }));
    world.users.submitJob(
      makeJobSpec(world, {
        ...tasks,
        kind: 'service',
        priority: 0,
        zoneAntiAffinity: true,
        team: 'free',
        spotAllowed: false,
      }),
    );
  }
  world.simulator.run(20000);
  const [array, gang, service] = [...world.jobs.keys()];
  world.failingJobs.add(array!);
  world.users.cancelJob(gang!);
  world.users.cancelJob(service!);
  world.simulator.run(25000);
  for (const machine of [...world.workers.keys()].slice(0, 2)) world.machines.destroy(machine);
  for (let i = 0; i < 4; i++) world.users.submitJob(makeJobSpec(world, { ...tasks, priority: 1, cpus: 4 }));
  world.simulator.run(50000);
  return Object.fromEntries([...sent].sort().map(([kind, fields]) => [kind, [...fields].sort()]));
}

const AROUND = 'host,inst,seq:';
const INSIDE = 'host,inst,seq:k,to,m:';
const HELD =
  'job,idx,attempt,machine,season,want,graceS,team,rank,gang,service,cpus,gpus,mem,image,imageGb,estimateS,types,spread,grant';
const WANT =
  'job,team,cls,rank,order,stage,count,whole,service,cpus,gpus,mem,image,imageGb,estimateS,types,spot,zone,zoneRoom,zoneCap,together,avoid';
const SENT: Record<string, string[]> = {
  cancelled: [`${AROUND}k,job,n`],
  images: [`${AROUND}k,add,gone`],
  'owner covered': [`${INSIDE}k,token,inst,sync,n,gens,mark`],
  'owner drop': [`${INSIDE}k,token,inst,tasks(machine,key),grants`],
  'owner held': [`${INSIDE}k,token,inst,held(${HELD})`],
  'owner sync': [`${INSIDE}k,token,inst,sync,parts,part,gens,held,wants`],
  'owner wants': [
    `${INSIDE}k,token,inst,wants`,
    `${INSIDE}k,token,inst,wants(${WANT},near,patienceS,aimS,slackS,seen)`,
    `${INSIDE}k,token,inst,wants(${WANT},tasksLeft,near,patienceS,aimS,slackS,seen)`,
  ],
  ping: [
    `${AROUND}k,leader,token,okAgeMs,strays,mark,had(inst,mark),told,cover`,
    `${AROUND}k,leader,token,okAgeMs,strays,mark,had(inst,mark),told,cover(inst,mark,pending)`,
    `${AROUND}k,leader,token,okAgeMs,strays,mark,had,told,cover`,
  ],
  'scheduler evict': [`${INSIDE}k,token,tasks(job,idx,attempt),why`],
  'scheduler grants': [
    `${INSIDE}k,token,grants(id,job,team,machine,zone,season)`,
    `${INSIDE}k,token,grants(id,job,team,machine,zone,season,endedTasks)`,
  ],
  'scheduler mark': [`${INSIDE}k,token,at`],
  'scheduler resync': [`${INSIDE}k,token`],
  'scheduler seen': [
    `${INSIDE}k,token,seen(s,job,idx,attempt,machine)`,
    `${INSIDE}k,token,seen(s,job,idx,attempt,machine,phase,why,saved)`,
  ],
  'scheduler synced': [`${INSIDE}k,token,sync`],
};

test('messages between controllers have these fields in this order', () => {
  expect(fieldsSent()).toEqual(SENT);
});
