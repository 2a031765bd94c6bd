/** One running process of a deployment with a routes document. */
export interface RoutesProcess {
	open(): Promise<void>;
	/** Finishes what is in flight within the grace period, then closes everything. */
	stop(): Promise<void>;
	/** The settings file was changed. */
	reload(): void;
}
