/** The check of quotas on what is stored. */

import type { Transaction } from '../../src/model/key-value-store.js';
import type { SimulatedCluster } from './simulated-cluster.js';

/** `place/<id>/<chunk>` as stored: an attempt of a task by its index, with its machine, epoch and zone until it is settled. */
type StoredPlacement =
  | [attempt: number]
  | [attempt: number, machine: string, workerEpoch: number, zone: string];
interface StoredPlacements {
  t: Record<string, StoredPlacement>;
}

/** Sums of decimal amounts are compared with this tolerance. */
const EPSILON = 1e-9;

/**
 * Checks each transaction as it is carried out, at once or late: what it newly places must fit into the limits of the teams
 * beside all that their tasks take on machines. A fault is seen here before any of it has started.
 */
export class QuotaChecker {
  constructor(private readonly cluster: SimulatedCluster) {}

  /** Carries out a transaction, and looks at what it has placed. */
  checkTransaction<T extends { status: number }>(transaction: Transaction, carryOut: () => T): T {
    const records = transaction.operations.filter(
      (operation) => operation.type === 'put' && operation.key.startsWith('place/'),
    );
    const before = new Map(records.map(({ key }) => [key, this.tasksOf(key)]));
    const reply = carryOut();
    if (reply.status === 200) for (const [key, old] of before) this.check(key, old);
    return reply;
  }

  private tasksOf(key: string): Record<string, StoredPlacement> {
    const stored = this.cluster.store.records.get(key);
    return stored ? (JSON.parse(stored.value) as StoredPlacements).t : {};
  }

  private check(key: string, old: Record<string, StoredPlacement>): void {
    const id = key.split('/')[1] ?? '';
    const spec = this.cluster.jobs.get(id)?.spec;
    const limit = this.cluster.config.teams.find((team) => team.name === spec?.team)?.maxCpus ?? 0;
    if (!spec || limit === 0) return;
    const added = Object.entries(this.tasksOf(key)).filter(
      ([index, placed]) => placed.length === 4 && placed[0] !== old[index]?.[0],
    );
    const used = this.cpusOnMachines(spec.team) + added.length * spec.cpus;
    if (added.length > 0 && used > limit + EPSILON)
      this.cluster.reportViolation(
        `quota: ${added.length} tasks of ${id} stored, ${spec.team} would use ${used} of ${limit}`,
      );
  }

  private cpusOnMachines(team: string): number {
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
