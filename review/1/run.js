import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

/** Routes of the configuration: the dose of `big_config`. */
const routeCount = 1400;
/** Time between two changes, in milliseconds: the dose of `config_storm`. */
const changeGapMs = 190;
const maxOrders = 8;
const changeCount = Number(process.env.CHANGES ?? 200);
/** Delay until the empty successor of a machine starts, in milliseconds. */
const successorDelayMs = 1000;
/** Time from the start of the successor to the final fault: `catch-up-s` and `stability-window-ms` of the site, and one second more, in milliseconds. */
const catchUpMs = 10_000;
/** Latest time of the final fault after the last change was sent, if that has no ack before (kinds: "5 to 400 ms after it was sent"), in milliseconds. */
const strikeMs = 400;
/** Machines that lose their disks in the final fault, as many as the deployment tolerates, and how long they are down, in milliseconds. */
const wipedCount = 2;
const downMs = 670;
/** `recovery-s` of the site, in milliseconds. */
const recoveryMs = 12_000;
/** Own ends of one machine's processes, and machines on which there are as many, that make the day count 0. */
const endsPerMachine = 3;
const machines = 2;

/** The whole configuration; successive versions differ in the timeout of one route. */
function configuration(number) {
	return {
		routes: Array.from({length: routeCount}, (_, index) => ({
			name: `r-${index}`,
			host: 'shop.example',
			'path-prefix': `/orders-${index}/`,
			kind: 'unsafe',
			'timeout-ms': index === 0 ? 1000 + number : 1200,
			'target-latency-ms': 443,
			priority: 2,
			service: 'desk',
			attempts: 1,
			'sticky-sessions': false,
			resumable: false,
			'target-gap-ms': 600,
			'home-regions': ['regina', 'saskatoon'],
		})),
		services: [{
			name: 'desk', 'health-path': '/health', 'connection-limit': 96, protocol: 'h1', tls: false, 'cold-start-s': 0, 'cold-per-s': 0,
		}],
		limits: {
			'max-header-bytes': 16_384, 'max-body-bytes': 4_194_304, 'header-timeout-ms': 3000, 'idle-timeout-ms': 15_000,
		},
	};
}

/** Reads the configuration at one node after the other for at least `stability-window-ms`; returns the newest version that any of them gave. */
async function readBack(deployment) {
	const endsAt = Date.now() + 6000;
	let newest = -1;
	for (let turn = 0; Date.now() < endsAt; turn++) {
		const {status, body} = await deployment.operateAt(deployment.controls[turn % deployment.controls.length], 'GET', '/configuration'); // eslint-disable-line no-await-in-loop
		if (status === 200) {
			newest = Math.max(newest, JSON.parse(body).version);
		}

		await sleep(200); // eslint-disable-line no-await-in-loop
	}

	return newest;
}

/** Plays the case; returns the ways in which the rule was broken. */
async function play({deployment, record, trouble}) {
	deployment.startAll();
	await deployment.configure(configuration(0));
	await deployment.untilReady();
	const sent = [];
	for (let number = 1; number <= changeCount; number++) {
		// Up to eight orders of the operator may be in progress at once.
		await sent.at(-maxOrders); // eslint-disable-line no-await-in-loop
		sent.push(deployment.configure(configuration(number)));
		await sleep(changeGapMs); // eslint-disable-line no-await-in-loop
	}

	let acknowledged = Math.max(...await Promise.all(sent));
	record(`all ${changeCount} changes are acknowledged, the newest as version ${acknowledged}`);
	const endsBefore = deployment.nodes.reduce((sum, {ownEnds}) => sum + ownEnds.length, 0);
	if (endsBefore > 0) {
		throw new Error('a process ended before the disruption');
	}

	if (trouble) {
		const removed = deployment.controls.at(-1);
		record(`${removed.name} is removed for good; an empty machine at another address follows`);
		await removed.stop('SIGKILL');
		deployment.remove(removed);
		await sleep(successorDelayMs);
		deployment.addControl('saskatoon-a').start();
		await sleep(catchUpMs);
		const change = deployment.configure(configuration(changeCount + 1));
		const struckAt = await Promise.race([change, sleep(strikeMs)]);
		acknowledged = struckAt ?? acknowledged;
		change.catch(() => undefined); // eslint-disable-line promise/prefer-await-to-then -- without an ack nothing is expected of it
		const wiped = deployment.controls.slice(0, wipedCount);
		record(struckAt === undefined ? `one more change was sent ${strikeMs} ms before and has no ack yet` : `version ${struckAt} has just been acknowledged`);
		record(`final fault: ${wiped.map(({name}) => name).join(' and ')} lose their disks`);
		await Promise.all(wiped.map(async node => node.stop('SIGKILL')));
		await sleep(downMs);
		for (const node of wiped) {
			node.loseDisk();
			node.start();
		}
	}

	await sleep(recoveryMs);
	const looping = deployment.nodes.filter(({ownEnds}) => ownEnds.length >= endsPerMachine);
	const version = await readBack(deployment);
	record(`read back: version ${version}`);
	return [
		...looping.length >= machines ? [`the processes of ${looping.map(({name, ownEnds}) => `${name} (${ownEnds.length} times)`).join(', ')} ended by themselves (Fault)`] : [],
		...version < acknowledged ? [`CONFIG: version ${acknowledged} was acknowledged, and ${version < 0 ? 'no version' : `version ${version}`} is read back`] : [],
	];
}

export const reviewCase = {entryZones: ['regina-a', 'saskatoon-a'], play};
