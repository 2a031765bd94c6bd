import type {LogCommand} from '../consensus/log-command.ts';
import type {CrashLedger} from '../routes/crash-ledger.ts';
import type {RoutesCommand} from '../routes/routes-command.ts';

type TraitsServed = RoutesCommand & {type: 'traits-served'};

type Options = {
	readonly ledger: CrashLedger;
	/** Commands of the log that the ledger does not reflect yet. */
	readonly uncommitted: readonly LogCommand[];
};

/**
 * Leaves out the traits that are blamed for a crash which was not known when they were served: the state clears a trait
 * of all its crashes so far, and the report of its serving may have been held up while further ones came.
 */
export function withoutOutdatedTraits(command: TraitsServed, {ledger, uncommitted}: Options): TraitsServed {
	const {traits, crashes} = command;
	if (crashes === undefined) {
		return command;
	}

	const reports = uncommitted.flatMap(other => other.type === 'crashes' ? other.reports : []);
	const current = [...traits.keys()].filter(position => {
		const trait = traits[position]!;
		const reported = reports.filter(report => report.traits.includes(trait)).map(({crash}) => crash);
		return [...ledger.blamedFor(trait), ...reported].every(crash => crashes[position]?.includes(crash));
	});
	return {...command, traits: current.map(position => traits[position]!), crashes: current.map(position => crashes[position]!)};
}
