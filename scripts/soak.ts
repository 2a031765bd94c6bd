// Runs real processes under random faults: `npm run soak -- --seed 1 --minutes 2 [--runs 5] [--entries 2] [--calm 3000] [--replacements] [--planned] [--links] [--forwarded] [--report folder]`.
import {mkdirSync, writeFileSync} from 'node:fs';
import {loadavg} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {runPlannedSoak} from '../test/soak/run-planned-soak.ts';
import {runSoak} from '../test/soak/run-soak.ts';
import type {SoakReport} from '../test/soak/soak-report.ts';
import {soakTimeline} from '../test/soak/soak-timeline.ts';

const {values} = parseArgs({
	options: {
		/** Seed of the first run, incremented for each further run; random by default. */
		seed: {type: 'string', default: String(Math.floor(Math.random() * 1_000_000))},
		minutes: {type: 'string', default: '1'},
		runs: {type: 'string', default: '1'},
		/** Number of entries in each region. */
		entries: {type: 'string', default: '2'},
		/** Period without faults after each recovery, in milliseconds; a longer one lets the rules on configurations be judged more often. */
		calm: {type: 'string'},
		/** Draw no faults but replacements of control nodes and losses of power. */
		replacements: {type: 'boolean', default: false},
		/** No faults: entries are stopped in series beside new configurations and targets that leave, and no request may be lost. */
		planned: {type: 'boolean', default: false},
		/** Draw faults of single links between entries, and from entries to targets, as well. */
		links: {type: 'boolean', default: false},
		/** All targets of a service are in one region, so that most requests are forwarded. */
		forwarded: {type: 'boolean', default: false},
		report: {type: 'string'},
	},
});

for (let run = 0; run < Number(values.runs); run++) {
	if (values.planned) {
		// eslint-disable-next-line no-await-in-loop
		printPlanned(await runPlannedSoak({
			seed: Number(values.seed) + run, minutes: Number(values.minutes), entriesPerRegion: Number(values.entries), forwarded: values.forwarded,
		}));
		continue;
	}

	// eslint-disable-next-line no-await-in-loop
	const report = await runSoak({
		seed: Number(values.seed) + run,
		minutes: Number(values.minutes),
		entriesPerRegion: Number(values.entries),
		replacementsOnly: values.replacements,
		links: values.links,
		forwarded: values.forwarded,
		faultFreeMs: values.calm === undefined ? undefined : Number(values.calm),
	});
	printReport(report);
	if (values.report !== undefined) {
		writeReport(report, values.report);
	}
}

function printReport({seed, lengthMs, faults, records, refusals, overlaps, probes, changes, reads, problems, folder, machine, loadMs}: SoakReport): void {
	const count = (outcome: string) => records.filter(record => record.outcome === outcome).length;
	const outcomes = ['served', 'refused', 'failed', 'broken', 'unreachable'].map(outcome => `${count(outcome)} ${outcome}`).join(', ');
	const verdict = problems.length === 0 ? 'pass' : 'fail';
	const takenUp = records.filter(({resumedBy}) => resumedBy !== undefined);
	const resumed = `${takenUp.filter(record => record.resumed).length} of ${takenUp.length} broken streams taken up`;
	const judged = probes.filter(({due, shown}) => due > 0 || shown > 0).length;
	const totals = `${faults.length} faults, ${records.length} requests (${outcomes}; ${resumed}), ${changes} changes, ${reads} reads, ${judged} of ${probes.length} probes judged`;
	const conditions = `programs loaded within ${(loadMs / 1000).toFixed(1)} s, load ${loadavg()[0]!.toFixed(0)}`;
	console.log(`SOAK seed ${seed} ${verdict}: ${Math.round(lengthMs / 1000)} s, ${totals}; ${describeRefusals(refusals, records)}; ${describeOverlaps(overlaps)}; ${conditions}`);
	for (const problem of [...problems, ...machine]) {
		console.log(`  - ${problem}`);
	}

	if (problems.length > 0) {
		process.exitCode = 1;
		console.log(`  logs and data: ${folder}`);
		for (const {name, at, forMs} of faults) {
			console.log(`  ${(at / 1000).toFixed(1)} s, for ${(forMs / 1000).toFixed(1)} s: ${name}`);
		}
	}
}

function printPlanned({seed, lengthMs, problems, records, steps, startedAt, refusals, overlaps, folder}: Awaited<ReturnType<typeof runPlannedSoak>>): void {
	const count = (name: string) => records.filter(({outcome}) => outcome === name).length;
	const answered = records.filter(({outcome}) => outcome === 'answered');
	const statuses = [...new Set(answered.map(({status}) => status))].map(status => `${answered.filter(record => record.status === status).length} with ${status}`);
	const reasons = [...new Set(records.map(({cutFor}) => cutFor))].filter(reason => reason !== undefined);
	const cuts = reasons.map(reason => `${records.filter(({cutFor}) => cutFor === reason).length} ${reason}`);
	const verdict = problems.length === 0 ? 'pass' : 'fail';
	const totals = `${records.length} requests (${[...statuses, `${count('broken')} broken`, `${count('unreachable')} unreachable`].join(', ')}; ${cuts.join(', ') || 'none cut'})`;
	const checked = `${describeRefusals(refusals, records)}; ${describeOverlaps(overlaps)}`;
	console.log(`PLANNED SOAK seed ${seed} ${verdict}: ${Math.round(lengthMs / 1000)} s, ${totals}; ${checked}; load ${loadavg()[0]!.toFixed(0)}`);
	for (const problem of problems) {
		console.log(`  - ${problem}`);
	}

	if (problems.length > 0) {
		process.exitCode = 1;
		console.log(`  logs: ${folder}`);
		for (const {name, at} of steps) {
			console.log(`  ${Math.round(at - startedAt)} ms: ${name}`);
		}
	}
}

function describeOverlaps(overlaps: SoakReport['overlaps']): string {
	if (overlaps === undefined) {
		return 'overlaps not checked';
	}

	const {atTwoTargets, overlaps: count, judged, longestMs, longestOutOfTouchMs, longestFromArrivalMs} = overlaps;
	const lengths = `the longest of ${Math.round(longestMs)} ms, of ${Math.round(longestOutOfTouchMs)} ms out of touch, of ${Math.round(longestFromArrivalMs)} ms from the arrival on`;
	return `${atTwoTargets} requests at two targets, ${count} overlaps, ${judged} judged, ${lengths}`;
}

type SentAgain = {readonly refusedSendings?: readonly unknown[]; readonly status?: number};

function describeRefusals({refused, copied, copiedInProgress, sentBesideRuns, newIds, connections}: SoakReport['refusals'], records: readonly SentAgain[]): string {
	const again = records.filter(({refusedSendings = []}) => refusedSendings.length > 0);
	const served = again.filter(({status}) => status === 200).length;
	const onConnections = `on ${connections} connections, ${sentBesideRuns} sent beside a run on their connection`;
	const byTargets = `${refused} refused by targets ${onConnections}, ${newIds} new ids, ${copied} of these written once more, ${copiedInProgress} with the request under way again`;
	return `${byTargets}; ${again.length} refused requests sent again, ${served} served`;
}

function writeReport(report: SoakReport, folder: string): void {
	mkdirSync(folder, {recursive: true});
	const records = report.records.map(({entry, ...record}) => ({...record, entry: entry.name}));
	writeFileSync(path.join(folder, `soak-${report.seed}.json`), `${JSON.stringify({...report, records}, undefined, '\t')}\n`);
	writeFileSync(path.join(folder, `soak-${report.seed}.svg`), soakTimeline(report));
}
