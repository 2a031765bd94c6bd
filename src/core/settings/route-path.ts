/** Path of a route in the settings tree. */
export type RoutePath = {
	readonly firm: string;
	readonly deployment: string;
	readonly service: string;
	readonly route: string;
};
