import {readFileSync} from 'node:fs';
import {parseDocument} from 'yaml';
import type {z} from 'zod';
import {SettingsError} from './settings-error.ts';

/**
 * Reads a YAML file and checks it by a schema.
 *
 * @throws SettingsError with every problem found, each with file, key and remedy.
 */
export function parseSettingsFile<Schema extends z.ZodType>(file: string, schema: Schema): z.infer<Schema> {
	let text;
	try {
		text = readFileSync(file, 'utf8');
	} catch (error) {
		throw new SettingsError([`${file}: cannot be read (${(error as NodeJS.ErrnoException).code}): check the path`]);
	}

	const document = parseDocument(text);
	if (document.errors.length > 0) {
		throw new SettingsError(document.errors.map(error => `${file}: ${firstLine(error.message)}: correct the YAML`));
	}

	const result = schema.safeParse(document.toJS());
	if (!result.success) {
		throw new SettingsError(result.error.issues.map(issue => `${file}: ${issue.path.join('.') || '(top)'}: ${describeIssue(issue)}`));
	}

	return result.data;
}

function describeIssue(issue: z.core.$ZodIssue): string {
	if (issue.code === 'unrecognized_keys') {
		return `unknown key ${issue.keys.map(key => `"${key}"`).join(', ')}: remove or correct it`;
	}

	if (issue.code === 'invalid_type') {
		return issue.message.endsWith('received undefined')
			? `is missing: add it (${issue.expected})`
			: `must be ${issue.expected}: correct it`;
	}

	return issue.message;
}

function firstLine(text: string): string {
	return text.split('\n', 1)[0]!.replace(/:$/v, '');
}
