/** The locations of container images, which controllers exchange. */

/** An image in a machine's cache, with its size. */
export interface ImageLocation {
  machine: string;
  image: string;
  sizeGb: number;
}
