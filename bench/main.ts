import process from 'node:process';
import {parseArgs} from 'node:util';

type Bench = (options: {json: boolean; seed: number}) => Promise<unknown> | unknown;

/** Benches by name; each module is imported only when its bench is selected. */
const benches: Readonly<Record<string, () => Promise<Bench>>> = {
	async capacity() {
		const {benchCapacity} = await import('./capacity.ts');
		return benchCapacity;
	},
	async state() {
		const {benchState} = await import('./state.ts');
		return benchState;
	},
	async policy() {
		const {benchPolicy} = await import('./policy.ts');
		return benchPolicy;
	},
	async membership() {
		const {benchMembership} = await import('./membership.ts');
		return benchMembership;
	},
	async ledger() {
		const {benchLedger} = await import('./ledger.ts');
		return benchLedger;
	},
	async decisions() {
		const {benchDecisions} = await import('./decisions.ts');
		return benchDecisions;
	},
	async edge() {
		const {benchEdge} = await import('./edge.ts');
		return benchEdge;
	},
	async room() {
		const {benchRoom} = await import('./room.ts');
		return benchRoom;
	},
	async rest() {
		const {benchRest} = await import('./rest.ts');
		return benchRest;
	},
	async start() {
		const {benchStart} = await import('./start.ts');
		return benchStart;
	},
	async path() {
		const {benchPath} = await import('./path.ts');
		return benchPath;
	},
};

const {values, positionals} = parseArgs({
	allowPositionals: true,
	options: {json: {type: 'boolean', default: false}, seed: {type: 'string', default: '1'}},
});
const loadBench = benches[positionals[0] ?? ''];
if (loadBench) {
	const bench = await loadBench();
	await bench({json: values.json, seed: Number(values.seed)});
} else {
	process.stderr.write(`usage: npm run bench -- ${Object.keys(benches).join('|')} [--json] [--seed N]\n`);
	process.exitCode = 2;
}
