import test from 'ava';
import type {Region} from '../../../src/core/ids/region.ts';
import {toId} from '../../../src/core/ids/to-id.ts';
import {HostHomes} from '../../../src/core/routes/host-homes.ts';
import {routesDocumentFixture} from '../../fixtures/routes-document-fixture.ts';

const regina = toId<Region>('regina');

test('callers of a host that a control node\'s document does not name yet are led to every region', t => {
	const homes = new HostHomes(routesDocumentFixture({route: {homes: [regina]}}));
	t.deepEqual([...homes.of('new.example') ?? ['every region']], []);
	t.deepEqual([...homes.of('') ?? ['every region']], []);
	t.is(new HostHomes(routesDocumentFixture()).of('prairie.example'), undefined);
});

test('callers of a host that they name with its port are led outside its homes', t => {
	const homes = new HostHomes(routesDocumentFixture({route: {homes: [regina]}}));
	t.deepEqual([...homes.of('Prairie.Example:8144') ?? ['every region']], [regina]);
});
