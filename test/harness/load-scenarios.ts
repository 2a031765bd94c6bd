import {readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import {parse} from 'yaml';
import {z} from 'zod';
import type {Scenario} from './scenario.ts';
import {scenarioSchema} from './scenario-schema.ts';

const folder = 'test/scenarios';

/** Reads and validates every scenario file, in the order of file names. */
export function loadScenarios(): Scenario[] {
	return readdirSync(folder).filter(file => file.endsWith('.yaml')).toSorted().map(file => {
		const result = scenarioSchema.safeParse(parse(readFileSync(path.join(folder, file), 'utf8')));
		if (!result.success) {
			throw new Error(`${file}: ${z.prettifyError(result.error)}`);
		}

		return result.data;
	});
}
