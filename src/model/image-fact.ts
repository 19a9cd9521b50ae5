/** What controllers tell one another of the images that machines hold. */

/** A machine holds an image of this size. */
export interface ImageFact {
  machine: string;
  image: string;
  sizeGb: number;
}
