import {hash32} from '../common/hash32.ts';
import type {ServiceName} from '../ids/service-name.ts';
import {OrganisationTable} from '../organisations/organisation-table.ts';
import {normalizeHost} from './normalize-host.ts';
import type {RouteRule} from './route-rule.ts';
import type {RoutesDocument} from './routes-document.ts';
import type {ServiceSpec} from './service-spec.ts';

/** Number of values of the 32-bit hash that picks a service. */
const hashRange = 4_294_967_296;

/** A routes document indexed for lookups. */
export class RouteTable {
	readonly organisations: OrganisationTable;
	readonly #document: RoutesDocument;
	// eslint-disable-next-line no-restricted-syntax -- by host of the document
	readonly #byHost = new Map<string, RouteRule[]>();
	readonly #services = new Map<ServiceName, ServiceSpec>();

	constructor(document: RoutesDocument) {
		this.#document = document;
		this.organisations = new OrganisationTable(document.organisations);
		for (const route of document.routes) {
			const host = route.host.toLowerCase();
			const routes = this.#byHost.get(host) ?? [];
			routes.push(route);
			this.#byHost.set(host, routes);
		}

		for (const routes of this.#byHost.values()) {
			routes.sort((left, right) => right.prefix.length - left.prefix.length);
		}

		for (const service of document.services) {
			this.#services.set(service.name, service);
		}
	}

	get document(): RoutesDocument {
		return this.#document;
	}

	get version(): number {
		return this.#document.version;
	}

	/** Route of the host with the longest prefix of the path; a port in the host and a query in the path are ignored. */
	match(host: string, path: string): RouteRule | undefined {
		const [pathname = ''] = path.split('?', 1);
		return this.#byHost.get(normalizeHost(host))?.find(({prefix}) => pathname.startsWith(prefix));
	}

	service(name: ServiceName): ServiceSpec | undefined {
		return this.#services.get(name);
	}

	/** Picks the service for a request by hashing its key: every entry picks the same one, and over many requests the shares follow the weights of the split. */
	pickService(route: RouteRule, requestKey: string): ServiceName {
		const total = route.split.reduce((sum, {weight}) => sum + weight, 0);
		let remaining = hash32(requestKey) / hashRange * total;
		for (const {service, weight} of route.split) {
			remaining -= weight;
			if (remaining < 0) {
				return service;
			}
		}

		return route.split.findLast(({weight}) => weight > 0)!.service;
	}
}
