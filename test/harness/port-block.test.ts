import test from 'ava';
import {PortBlock} from './port-block.ts';

const size = 20;
/** More than there are blocks on the machine. */
const deployments = 60;

// Guards against files of many deployments that leave no block of ports to another run on the machine.
test('deployments of a few ports share blocks, and no two of them have a port in common', async t => {
	const parts = await Promise.all(Array.from({length: deployments}, async () => PortBlock.reserve({size})));
	const ports = parts.flatMap(part => Array.from({length: size}, () => part.next()));
	t.is(new Set(ports).size, deployments * size);
	t.throws(() => parts[0]!.next(), {message: 'no port is left in the block'});
});
