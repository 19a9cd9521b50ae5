/** How long requests may wait, by job objective, wait-time objective of the class and guaranteed share. */

import type { ResourceRequest } from '../../model/placement.js';
import type { ServiceLevelObjective } from '../../model/team.js';

/** Share of an objective that is kept as a safety margin. */
export const OBJECTIVE_MARGIN_SHARE = 0.2;
/** Multiple of the estimated run time that is allowed for the run of a task: estimates may be too low. */
const RUN_TIME_SAFETY_FACTOR = 1.75;
/** Share of a wait-time or guarantee objective after which a waiting request preempts other tasks. */
const PREEMPT_AFTER_SHARE = 0.25;
/**
 * A request to which neither a wait-time nor a guarantee objective applies waits for this time, or for
 * `maxWaitSeconds` if that is shorter, before it preempts other tasks; it does not wait if that is null.
 */
const DEFAULT_MAX_PREEMPT_DELAY_SECONDS = 5;

/** Wait-time objectives of job classes, and the objective on how soon teams get their guaranteed share. */
export class WaitObjectives {
  /** The shortest wait-time objective of each job class. */
  private readonly secondsByClass = new Map<string, number>();
  /** The shortest objective on how soon a team gets its guaranteed share. */
  private guaranteeSeconds = Number.POSITIVE_INFINITY;

  constructor(objectives: readonly ServiceLevelObjective[]) {
    for (const { kind, jobClass, withinSeconds } of objectives) {
      if (kind === 'wait')
        this.secondsByClass.set(jobClass, Math.min(withinSeconds, this.secondsOf(jobClass)));
      if (kind === 'guarantee') this.guaranteeSeconds = Math.min(this.guaranteeSeconds, withinSeconds);
    }
  }

  /** Whether the job class has a wait-time objective. */
  hasObjective(jobClass: string): boolean {
    return this.secondsByClass.has(jobClass);
  }

  /** How long a request waits for slots to become free before other tasks are preempted; 0 for services. */
  preemptAfterMs(request: ResourceRequest, isWithinGuarantee: boolean): number {
    if (request.isService) return 0;
    const classSeconds = this.secondsOf(request.jobClass);
    const seconds = isWithinGuarantee ? Math.min(classSeconds, this.guaranteeSeconds) : classSeconds;
    if (Number.isFinite(seconds)) return seconds * 1000 * PREEMPT_AFTER_SHARE;
    return Math.min(DEFAULT_MAX_PREEMPT_DELAY_SECONDS, request.maxWaitSeconds ?? 0) * 1000;
  }

  private secondsOf(jobClass: string): number {
    return this.secondsByClass.get(jobClass) ?? Number.POSITIVE_INFINITY;
  }
}

/**
 * How long a request can wait without putting its objective at risk: its slack, less a safety margin, the run
 * time and the image fetch. Null for services, for gangs, and if no objective limits the wait.
 */
export function maxWaitSeconds(request: ResourceRequest, imageFetchSeconds: number): number | null {
  if (request.slackSeconds === null || request.isService || request.isGang) return null;
  return Math.max(
    0,
    request.slackSeconds -
      (request.objectiveSeconds ?? 0) * OBJECTIVE_MARGIN_SHARE -
      RUN_TIME_SAFETY_FACTOR * request.estimatedRunSeconds -
      imageFetchSeconds,
  );
}
