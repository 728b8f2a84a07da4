import {type PeerMethod} from '../base/peer-method.js';
import {type PeerTransport} from '../base/peer-transport.js';
import {peerCallTimeoutMs} from './consensus-times.js';
import {type ConsensusMethods, type Envelope} from './consensus-methods.js';
import {type Member} from './member.js';
import {type MemberDriver} from './member-driver.js';
import {type OutgoingRequest} from './outgoing-request.js';
import {type SnapshotSender} from './snapshot-sender.js';

/** Sends the core's requests to other members and passes their replies to the core. */
export class PeerClient {
	constructor(
		private readonly _driver: MemberDriver,
		private readonly _transport: PeerTransport,
		private readonly _methods: ConsensusMethods,
		private readonly _snapshots: SnapshotSender,
	) {}

	async send(call: OutgoingRequest): Promise<void> {
		switch (call.kind) {
			case 'vote': {
				await this._call(call, this._methods.vote, call.request, (core, reply, now) => {
					core.receiveVoteReply(call, reply, now);
				});
				break;
			}

			case 'append': {
				await this._call(call, this._methods.append, call.request, (core, reply, now) => {
					core.receiveAppendReply(call, reply, now);
				});
				break;
			}

			case 'transfer': {
				await this._call(call, this._methods.transfer, {term: call.term, from: this._driver.self, to: call.to.id}, () => undefined);
				break;
			}

			case 'snapshot': {
				await this._snapshots.send(call);
				break;
			}
		}
	}

	private async _call<Body, Reply>(
		call: {to: Member} & OutgoingRequest,
		method: PeerMethod<Envelope<Body>, Reply>,
		body: Body,
		receive: (core: MemberDriver['core'], reply: Reply, now: number) => void,
	): Promise<void> {
		let reply: Reply;
		try {
			reply = await this._transport.call(call.to.host, method, {groupId: this._driver.groupId!, body}, peerCallTimeoutMs);
		} catch {
			this._driver.input((core, now) => {
				core.receiveFailure(call, now);
			});
			return;
		}

		this._driver.input((core, now) => {
			receive(core, reply, now);
		});
	}
}
