import test from 'ava';
import type {Region} from '../../../src/core/ids/region.ts';
import type {ServiceName} from '../../../src/core/ids/service-name.ts';
import type {SoftwareVersion} from '../../../src/core/ids/software-version.ts';
import type {TargetId} from '../../../src/core/ids/target-id.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {relayHeader} from '../../../src/server/routes/relay-header.ts';

test('a forwarded request is read as it was written, whatever its service and software version', t => {
	const service = toId<ServiceName>('print;desk');
	for (const softwareVersion of [undefined, '', 'v1.1', 'a;b %', 'ü']) {
		const relayed = {
			region: toId<Region>('regina'),
			documentVersion: 7,
			service,
			origin: softwareVersion === undefined ? undefined : {service, softwareVersion: toId<SoftwareVersion>(softwareVersion)},
		};
		t.deepEqual(relayHeader.read(relayHeader.write(relayed)), relayed);
	}
});

test('a forwarded request of a build that does not name the service is read without one', t => {
	t.deepEqual(relayHeader.read('regina;7'), {
		region: toId<Region>('regina'), documentVersion: 7, service: undefined, origin: undefined,
	});
});

test('a value without a region or a document version is not read', t => {
	for (const value of ['', ';7', 'regina', 'regina;seven', undefined, ['regina;7']]) {
		t.is(relayHeader.read(value), undefined);
	}
});

test('a target that leaves is read as it was written; other values are not read', t => {
	for (const name of ['i-7f3a91c2', 'a;b %', 'ü']) {
		const leaving = {targetId: toId<TargetId>(name), born: 1_796_000_000_000};
		t.deepEqual(relayHeader.readLeavingTarget(relayHeader.writeLeavingTarget(leaving)), leaving);
	}

	for (const value of ['', 'i-7', ';5', 'i-7;', 'i-7;soon', undefined]) {
		t.is(relayHeader.readLeavingTarget(value), undefined);
	}
});

test('the header of a refusal says whether a target got the request; that of an earlier build, without the mark, that none did', t => {
	for (const reachedTarget of [true, false]) {
		t.is(relayHeader.readReachedTarget(relayHeader.writeRefusal({reason: 'overloaded', reachedTarget})), reachedTarget);
	}

	t.false(relayHeader.readReachedTarget('overloaded'));
	t.false(relayHeader.readReachedTarget(undefined));
});
