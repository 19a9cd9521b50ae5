/** How much of a job fits into one record, by the largest value that the key-value store takes. */

/** Tasks to a placement record at most, whatever the size of a value: each change of one writes them all. */
const MAX_TASKS_PER_CHUNK = 128;
const PLACEMENT_BYTES = 64;
/** A run of the completion bitmap takes four bytes or so and holds at least two tasks. */
const RELEASE_WINDOW_BYTES = 4;
const MIN_RELEASE_WINDOW = 64;

/** Tasks to a placement record: all of them must fit in a value. */
export function tasksPerChunk(maxValueKb: number): number {
  return Math.max(1, Math.min(MAX_TASKS_PER_CHUNK, Math.floor((maxValueKb * 1024) / PLACEMENT_BYTES)));
}

/**
 * How far release may run ahead of the first task not yet counted. It bounds the runs of a counter record, whatever the
 * order in which tasks end.
 */
export function releaseWindow(maxValueKb: number): number {
  return Math.max(MIN_RELEASE_WINDOW, Math.floor((maxValueKb * 1024) / RELEASE_WINDOW_BYTES));
}
