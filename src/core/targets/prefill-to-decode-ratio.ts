/**
 * Prefill time per prompt token relative to the decode time per output token. Predictions use it for targets that announce
 * no prefill speed and for remote regions, `SpeedEstimate` for all targets.
 */
export const prefillToDecodeRatio = 0.02;
