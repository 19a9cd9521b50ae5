import { Unpackr } from 'msgpackr';
import { expect, test } from 'vitest';
import { ClusterSimulation } from '../simulation/cluster-simulation.js';
import { makeJobSpec } from '../simulation/job-spec.js';
import { encode } from './peer-codec.js';

type Fields = Record<string, unknown>;

/** Lists the names of the fields in order, with the fields of some nested objects in parentheses. */
function describeFields(message: Fields): string {
  const expandedFields = ['held', 'wants', 'grants', 'seen', 'tasks', 'had', 'cover'];
  return Object.entries(message)
    .map(([name, value]) => {
      const sample = Array.isArray(value) ? value.at(-1) : value;
      if (!expandedFields.includes(name) || typeof sample !== 'object' || sample === null) return name;
      return `${name}(${describeFields(sample as Fields)})`;
    })
    .join();
}

/** Runs a cluster with jobs of each kind. Returns the distinct field lists of each kind of peer message. */
function collectSentFields(): Record<string, string[]> {
  const simulation = new ClusterSimulation(7);
  const fieldsByKind = new Map<string, Set<string>>();
  for (const { controller } of simulation.controllers.processes.values()) {
    const push = controller.push.bind(controller);
    controller.push = (command) => {
      if (command.type === 'peerMessage') {
        const { body, ...envelope } = new Unpackr().unpack(encode(command.message));
        const message = body.m ?? body;
        const kind = body.m ? `${body.k} ${message.k}` : body.k;
        const fields = fieldsByKind.get(kind) ?? new Set();
        fields.add(
          `${Object.keys(envelope)}:${body.m ? `${Object.keys(body)}:` : ''}${describeFields(message)}`,
        );
        fieldsByKind.set(kind, fields);
      }
      push(command);
    };
  }
  const base = { taskCount: 6, checkpointIntervalSeconds: 1, checkpointSaveSeconds: 1 };
  for (let index = 0; index < 4; index++) {
    simulation.users.submitJob(
      makeJobSpec(simulation, { ...base, priority: 3, machineTypes: ['small'], estimatedRunSeconds: 300 }),
    );
    simulation.users.submitJob(makeJobSpec(simulation, { ...base, kind: 'gang', priority: 2, team: 'blue' }));
    simulation.users.submitJob(
      makeJobSpec(simulation, {
        ...base,
        kind: 'service',
        priority: 0,
        zoneAntiAffinity: true,
        team: 'free',
        spotAllowed: false,
      }),
    );
  }
  simulation.simulator.run(20000);
  const [array, gang, service] = [...simulation.jobs.keys()];
  simulation.failingJobs.add(array!);
  simulation.users.cancelJob(gang!);
  simulation.users.cancelJob(service!);
  simulation.simulator.run(25000);
  for (const machine of [...simulation.workers.keys()].slice(0, 2)) simulation.machines.destroy(machine);
  for (let index = 0; index < 4; index++)
    simulation.users.submitJob(makeJobSpec(simulation, { ...base, priority: 1, cpus: 4 }));
  simulation.simulator.run(50000);
  return Object.fromEntries([...fieldsByKind].sort().map(([kind, fields]) => [kind, [...fields].sort()]));
}

const ENVELOPE = 'host,inst,seq:';
const RECIPIENT_ENVELOPE = 'host,inst,seq:k,to,m:';
const PLACEMENT_FIELDS =
  'job,idx,attempt,machine,season,want,graceS,team,rank,gang,service,cpus,gpus,mem,image,imageGb,estimateS,types,spread,grant';
const REQUEST_FIELDS =
  'job,team,cls,rank,order,stage,count,whole,service,cpus,gpus,mem,image,imageGb,estimateS,types,spot,zone,zoneRoom,zoneCap,together,avoid';
const EXPECTED_FIELDS: Record<string, string[]> = {
  cancelled: [`${ENVELOPE}k,job,n`],
  images: [`${ENVELOPE}k,add,gone`],
  'owner covered': [`${RECIPIENT_ENVELOPE}k,token,inst,sync,n,gens,mark`],
  'owner drop': [`${RECIPIENT_ENVELOPE}k,token,inst,tasks(machine,key),grants`],
  'owner held': [`${RECIPIENT_ENVELOPE}k,token,inst,held(${PLACEMENT_FIELDS})`],
  'owner sync': [`${RECIPIENT_ENVELOPE}k,token,inst,sync,parts,part,gens,held,wants`],
  'owner wants': [
    `${RECIPIENT_ENVELOPE}k,token,inst,wants`,
    `${RECIPIENT_ENVELOPE}k,token,inst,wants(${REQUEST_FIELDS},near,patienceS,aimS,slackS,seen)`,
    `${RECIPIENT_ENVELOPE}k,token,inst,wants(${REQUEST_FIELDS},tasksLeft,near,patienceS,aimS,slackS,seen)`,
  ],
  ping: [
    `${ENVELOPE}k,leader,token,okAgeMs,strays,mark,had(inst,mark),told,cover`,
    `${ENVELOPE}k,leader,token,okAgeMs,strays,mark,had(inst,mark),told,cover(inst,mark,pending)`,
    `${ENVELOPE}k,leader,token,okAgeMs,strays,mark,had,told,cover`,
  ],
  'scheduler evict': [`${RECIPIENT_ENVELOPE}k,token,tasks(job,idx,attempt),why`],
  'scheduler grants': [
    `${RECIPIENT_ENVELOPE}k,token,grants(id,job,team,machine,zone,season)`,
    `${RECIPIENT_ENVELOPE}k,token,grants(id,job,team,machine,zone,season,endedTasks)`,
  ],
  'scheduler mark': [`${RECIPIENT_ENVELOPE}k,token,at`],
  'scheduler resync': [`${RECIPIENT_ENVELOPE}k,token`],
  'scheduler seen': [
    `${RECIPIENT_ENVELOPE}k,token,seen(s,job,idx,attempt,machine)`,
    `${RECIPIENT_ENVELOPE}k,token,seen(s,job,idx,attempt,machine,phase,why,saved)`,
  ],
  'scheduler synced': [`${RECIPIENT_ENVELOPE}k,token,sync`],
};

test('messages between controllers have the expected fields in the expected order', () => {
  expect(collectSentFields()).toEqual(EXPECTED_FIELDS);
});
