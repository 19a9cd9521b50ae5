/** Random faults of a simulated cluster, determined by the seed. */

import type { ClusterSimulation } from './cluster-simulation.js';
import { makeJobSpec } from './job-spec.js';
import type { CutMode } from './simulated-network.js';

type Link = [node: string, other: string];

/** Randomly chosen parameters of one fault; not every kind of fault uses all of them. */
class RandomFault {
  readonly cutMode: CutMode;
  /** Node of the controller that the fault affects. */
  readonly nodeName: string;
  readonly durationMs: number;
  readonly machines: string[];
  /** Nodes of the other controllers. */
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

  /** Calls back when the fault ends. */
  onEnd(callback: () => void): void {
    this.simulation.simulator.scheduleAfter(this.durationMs, callback);
  }

  /** Cuts links for the duration of the fault. */
  cut(links: Link[]): void {
    const { network } = this.simulation;
    for (const [node, other] of links) network.cut(node, other, this.cutMode);
    this.onEnd(() => {
      for (const [node, other] of links) network.heal(node, other);
      if (this.cutMode === 'reset') this.reconnectPeers();
    });
  }

  cutControllerFrom(others: string[]): void {
    this.cut(others.map((other) => [this.nodeName, other]));
  }

  /** Tells all live controllers that the connections between them have been established again. */
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

type FaultInjector = (fault: RandomFault) => void;

const crashController: FaultInjector = ({ simulation: { controllers, simulator }, nodeName }) =>
  controllers.crash(nodeName, simulator.chance(0.3) ? simulator.between(50, 400) : 2500);

const crashAllControllers: FaultInjector = ({ simulation: { controllers, simulator, nodeNames } }) => {
  for (const nodeName of nodeNames) controllers.crash(nodeName, simulator.between(100, 4000));
};

const rollingRestart: FaultInjector = ({ simulation: { controllers, simulator, nodeNames } }) => {
  nodeNames.forEach((nodeName, index) => {
    simulator.scheduleAfter(index * 6000, () => controllers.crash(nodeName, 1500));
  });
};

/** Crashes a controller that restarts within 200 ms, then it and a random one while a leader is elected. */
const crashDuringElection: FaultInjector = ({
  simulation: { controllers, simulator, nodeNames },
  nodeName,
}) => {
  controllers.crash(nodeName, simulator.between(20, 200));
  simulator.scheduleAfter(simulator.between(200, 900), () =>
    controllers.crash(nodeName, simulator.between(20, 200)),
  );
  simulator.scheduleAfter(simulator.between(200, 3500), () =>
    controllers.crash(simulator.pick(nodeNames), simulator.between(20, 200)),
  );
};

const pauseController: FaultInjector = ({ simulation: { controllers, simulator }, nodeName, durationMs }) =>
  controllers.pause(nodeName, Math.min(durationMs, simulator.between(1000, 30000)));

const cutFromStore: FaultInjector = (fault) => fault.cutControllerFrom(['state']);
const cutFromMachines: FaultInjector = (fault) => fault.cutControllerFrom(fault.machines);
const cutFromAll: FaultInjector = (fault) =>
  fault.cutControllerFrom([...fault.peers, ...fault.machines, 'state', 'cloud', 'users']);
const cutFromPeers: FaultInjector = (fault) => fault.cutControllerFrom(fault.peers);
const cutFromPeersAndStore: FaultInjector = (fault) => fault.cutControllerFrom([...fault.peers, 'state']);

const cutAllPeers: FaultInjector = (fault) => {
  const { nodeNames } = fault.simulation;
  fault.cut(
    nodeNames.flatMap((node) =>
      nodeNames.filter((other) => node < other).map((other): Link => [node, other]),
    ),
  );
};

const cutMachine: FaultInjector = (fault) => {
  const { simulator, nodeNames } = fault.simulation;
  if (fault.machines.length === 0) return;
  const machine = simulator.pick(fault.machines);
  fault.cut([...nodeNames, 'state'].map((node) => [node, machine]));
};

/**
 * Cuts one controller and the machines of zone a from the other controllers, the machines of zone b, the
 * store, the cloud and the users.
 */
const partitionZone: FaultInjector = (fault) => {
  const workers = [...fault.simulation.workers.values()];
  const machinesIn = (zone: string) =>
    workers.filter((worker) => worker.zone === zone).map(({ name }) => name);
  const inside = [fault.nodeName, ...machinesIn('a')];
  const outside = [...fault.peers, ...machinesIn('b'), 'state', 'cloud', 'users'];
  fault.cut(inside.flatMap((node) => outside.map((other): Link => [node, other])));
};

const storeOutage: FaultInjector = ({ simulation: { store, simulator }, durationMs }) => {
  store.setDown(true);
  simulator.scheduleAfter(Math.min(durationMs, 25000), () => store.setDown(false));
};

const refuseController: FaultInjector = (fault) => {
  const { store } = fault.simulation;
  store.refusedNodes.add(fault.nodeName);
  fault.onEnd(() => store.clearRefusal(fault.nodeName));
};

/**
 * The store refuses one controller, then all; users cancel jobs before the outage and poll them during it.
 */
const refuseControllerThenStoreOutage: FaultInjector = ({ simulation, nodeName, durationMs }) => {
  const { store, simulator, users } = simulation;
  store.refusedNodes.add(nodeName);
  simulator.scheduleAfter(simulator.between(100, 900), () => users.cancelRunningJobs(3, 0));
  simulator.scheduleAfter(1000, () => store.setDown(true));
  simulator.scheduleAfter(Math.min(durationMs + 1000, 60000), () => {
    store.setDown(false);
    store.clearRefusal(nodeName);
  });
};

const discardWatchHistory: FaultInjector = ({ simulation: { store } }) => store.discardHistory();

const slowStore: FaultInjector = (fault) => {
  const { slowdowns } = fault.simulation.network;
  slowdowns.set('state', 100);
  fault.onEnd(() => void slowdowns.delete('state'));
};

const delayWrites: FaultInjector = (fault) => {
  const { simulation } = fault;
  simulation.delayedWriteShare = simulation.simulator.between(0.05, 0.4);
  fault.onEnd(() => {
    simulation.delayedWriteShare = 0;
  });
};

const loseWriteResponses: FaultInjector = (fault) => {
  const { simulation } = fault;
  simulation.lostResponseShare = simulation.simulator.between(0.1, 0.6);
  fault.onEnd(() => {
    simulation.lostResponseShare = 0;
  });
};

const duplicateMessages: FaultInjector = (fault) => {
  const { simulation } = fault;
  simulation.duplicatesMessages = true;
  fault.onEnd(() => {
    simulation.duplicatesMessages = false;
  });
};

const hangMachine: FaultInjector = ({ simulation: { simulator, workers }, machines, durationMs }) => {
  const worker = machines.length > 0 ? workers.get(simulator.pick(machines)) : null;
  if (!worker) return;
  worker.isHung = true;
  simulator.scheduleAfter(Math.min(durationMs, 15000), () => {
    worker.isHung = false;
  });
};

const reclaimSpotMachines: FaultInjector = ({ simulation: { simulator, workers, machines } }) => {
  for (const [name, worker] of [...workers]) {
    if (!worker.isSpot || !simulator.chance(0.5)) continue;
    if (simulator.chance(0.5)) worker.evictionAt = simulator.now + 4000;
    simulator.scheduleAfter(worker.evictionAt ? 4000 : simulator.between(0, 3000), () =>
      machines.destroy(name),
    );
  }
};

const cloudOutage: FaultInjector = (fault) => {
  const { cloud } = fault.simulation;
  cloud.isDown = true;
  fault.onEnd(() => {
    cloud.isDown = false;
  });
};

/** Picks each machine with the given probability; in a fifth of the cases picks all. */
function pickMachines({ simulation: { simulator }, machines }: RandomFault, share: number): string[] {
  return simulator.chance(0.2) ? machines : machines.filter(() => simulator.chance(share));
}

/** Machines can send, but nothing reaches them. */
const blockInbound: FaultInjector = (fault) => {
  const { unreachableInbound } = fault.simulation.network;
  const machines = pickMachines(fault, 0.3);
  for (const machine of machines) unreachableInbound.add(machine);
  fault.onEnd(() => {
    for (const machine of machines) unreachableInbound.delete(machine);
  });
};

/** Machines can be reached, but can't open connections. */
const blockOutbound: FaultInjector = (fault) => {
  const { unreachableOutbound } = fault.simulation.network;
  const machines = pickMachines(fault, 0.4);
  for (const machine of machines) unreachableOutbound.add(machine);
  fault.onEnd(() => {
    for (const machine of machines) unreachableOutbound.delete(machine);
  });
};

const cancelRunningJobs: FaultInjector = ({ simulation: { simulator, users } }) =>
  users.cancelRunningJobs(4, simulator.chance(0.5) ? simulator.between(5000, 25000) : 0);

const cancelAtCompletion: FaultInjector = (fault) => {
  const { simulation } = fault;
  simulation.cancelsAtCompletion = true;
  fault.onEnd(() => {
    simulation.cancelsAtCompletion = false;
  });
};

const unusualRequests: FaultInjector = ({ simulation: { simulator, users }, durationMs }) => {
  for (let sent = 0; sent < 6; sent++)
    simulator.scheduleAfter(simulator.between(0, durationMs), () => users.sendUnusualRequest());
};

/** Submits more short jobs for one team than its quota admits at a time. */
const overloadTeam: FaultInjector = ({ simulation }) => {
  const { simulator, config, users } = simulation;
  const team = simulator.pick(config.teams).name;
  for (let submitted = 0; submitted < 8; submitted++)
    users.submitJob(
      makeJobSpec(simulation, { team, taskCount: 6, cpus: simulator.pick([1, 2, 4]), priority: 2 }),
    );
};

/** Kinds of faults, selected by a random index: changing their order changes the faults of every seed. */
const FAULT_INJECTORS: readonly FaultInjector[] = [
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
  discardWatchHistory,
  partitionZone,
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
  loseWriteResponses,
  overloadTeam,
];

/** Injects a random fault; faults may overlap. `until`, a simulated time, limits `RandomFault.durationMs`. */
export function injectFault(simulation: ClusterSimulation, until: number): void {
  const fault = new RandomFault(simulation, until);
  const inject = FAULT_INJECTORS[Math.floor(simulation.simulator.random() * FAULT_INJECTORS.length)]!;
  inject(fault);
}
