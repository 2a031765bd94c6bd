/** One running process of a deployment with a routes document. */
export interface RoutesProcess {
	open(): Promise<void>;
	/** Completes requests in flight within the grace period, then closes all servers and connections. */
	stop(): Promise<void>;
	/** Called on SIGHUP, after the settings file has changed. */
	reload(): void;
}
