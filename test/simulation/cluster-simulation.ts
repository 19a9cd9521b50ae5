/** A whole cluster in simulated time: real controllers, fakes for all else, and checks after each event. */

import { CLUSTER_CONFIG, type ClusterConfig } from './cluster-config.js';
import { FakeCloud } from './fake-cloud.js';
import { InvariantChecker } from './invariant-checker.js';
import { QuotaChecker } from './quota-checker.js';
import { SimulatedCluster } from './simulated-cluster.js';
import { SimulatedControllers } from './simulated-controllers.js';
import { SimulatedMachines } from './simulated-machines.js';
import { SimulatedUsers } from './simulated-users.js';
import { StarvationChecker } from './starvation-checker.js';

/** A cluster in simulated time. Its invariants are checked against the state of the fakes. */
export class ClusterSimulation extends SimulatedCluster {
  readonly cloud: FakeCloud;
  readonly controllers: SimulatedControllers;
  readonly users: SimulatedUsers;
  readonly machines: SimulatedMachines;

  constructor(seed: number, config: ClusterConfig = CLUSTER_CONFIG) {
    super(seed, config);
    this.cloud = new FakeCloud({
      simulator: this.simulator,
      network: this.network,
      config,
      onMachineStarted: (machine) => void this.machines.start(machine.name, machine),
      onMachineDeleted: (name) => this.machines.destroy(name),
      onFaultyMachine: (name) => {
        if (this.bootsFaultyMachines) this.faultyMachines.add(name);
      },
    });
    this.controllers = new SimulatedControllers(this, this.cloud, new QuotaChecker(this));
    this.users = new SimulatedUsers(this, this.controllers);
    this.machines = new SimulatedMachines({
      cluster: this,
      cloud: this.cloud,
      controllers: this.controllers,
      cancelJob: (id) => this.users.cancelJob(id),
    });
    const invariants = new InvariantChecker(this);
    this.simulator.afterEvent = () => invariants.check();
    for (const nodeName of this.nodeNames) this.controllers.start(nodeName);
    this.cloud.takeSnapshots();
    new StarvationChecker(this).start();
  }

  /** Groups of jobs of which too few were served; failing and cancelled jobs don't count. */
  underservedGroups(): string[] {
    return this.serviceLevel.underservedGroups(
      (id) => this.failingJobs.has(id) || this.jobs.get(id)?.cancelRequested === true,
    );
  }

  /** Ids of the jobs that users have not seen end, except services and jobs that fail on every machine. */
  unfinishedJobs(): string[] {
    return [...this.jobs.values()]
      .filter(
        (job) =>
          job.spec.kind !== 'service' &&
          !this.failingJobs.has(job.spec.id) &&
          job.reportedState !== 'done' &&
          job.reportedState !== 'cancelled',
      )
      .map((job) => job.spec.id);
  }
}
