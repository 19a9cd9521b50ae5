/** How long work may wait: by its objective, by its class's objective on waiting, by its team's guarantee. */

import type { ResourceRequest } from '../../model/placement.js';
import type { ServiceLevelObjective } from '../../model/team.js';

/** Share of an objective kept in hand. */
export const OBJECTIVE_MARGIN_SHARE = 0.2;
/** Multiple of the estimated run that is set aside for it: estimates may be too low. */
const RUN_TIME_SAFETY_FACTOR = 1.75;
/** Share of an objective on waiting after which lower work is stopped for it. */
const PREEMPT_AFTER_SHARE = 0.25;
/** So long work without an objective on waiting leaves other work running, if it can wait at all. */
const MAX_PREEMPT_DELAY_SECONDS = 5;

/** Objectives on waiting of job classes, and on how soon a guarantee is to be had. */
export class WaitObjectives {
  private readonly secondsByClass = new Map<string, number>();
  private guaranteeSeconds = Number.POSITIVE_INFINITY;

  constructor(objectives: readonly ServiceLevelObjective[]) {
    for (const { kind, jobClass, withinSeconds } of objectives) {
      if (kind === 'wait')
        this.secondsByClass.set(jobClass, Math.min(withinSeconds, this.secondsOf(jobClass)));
      if (kind === 'guarantee') this.guaranteeSeconds = Math.min(this.guaranteeSeconds, withinSeconds);
    }
  }

  hasObjective(jobClass: string): boolean {
    return this.secondsByClass.has(jobClass);
  }

  /** How long work waits for places to come free by themselves before others are stopped for it. */
  preemptAfterMs(request: ResourceRequest, isWithinGuarantee: boolean): number {
    if (request.isService) return 0;
    const classSeconds = this.secondsOf(request.jobClass);
    const seconds = isWithinGuarantee ? Math.min(classSeconds, this.guaranteeSeconds) : classSeconds;
    if (Number.isFinite(seconds)) return seconds * 1000 * PREEMPT_AFTER_SHARE;
    return Math.min(MAX_PREEMPT_DELAY_SECONDS, request.maxWaitSeconds ?? 0) * 1000;
  }

  private secondsOf(jobClass: string): number {
    return this.secondsByClass.get(jobClass) ?? Number.POSITIVE_INFINITY;
  }
}

/** Slack less the run, with a margin, and less the fetch of its image; null: its objective sets no limit. */
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
