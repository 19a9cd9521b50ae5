/** Questions that tests ask about a simulated cluster, and running it until something holds. */

import type { ClusterSimulation } from './cluster-simulation.js';
import type { FakeWorker } from './fake-worker.js';

/** Whether the newest process of a node leads, or led when it crashed. */
export function isLeader(simulation: ClusterSimulation, nodeName: string): boolean {
  return simulation.controllers.get(nodeName)!.controller.status().scheduler !== null;
}

/** The first node that leads; empty if none does. */
export function leaderOf(simulation: ClusterSimulation): string {
  return simulation.nodeNames.find((nodeName) => isLeader(simulation, nodeName)) ?? '';
}

/** The teams whose shards a node owns. */
export function teamsOwnedBy(simulation: ClusterSimulation, nodeName: string): string[] {
  return simulation.controllers.get(nodeName)!.controller.status().teams as string[];
}

/** The machines on which tasks of a job are. */
export function workersWith(simulation: ClusterSimulation, jobId: string): FakeWorker[] {
  return [...simulation.workers.values()].filter((worker) =>
    worker.tasks.some((task) => task.jobId === jobId && worker.occupies(task)),
  );
}

/** Runs until something holds, for so long at most; returns whether it does. */
export function runUntil(
  { simulator }: ClusterSimulation,
  { withinMs, stepMs }: { withinMs: number; stepMs: number },
  holds: () => boolean,
): boolean {
  const end = simulator.now + withinMs;
  while (!holds() && simulator.now < end) simulator.run(simulator.now + stepMs);
  return holds();
}

/** Runs on for so long. */
export function runFor({ simulator }: ClusterSimulation, durationMs: number): void {
  simulator.run(simulator.now + durationMs);
}
