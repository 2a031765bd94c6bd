/**
 * Prefill time per prompt token relative to the decode time per output token. Predictions use it for remote regions and
 * for targets that announce no prefill speed; `SpeedEstimate` uses it for every target.
 */
export const prefillToDecodeRatio = 0.02;
