/** Cloud and workers as the decision code sees them: their answers come through the command queue. */

import type { CloudProvider } from '../model/cloud-provider.js';
import type { WorkerCommandPort } from '../model/worker-command-port.js';
import type { CommandQueue } from './command-queue.js';

/** The cloud, with answers that run as commands. */
export function queuedCloud(cloud: CloudProvider, queue: CommandQueue): CloudProvider {
  return {
    listMachineTypes: (callback) => cloud.listMachineTypes(queue.enqueued(callback)),
    rentMachines: (request, callback) => cloud.rentMachines(request, queue.enqueued(callback)),
    deleteMachines: (names, callback) => cloud.deleteMachines(names, queue.enqueued(callback)),
    listMachines: (since, callback) => cloud.listMachines(since, queue.enqueued(callback)),
  };
}

/** Direct commands to workers, with answers that run as commands. */
export function queuedWorkers(workers: WorkerCommandPort, queue: CommandQueue): WorkerCommandPort {
  return {
    sendCommands: (address, batch, callback) =>
      workers.sendCommands(address, batch, queue.enqueued(callback)),
  };
}
