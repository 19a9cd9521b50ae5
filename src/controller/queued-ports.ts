/** Wrappers of the cloud and worker interfaces that deliver results through the event queue. */

import type { CloudProvider } from '../model/cloud-provider.js';
import type { WorkerCommandPort } from '../model/worker-command-port.js';
import type { EventQueue } from './event-queue.js';

/** Wraps a cloud provider so that its results are handled as events. */
export function queuedCloud(cloud: CloudProvider, queue: EventQueue): CloudProvider {
  return {
    listMachineTypes: (callback) => cloud.listMachineTypes(queue.asEvent(callback)),
    rentMachines: (request, callback) => cloud.rentMachines(request, queue.asEvent(callback)),
    deleteMachines: (names, callback) => cloud.deleteMachines(names, queue.asEvent(callback)),
    listMachines: (afterName, callback) => cloud.listMachines(afterName, queue.asEvent(callback)),
  };
}

/** Wraps the sending of direct commands to workers so that the results are handled as events. */
export function queuedWorkers(workers: WorkerCommandPort, queue: EventQueue): WorkerCommandPort {
  return {
    sendCommands: (address, batch, callback) => workers.sendCommands(address, batch, queue.asEvent(callback)),
  };
}
