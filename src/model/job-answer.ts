/** Answers to users about their jobs. */

export type JobState = 'queued' | 'running' | 'done' | 'cancelled';

export type ApiAnswer =
  | { type: 'job'; created: boolean; state: JobState; done: number; running: number }
  | { type: 'notFound' }
  | { type: 'rejected'; reason: string }
  | { type: 'unavailable'; reason: string };
