import process from 'node:process';

/** Prints rows as a table with a header line and aligned columns. */
export function printTable(columns: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number | boolean>>): void {
	const lines = [columns, ...rows].map(row => row.map(String));
	const widths = columns.map((_, column) => Math.max(...lines.map(line => (line[column] ?? '').length)));
	for (const line of lines) {
		process.stdout.write(`${line.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()}\n`);
	}
}
