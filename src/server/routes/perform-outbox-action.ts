import type {OutboxAction} from '../../core/outbox-action.ts';
import type {EventLog} from '../event-log.ts';
import type {Metrics} from '../metrics.ts';
import type {PeerLinks} from '../peer-links.ts';

type Outlets = {readonly links: PeerLinks; readonly metrics: Metrics; readonly log: EventLog};

/** Carries out what every kind of core wants of the outside but for writes: messages, counters and log lines. */
export function performOutboxAction(action: Exclude<OutboxAction, {type: 'append' | 'rewrite'}>, {links, metrics, log}: Outlets): void {
	switch (action.type) {
		case 'send': {
			links.send(action.to, action.message);
			break;
		}

		case 'count': {
			metrics.count(action.name, action.reason, action.amount);
			break;
		}

		case 'event': {
			log.write(action.event, action.fields);
			break;
		}

		case 'log': {
			log.write(action.text, {part: action.part});
			break;
		}
	}
}
