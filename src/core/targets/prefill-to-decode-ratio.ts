/** Prefill time of one prompt token relative to the time of one output token, where a target announces none. */
export const prefillToDecodeRatio = 0.02;
