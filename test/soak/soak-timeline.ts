import type {SoakReport} from './soak-report.ts';

const width = 1000;
const left = 220;
const rowHeight = 14;
const chartHeight = 120;
const colours: Readonly<Record<string, string>> = {
	served: '#4a9', refused: '#dc6', failed: '#c55', broken: '#947', unreachable: '#aaa',
};

/** Renders a soak as SVG: outcomes per second on top, injected faults as bars below. */
export function soakTimeline({faults, records, lengthMs, seed}: SoakReport): string {
	const scale = (width - left) / Math.max(1, lengthMs);
	const seconds = Array.from({length: Math.ceil(lengthMs / 1000)}, (_, second) => records.filter(({sentAt}) => Math.floor(sentAt / 1000) === second));
	const maxPerSecond = Math.max(1, ...seconds.map(({length}) => length));
	const columns = seconds.flatMap((list, second) => {
		let top = chartHeight;
		return Object.entries(colours).map(([outcome, colour]) => {
			const height = list.filter(record => record.outcome === outcome).length / maxPerSecond * chartHeight;
			top -= height;
			return rectangle({
				x: left + (second * 1000 * scale), y: top, width: 1000 * scale, height, colour,
			});
		});
	});
	const rows = faults.toSorted((a, b) => a.at - b.at).flatMap(({name, at, forMs}, row) => {
		const y = chartHeight + 20 + (row * rowHeight);
		return [
			`<text x="4" y="${y + 10}" font-size="10">${name}</text>`,
			rectangle({
				x: left + (at * scale), y, width: Math.max(2, forMs * scale), height: rowHeight - 4, colour: '#357',
			}),
		];
	});
	const legend = Object.entries(colours).map(([outcome, colour], index) => `<text x="4" y="${12 + (index * 14)}" font-size="11" fill="${colour}">${outcome}</text>`);
	const height = chartHeight + 40 + (faults.length * rowHeight);
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif">`,
		`<title>soak, seed ${seed}, ${Math.round(lengthMs / 1000)} s</title>`,
		...legend,
		...columns,
		...rows,
		'</svg>',
	].join('\n');
}

function rectangle({x, y, width, height, colour}: {x: number; y: number; width: number; height: number; colour: string}): string {
	return `<rect x="${x.toFixed(1)}" y="${y.toFixed(1)}" width="${width.toFixed(1)}" height="${height.toFixed(1)}" fill="${colour}"/>`;
}
