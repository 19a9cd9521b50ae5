/** What controllers tell one another of the images that machines hold. */

/** A machine holds an image of this size. */
export interface ImageLocation {
  machine: string;
  image: string;
  sizeGb: number;
}
