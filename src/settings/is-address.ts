import {isIPv4} from 'node:net';

const maxPort = 65_535;
const portPattern = /^\d{1,5}$/v;

/** True for an IPv4 address with a port, such as `10.0.0.1:7101`. */
export function isAddress(text: string): boolean {
	const [host = '', port = '', ...rest] = text.split(':');
	return rest.length === 0
		&& isIPv4(host)
		&& portPattern.test(port)
		&& Number(port) > 0
		&& Number(port) <= maxPort;
}
