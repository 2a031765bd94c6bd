/** How much longer a token takes in a full batch than alone, as a share of the time alone. */
export const fullBatchSlowdown = 1;
