import process from 'node:process';

type Row = Readonly<Record<string, string | number>>;

/** Prints rows as one JSON document, or as a table with the rows' keys as column heads. */
export function printRows(rows: readonly Row[], json: boolean): void {
	if (json) {
		process.stdout.write(`${JSON.stringify({rows})}\n`);
		return;
	}

	const keys = [...new Set(rows.flatMap(row => Object.keys(row)))];
	const lines = [keys, ...rows.map(row => keys.map(key => cell(row[key])))];
	const widths = keys.map((_, column) => Math.max(...lines.map(line => line[column]!.length)));
	for (const line of lines) {
		process.stdout.write(`${line.map((text, column) => text.padEnd(widths[column]!)).join('  ').trimEnd()}\n`);
	}
}

function cell(value: string | number | undefined): string {
	if (typeof value === 'number' && !Number.isInteger(value)) {
		return value.toPrecision(4);
	}

	return String(value ?? '');
}
