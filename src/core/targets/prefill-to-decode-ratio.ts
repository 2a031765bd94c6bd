/** Prefill time per prompt token relative to the decode time per output token, for targets that announce no prefill speed. */
export const prefillToDecodeRatio = 0.02;
