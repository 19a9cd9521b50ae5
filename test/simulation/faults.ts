/** Faults drawn by a seed. */

import type { ClusterSimulation } from './cluster-simulation.js';
import { makeJobSpec } from './job-spec.js';
import type { CutMode } from './simulated-network.js';

type Link = [node: string, other: string];

/** One fault as it is drawn: how long it lasts, and the controller that it strikes if it strikes one. */
class DrawnFault {
  readonly cutMode: CutMode;
  readonly nodeName: string;
  readonly durationMs: number;
  readonly machines: string[];
  /** The nodes of the other controllers. */
  readonly peers: string[];

  constructor(
    readonly simulation: ClusterSimulation,
    until: number,
  ) {
    const { simulator, nodeNames, workers } = simulation;
    this.cutMode = simulator.pick(['hold', 'reset']);
    this.nodeName = simulator.pick(nodeNames);
    this.durationMs = Math.min(simulator.between(2000, 45000), Math.max(1000, until - simulator.now));
    this.machines = [...workers.keys()];
    this.peers = nodeNames.filter((other) => other !== this.nodeName);
  }

  /** Does something when the fault is over. */
  atEnd(run: () => void): void {
    this.simulation.simulator.scheduleAfter(this.durationMs, run);
  }

  cut(links: Link[]): void {
    const { network } = this.simulation;
    for (const [node, other] of links) network.cut(node, other, this.cutMode);
    this.atEnd(() => {
      for (const [node, other] of links) network.heal(node, other);
      if (this.cutMode === 'reset') this.reconnectPeers();
    });
  }

  cutController(others: string[]): void {
    this.cut(others.map((other) => [this.nodeName, other]));
  }

  private reconnectPeers(): void {
    const { nodeNames, controllers } = this.simulation;
    for (const nodeName of nodeNames)
      for (const other of nodeNames) {
        const process = controllers.get(nodeName);
        if (nodeName !== other && process?.isAlive)
          process.controller.push({ type: 'peerConnection', nodeName: other, isUp: true });
      }
  }
}

type Inject = (fault: DrawnFault) => void;

const crashController: Inject = ({ simulation: { controllers, simulator }, nodeName }) =>
  controllers.crash(nodeName, simulator.chance(0.3) ? simulator.between(50, 400) : 2500);

const crashAllControllers: Inject = ({ simulation: { controllers, simulator, nodeNames } }) => {
  for (const nodeName of nodeNames) controllers.crash(nodeName, simulator.between(100, 4000));
};

const rollingRestart: Inject = ({ simulation: { controllers, simulator, nodeNames } }) => {
  nodeNames.forEach((nodeName, index) => {
    simulator.scheduleAfter(index * 6000, () => controllers.crash(nodeName, 1500));
  });
};

/** Back at once, and gone again in the midst of the election. */
const crashDuringElection: Inject = ({ simulation: { controllers, simulator, nodeNames }, nodeName }) => {
  controllers.crash(nodeName, simulator.between(20, 200));
  simulator.scheduleAfter(simulator.between(200, 900), () =>
    controllers.crash(nodeName, simulator.between(20, 200)),
  );
  simulator.scheduleAfter(simulator.between(200, 3500), () =>
    controllers.crash(simulator.pick(nodeNames), simulator.between(20, 200)),
  );
};

const pauseController: Inject = ({ simulation: { controllers, simulator }, nodeName, durationMs }) =>
  controllers.pause(nodeName, Math.min(durationMs, simulator.between(1000, 30000)));

const cutFromStore: Inject = (fault) => fault.cutController(['state']);
const cutFromMachines: Inject = (fault) => fault.cutController(fault.machines);
const cutFromAll: Inject = (fault) =>
  fault.cutController([...fault.peers, ...fault.machines, 'state', 'cloud', 'users']);
const cutFromPeers: Inject = (fault) => fault.cutController(fault.peers);
const cutFromPeersAndStore: Inject = (fault) => fault.cutController([...fault.peers, 'state']);

const cutAllPeers: Inject = (fault) => {
  const { nodeNames } = fault.simulation;
  fault.cut(
    nodeNames.flatMap((node) =>
      nodeNames.filter((other) => node < other).map((other): Link => [node, other]),
    ),
  );
};

const cutMachine: Inject = (fault) => {
  const { simulator, nodeNames } = fault.simulation;
  if (fault.machines.length === 0) return;
  const machine = simulator.pick(fault.machines);
  fault.cut([...nodeNames, 'state'].map((node) => [node, machine]));
};

/** The controller with all machines of zone a on one side, everything else on the other. */
const cutZone: Inject = (fault) => {
  const workers = [...fault.simulation.workers.values()];
  const machinesIn = (zone: string) =>
    workers.filter((worker) => worker.zone === zone).map(({ name }) => name);
  const inside = [fault.nodeName, ...machinesIn('a')];
  const outside = [...fault.peers, ...machinesIn('b'), 'state', 'cloud', 'users'];
  fault.cut(inside.flatMap((node) => outside.map((other): Link => [node, other])));
};

const storeOutage: Inject = ({ simulation: { store, simulator }, durationMs }) => {
  store.setDown(true);
  simulator.scheduleAfter(Math.min(durationMs, 25000), () => store.setDown(false));
};

const refuseController: Inject = (fault) => {
  const { store } = fault.simulation;
  store.refusedNodes.add(fault.nodeName);
  fault.atEnd(() => store.readmit(fault.nodeName));
};

/** Refused alone, then an outage for all, with cancellations in between and questions meanwhile. */
const refuseControllerThenStoreOutage: Inject = ({ simulation, nodeName, durationMs }) => {
  const { store, simulator, users } = simulation;
  store.refusedNodes.add(nodeName);
  simulator.scheduleAfter(simulator.between(100, 900), () => users.cancelRunningJobs(3, 0));
  simulator.scheduleAfter(1000, () => store.setDown(true));
  simulator.scheduleAfter(Math.min(durationMs + 1000, 60000), () => {
    store.setDown(false);
    store.readmit(nodeName);
  });
};

const loseWatchHistory: Inject = ({ simulation: { store } }) => store.loseHistory();

const slowStore: Inject = (fault) => {
  const { slowdowns } = fault.simulation.network;
  slowdowns.set('state', 100);
  fault.atEnd(() => void slowdowns.delete('state'));
};

const delayWrites: Inject = (fault) => {
  const { simulation } = fault;
  simulation.lateWriteShare = simulation.simulator.between(0.05, 0.4);
  fault.atEnd(() => {
    simulation.lateWriteShare = 0;
  });
};

const loseAnswersOfWrites: Inject = (fault) => {
  const { simulation } = fault;
  simulation.lostAnswerShare = simulation.simulator.between(0.1, 0.6);
  fault.atEnd(() => {
    simulation.lostAnswerShare = 0;
  });
};

const duplicateMessages: Inject = (fault) => {
  const { simulation } = fault;
  simulation.duplicatesMessages = true;
  fault.atEnd(() => {
    simulation.duplicatesMessages = false;
  });
};

const hangMachine: Inject = ({ simulation: { simulator, workers }, machines, durationMs }) => {
  const worker = machines.length > 0 ? workers.get(simulator.pick(machines)) : null;
  if (!worker) return;
  worker.isHung = true;
  simulator.scheduleAfter(Math.min(durationMs, 15000), () => {
    worker.isHung = false;
  });
};

const reclaimSpotMachines: Inject = ({ simulation: { simulator, workers, machines } }) => {
  for (const [name, worker] of [...workers]) {
    if (!worker.isSpot || !simulator.chance(0.5)) continue;
    if (simulator.chance(0.5)) worker.evictionAt = simulator.now + 4000;
    simulator.scheduleAfter(worker.evictionAt ? 4000 : simulator.between(0, 3000), () =>
      machines.destroy(name),
    );
  }
};

const cloudOutage: Inject = (fault) => {
  const { cloud } = fault.simulation;
  cloud.isDown = true;
  fault.atEnd(() => {
    cloud.isDown = false;
  });
};

/** Some machines, now and then the whole fleet at once. */
function drawMachines({ simulation: { simulator }, machines }: DrawnFault, share: number): string[] {
  return simulator.chance(0.2) ? machines : machines.filter(() => simulator.chance(share));
}

/** Machines are heard, but nothing reaches them. */
const blockInbound: Inject = (fault) => {
  const { unreachableInbound } = fault.simulation.network;
  const machines = drawMachines(fault, 0.3);
  for (const machine of machines) unreachableInbound.add(machine);
  fault.atEnd(() => {
    for (const machine of machines) unreachableInbound.delete(machine);
  });
};

/** Machines are reached, but can't open connections. */
const blockOutbound: Inject = (fault) => {
  const { unreachableOutbound } = fault.simulation.network;
  const machines = drawMachines(fault, 0.4);
  for (const machine of machines) unreachableOutbound.add(machine);
  fault.atEnd(() => {
    for (const machine of machines) unreachableOutbound.delete(machine);
  });
};

const cancelRunningJobs: Inject = ({ simulation: { simulator, users } }) =>
  users.cancelRunningJobs(4, simulator.chance(0.5) ? simulator.between(5000, 25000) : 0);

const cancelAtCompletion: Inject = (fault) => {
  const { simulation } = fault;
  simulation.cancelsAtCompletion = true;
  fault.atEnd(() => {
    simulation.cancelsAtCompletion = false;
  });
};

const unusualRequests: Inject = ({ simulation: { simulator, users }, durationMs }) => {
  for (let sent = 0; sent < 6; sent++)
    simulator.scheduleAfter(simulator.between(0, durationMs), () => users.sendUnusualRequest());
};

/** One team gets more short work than its limit admits for a while. */
const overloadTeam: Inject = ({ simulation }) => {
  const { simulator, config, users } = simulation;
  const team = simulator.pick(config.teams).name;
  for (let submitted = 0; submitted < 8; submitted++)
    users.submitJob(
      makeJobSpec(simulation, { team, taskCount: 6, cpus: simulator.pick([1, 2, 4]), priority: 2 }),
    );
};

/** A fault is drawn by its index: a seed draws the same faults as long as their order stays. */
const FAULTS: readonly Inject[] = [
  crashController,
  crashAllControllers,
  rollingRestart,
  cutFromStore,
  cutFromMachines,
  cutFromAll,
  cutFromPeers,
  storeOutage,
  refuseController,
  cutMachine,
  hangMachine,
  reclaimSpotMachines,
  cloudOutage,
  loseWatchHistory,
  cutZone,
  duplicateMessages,
  blockInbound,
  cutFromPeersAndStore,
  cutAllPeers,
  slowStore,
  crashDuringElection,
  delayWrites,
  blockOutbound,
  pauseController,
  refuseControllerThenStoreOutage,
  cancelRunningJobs,
  cancelAtCompletion,
  unusualRequests,
  loseAnswersOfWrites,
  overloadTeam,
];

/** Injects a fault drawn by the seed; faults may overlap, and all are over by `until`, in simulated milliseconds. */
export function injectFault(simulation: ClusterSimulation, until: number): void {
  const fault = new DrawnFault(simulation, until);
  const inject = FAULTS[Math.floor(simulation.simulator.random() * FAULTS.length)]!;
  inject(fault);
}
