/** Parts of the window by which use is reported. */
export const partsOfUse = 32;
