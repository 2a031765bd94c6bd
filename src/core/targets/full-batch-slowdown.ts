/** Extra time per output token in a full batch, relative to the time per token of a single request. */
export const fullBatchSlowdown = 1;
