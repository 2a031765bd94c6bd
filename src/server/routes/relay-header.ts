import type {LeavingTarget} from '../../core/edge/leaving-target.ts';
import type {EdgeRefusal} from '../../core/edge/edge-refusal.ts';
import type {EdgeRequest} from '../../core/edge/edge-request.ts';
import type {BegunStream} from '../../core/control/begun-stream.ts';
import type {OrganisationId} from '../../core/ids/organisation-id.ts';
import type {ServiceName} from '../../core/ids/service-name.ts';
import {toId} from '../../core/ids/to-id.ts';
import {decodeHeaderText} from './decode-header-text.ts';

type RelayedRequest = NonNullable<EdgeRequest['forwarded']>;

/** Header of a forwarded request: region of the forwarding entry, version of its routes document, service that it chose and, for a stream that has begun, its software version. */
const name = 'lovageferry-relayed';
/** Header of a forwarded request: the organisation whose request it is. A field at the end of `name` would not do: builds before it take the fourth field of a request without an origin for a software version. */
const organisationName = 'lovageferry-organisation';
/** Header of a forwarded request: `1` if it may run more than once by the document of the forwarding entry; absent otherwise, and from builds before it. */
const idempotentName = 'lovageferry-idempotent';
const idempotentMark = '1';
/** Header of an answer: the entry of the remote region refused the request, which has not run there. */
const refusedName = 'lovageferry-refused';
/** Follows the reason in that header if a target got the request and turned it away. */
const reachedTargetMark = 'reached-target';

/** Header of an answer: software version of the target that answers. */
const softwareVersionName = 'lovageferry-software-version';

/** Header of an answer: id and start of the target that answers, if it says that it leaves. */
const leavingTargetName = 'lovageferry-leaving-target';

/** Headers that entries add to requests and answers between regions. */
export const relayHeader = {
	name,
	organisationName,
	idempotentName,
	refusedName,
	softwareVersionName,
	leavingTargetName,
	/** Interim status, 102 Processing, by which an entry tells the one that forwarded a call that a target works on it: the head of the answer is sent with the whole answer. */
	workingStatus: 102,
	/** Formats the value of the header `refusedName`. */
	writeRefusal({reason, reachedTarget}: Pick<EdgeRefusal, 'reason' | 'reachedTarget'>): string {
		return reachedTarget ? `${reason};${reachedTargetMark}` : reason;
	},
	/** True if the value of the header `refusedName` says that a target got the request. */
	readReachedTarget(value: string | undefined): boolean {
		return value?.split(';').includes(reachedTargetMark) ?? false;
	},
	/** Formats the value of the header `leavingTargetName`. */
	writeLeavingTarget({targetId, born}: LeavingTarget): string {
		return `${encodeURIComponent(targetId)};${born}`;
	},
	/** Parses the value of the header `leavingTargetName`; undefined if it is missing or malformed. */
	readLeavingTarget(value: string | undefined): LeavingTarget | undefined {
		const [targetId, start] = value?.split(';') ?? [];
		const born = Number(start);
		return targetId && start && Number.isSafeInteger(born) ? {targetId: toId(decodeHeaderText(targetId)), born} : undefined;
	},
	/** Formats the value of the header `organisationName`. */
	writeOrganisation(organisation: OrganisationId): string {
		return encodeURIComponent(organisation);
	},
	/** Parses the value of the header `organisationName`; undefined if it is missing. */
	readOrganisation(value: string | string[] | undefined): OrganisationId | undefined {
		return typeof value === 'string' && value !== '' ? toId<OrganisationId>(decodeHeaderText(value)) : undefined;
	},
	/** The value of the header `idempotentName`. */
	writeIdempotent(): string {
		return idempotentMark;
	},
	/** True if the value of the header `idempotentName` says that the request may run more than once; undefined if it says nothing. */
	readIdempotent(value: string | string[] | undefined): true | undefined {
		return value === idempotentMark ? true : undefined;
	},
	/** Formats the value of the header `name`. */
	write({region, documentVersion, service, origin}: RelayedRequest): string {
		const optional = [service ?? origin?.service, origin?.softwareVersion].filter(value => value !== undefined);
		return [region, documentVersion, ...optional.map(value => encodeURIComponent(value))].join(';');
	},
	/** Parses the value of the header `name`; undefined if it is missing or malformed. */
	read(value: string | string[] | undefined): RelayedRequest | undefined {
		const [region, version, service, softwareVersion] = typeof value === 'string' ? value.split(';') : [];
		const documentVersion = Number(version);
		return region && Number.isSafeInteger(documentVersion)
			? {
				region: toId(region), documentVersion, service: service === undefined ? undefined : toId<ServiceName>(decodeHeaderText(service)), origin: readOrigin(service, softwareVersion),
			}
			: undefined;
	},
} as const;

function readOrigin(service: string | undefined, softwareVersion: string | undefined): BegunStream | undefined {
	return service === undefined || softwareVersion === undefined
		? undefined
		: {service: toId(decodeHeaderText(service)), softwareVersion: toId(decodeHeaderText(softwareVersion))};
}
