/** Checks the CPU quotas of teams against stored placements. */

import type { Transaction } from '../../src/model/key-value-store.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/**
 * Encoded form of a `PlacementEntry`: the attempt of a task and, until it is finalized, its machine, epoch
 * and zone.
 */
type EncodedPlacement =
  | [attempt: number]
  | [attempt: number, machine: string, workerEpoch: number, zone: string];
/** Encoded form of a `PlacementRecord`, `place/<job>/<chunk>`: placements by task index. */
interface EncodedPlacementRecord {
  t: Record<string, EncodedPlacement>;
}

/** Sums of decimal amounts are compared with this tolerance. */
const EPSILON = 1e-9;

/**
 * Checks each transaction when the store executes it, even if its response deadline has passed: the
 * placements that it adds and the tasks that occupy machines must together fit within the CPU quota of the
 * team. Tasks that still fetch their image do not count as occupying one. This detects a violation before any
 * of the added tasks has started.
 */
export class QuotaChecker {
  constructor(private readonly cluster: SimulatedCluster) {}

  /** Executes a transaction and checks the placements that it has added. */
  executeAndCheck<T extends { status: number }>(transaction: Transaction, execute: () => T): T {
    const placementOperations = transaction.operations.filter(
      (operation) => operation.type === 'put' && operation.key.startsWith('place/'),
    );
    const tasksByKey = new Map(placementOperations.map(({ key }) => [key, this.storedTasks(key)]));
    const response = execute();
    if (response.status === 200)
      for (const [key, previousTasks] of tasksByKey) this.checkChunk(key, previousTasks);
    return response;
  }

  private storedTasks(key: string): Record<string, EncodedPlacement> {
    const stored = this.cluster.store.records.get(key);
    return stored ? (JSON.parse(stored.value) as EncodedPlacementRecord).t : {};
  }

  private checkChunk(key: string, previousTasks: Record<string, EncodedPlacement>): void {
    const id = key.split('/')[1] ?? '';
    const spec = this.cluster.jobs.get(id)?.spec;
    const maxCpus = this.cluster.config.teams.find((team) => team.name === spec?.team)?.maxCpus ?? 0;
    if (!spec || maxCpus === 0) return;
    const addedTasks = Object.entries(this.storedTasks(key)).filter(
      ([index, placement]) => placement.length === 4 && placement[0] !== previousTasks[index]?.[0],
    );
    const usedCpus = this.occupiedCpus(spec.team) + addedTasks.length * spec.cpus;
    if (addedTasks.length > 0 && usedCpus > maxCpus + EPSILON)
      this.cluster.reportViolation(
        `quota: ${addedTasks.length} tasks of ${id} stored, ${spec.team} would use ${usedCpus} of ${maxCpus}`,
      );
  }

  private occupiedCpus(team: string): number {
    let cpus = 0;
    for (const worker of this.cluster.workers.values()) {
      for (const task of worker.tasks) {
        const spec = this.cluster.jobs.get(task.jobId)?.spec;
        if (worker.occupies(task) && spec?.team === team) cpus += spec.cpus;
      }
    }
    return cpus;
  }
}
