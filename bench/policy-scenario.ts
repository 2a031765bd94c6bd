/** One scenario of the policy bench. */
export type PolicyScenario = {
	readonly name: 'steady' | 'slow-engine' | 'half-region' | 'returning-region';
	/** Offered load as a share of the total capacity of the engines. */
	readonly loadShare: number;
};
