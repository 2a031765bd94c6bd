import type {ConsensusMessage} from './consensus/consensus-message.ts';
import type {ControlMessage} from './control/control-message.ts';
import type {LedgerMessage} from './ledger/ledger-message.ts';
import type {MembershipMessage} from './membership/membership-message.ts';
import type {OrdersMessage} from './orders/orders-message.ts';
import type {PoisonMessage} from './attempts/poison-message.ts';
import type {TargetsMessage} from './targets/targets-message.ts';
import type {TreeMessage} from './tree/tree-message.ts';

/** A message between two processes of the system; each part of the core defines its own messages. */
export type PeerMessage =
	| {readonly part: 'consensus'; readonly body: ConsensusMessage}
	| {readonly part: 'control'; readonly body: ControlMessage}
	| {readonly part: 'tree'; readonly body: TreeMessage}
	| {readonly part: 'membership'; readonly body: MembershipMessage}
	| {readonly part: 'targets'; readonly body: TargetsMessage}
	| {readonly part: 'ledger'; readonly body: LedgerMessage}
	| {readonly part: 'poison'; readonly body: PoisonMessage}
	| {readonly part: 'orders'; readonly body: OrdersMessage};
