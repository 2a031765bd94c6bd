/** Parameters that differ between the two deployments that the demo can start. */
export type DemoPlan = {
	readonly firm: string;
	readonly deployment: string;
	/** Folder of the example settings. */
	readonly examples: string;
	/** Node names in the order of the ports in their settings files. */
	readonly nodes: readonly string[];
	readonly engine: {readonly service: string; readonly model: string; readonly zones: readonly string[]; readonly prompt: string};
	/** `onceRoute` is a route with calls that must not run twice, `boundRoute` one with requests that must stay in `boundRegion`. */
	readonly plainService: {readonly service: string; readonly zones: readonly string[]; readonly onceRoute: string; readonly boundRoute: string};
	/** Region that requests of `boundRoute` must not leave; its plain services are stopped to show the refusal. */
	readonly boundRegion: string;
};
