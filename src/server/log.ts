import process from 'node:process';
import debug from 'debug';

const json = process.env.LOVAGEFERRY_LOG === 'json';

/**
 * Returns the debug logger of a part; its lines appear as `lovageferry:<part>` if `DEBUG` selects the part.
 * With `LOVAGEFERRY_LOG=json`, each line is a JSON object with time, part and text on standard error.
 */
export function log(part: string): (text: string) => void {
	const logger = debug(`lovageferry:${part}`);
	if (json) {
		logger.log = () => undefined;
	}

	return text => {
		if (!logger.enabled) {
			return;
		}

		if (json) {
			process.stderr.write(`${JSON.stringify({time: new Date().toISOString(), part, text})}\n`);
			return;
		}

		logger(text);
	};
}
