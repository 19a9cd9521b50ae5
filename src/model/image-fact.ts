/** [machine, image, its size in GB] */
export type ImageFact = [string, string, number];
