/** Cloud and workers as the decision code sees them: their answers come through the command queue. */

import type { CloudProvider } from '../model/cloud-provider.js';
import type { WorkerCommandPort } from '../model/worker-command-port.js';
import type { EventQueue } from './event-queue.js';

/** The cloud, with answers that run as commands. */
export function queuedCloud(cloud: CloudProvider, queue: EventQueue): CloudProvider {
  return {
    listMachineTypes: (callback) => cloud.listMachineTypes(queue.asEvent(callback)),
    rentMachines: (request, callback) => cloud.rentMachines(request, queue.asEvent(callback)),
    deleteMachines: (names, callback) => cloud.deleteMachines(names, queue.asEvent(callback)),
    listMachines: (since, callback) => cloud.listMachines(since, queue.asEvent(callback)),
  };
}

/** Direct commands to workers, with answers that run as commands. */
export function queuedWorkers(workers: WorkerCommandPort, queue: EventQueue): WorkerCommandPort {
  return {
    sendCommands: (address, batch, callback) => workers.sendCommands(address, batch, queue.asEvent(callback)),
  };
}
