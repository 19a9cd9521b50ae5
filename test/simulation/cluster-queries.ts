/** Helpers for tests that query a simulated cluster, advance its time or raise its fencing token. */

import type { ControllerComponents } from '../../src/controller/controller-components.js';
import type { ClusterSimulation } from './cluster-simulation.js';
import type { FakeWorker } from './fake-worker.js';

/** Whether the latest controller process of a node is the leader, or was when it crashed. */
export function isLeader(simulation: ClusterSimulation, nodeName: string): boolean {
  return simulation.controllers.get(nodeName)!.controller.status().scheduler !== null;
}

/** Name of the first node whose controller is the leader; empty if there is none. */
export function leaderOf(simulation: ClusterSimulation): string {
  return simulation.nodeNames.find((nodeName) => isLeader(simulation, nodeName)) ?? '';
}

/** Has the leader on a node elected again under a higher fencing token, however recent the last raise is. */
export function raiseFencingToken(simulation: ClusterSimulation, nodeName: string): void {
  const { controller } = simulation.controllers.get(nodeName)!;
  const { leadership, election } = (controller as unknown as { components: ControllerComponents }).components;
  (election as unknown as { nextTokenRaiseAt: number }).nextTokenRaiseAt = 0;
  election.raiseFencingToken(leadership.latestTermToken, 'a test');
}

/** Teams whose shards a node owns. */
export function teamsOwnedBy(simulation: ClusterSimulation, nodeName: string): string[] {
  return simulation.controllers.get(nodeName)!.controller.status().teams as string[];
}

/** Workers whose machines are occupied by tasks of a job. */
export function workersOfJob(simulation: ClusterSimulation, jobId: string): FakeWorker[] {
  return [...simulation.workers.values()].filter((worker) =>
    worker.tasks.some((task) => task.jobId === jobId && worker.occupies(task)),
  );
}

/**
 * Advances simulated time in steps of `stepMs` until the condition holds or `timeoutMs` have passed, and
 * returns whether the condition holds.
 */
export function runUntil(
  { simulator }: ClusterSimulation,
  { timeoutMs, stepMs }: { timeoutMs: number; stepMs: number },
  condition: () => boolean,
): boolean {
  const deadline = simulator.now + timeoutMs;
  while (!condition() && simulator.now < deadline) simulator.run(simulator.now + stepMs);
  return condition();
}

/** Advances simulated time by `durationMs`. */
export function runFor({ simulator }: ClusterSimulation, durationMs: number): void {
  simulator.run(simulator.now + durationMs);
}
