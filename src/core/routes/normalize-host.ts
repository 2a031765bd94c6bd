/** Host as routes name it: in lower case and without a port. */
export function normalizeHost(host: string): string {
	return host.toLowerCase().replace(/:\d+$/v, '');
}
