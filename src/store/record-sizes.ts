/** Limits on the size of records, derived from the largest value that the key-value store accepts. */

/**
 * Maximum number of tasks per placement record, whatever the maximum value size: each change to one placement
 * rewrites the whole record.
 */
const MAX_TASKS_PER_CHUNK = 128;
const BYTES_PER_PLACEMENT = 64;
/**
 * Bytes of a counter record planned per task of the release window, which limits how far the released tasks
 * of a job run ahead of its first unfinished one. A run of the completion bitmap takes about four bytes and
 * covers at least two tasks.
 */
const BYTES_PER_WINDOW_TASK = 4;
const MIN_RELEASE_WINDOW = 64;

/**
 * Returns the number of tasks per placement record, so that the placements of all of them fit into one value
 * of the key-value store, which limits the size of values.
 */
export function tasksPerChunk(maxValueKb: number): number {
  return Math.max(1, Math.min(MAX_TASKS_PER_CHUNK, Math.floor((maxValueKb * 1024) / BYTES_PER_PLACEMENT)));
}

/**
 * Returns the release window: how far the released tasks of a job may run ahead of its first unfinished one.
 * This bounds the number of runs in a counter record, whatever the order in which tasks finish.
 */
export function releaseWindow(maxValueKb: number): number {
  return Math.max(MIN_RELEASE_WINDOW, Math.floor((maxValueKb * 1024) / BYTES_PER_WINDOW_TASK));
}
