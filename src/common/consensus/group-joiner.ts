import {type Disposable} from '../base/disposable.js';
import {DisposableStore} from '../base/disposable-store.js';
import {type MembershipChanges} from './membership-changes.js';
import {leaderlessHelloMs, peerCallTimeoutMs} from './consensus-times.js';
import {type ConsensusMethods} from './consensus-methods.js';
import {type HelloReply, type HelloRequest} from './hello.js';
import {type Member} from './member.js';
import {type MemberDriver} from './member-driver.js';
import {type MemberOptions} from './member-options.js';
import {groupIdOf} from './member-identity.js';
import {role} from './role.js';

/** Interval of hello requests from a member that is not a voter, in milliseconds. */
const helloIntervalMs = 300;

/** Joins a member to its group: creates the group, or requests admission as a learner and then as a voter. */
export class GroupJoiner implements Disposable {
	private readonly _member: Member;
	private readonly _handlers = new DisposableStore();
	/** Hosts that other hosts reported as members. */
	private readonly _reportedHosts = new Set<string>();
	private _timer: Disposable | undefined;

	constructor(
		private readonly _driver: MemberDriver,
		private readonly _options: MemberOptions<never, unknown>,
		private readonly _methods: ConsensusMethods,
		private readonly _membershipChanges: MembershipChanges,
	) {
		const {transport, region, isOpenGroup, isBootstrap} = _options;
		this._member = {
			id: _driver.self, host: transport.self, region, isVoter: true, ...(isOpenGroup && !isBootstrap && {isReplacement: true}),
		};
		this._handlers.add(transport.handle(_methods.hello, async request => this._receive(request)));
	}

	/** Sends hello requests at intervals while this member is not a voter or may have been removed. */
	start(): void {
		void this._sendHellos();
		this._timer = this._options.clock.setTimer(helloIntervalMs, () => {
			this.start();
		});
	}

	dispose(): void {
		this._timer?.dispose();
		this._handlers.dispose();
	}

	private _receive({member, groupId}: HelloRequest): HelloReply {
		const {groupId: ownGroup, core} = this._driver;
		if (core.leader && (groupId === undefined || groupId === ownGroup)) {
			this._membershipChanges.requestAdmission(member, this._options.clock.now());
		}

		return {
			member: this._member, isBootstrap: this._options.isBootstrap, groupId: ownGroup, initialMembers: core.state.log.entryAt(1)?.members,
			memberHosts: core.state.log.members.map(({host}) => host),
		};
	}

	private async _sendHellos(): Promise<void> {
		if (this._driver.isStopped || !this._needsHello()) {
			return;
		}

		const {transport, voterHosts, contacts = () => voterHosts} = this._options;
		const request = {member: this._member, groupId: this._driver.groupId};
		const others = [...new Set([...contacts(), ...this._reportedHosts])].filter(host => host !== transport.self);
		const results = await Promise.allSettled(others.map(async host => transport.call(host, this._methods.hello, request, peerCallTimeoutMs)));
		const replies = results.flatMap(result => result.status === 'fulfilled' ? [result.value] : []);
		for (const host of replies.flatMap(reply => reply.memberHosts ?? [])) {
			this._reportedHosts.add(host);
		}

		const initialMembers = this._initialMembers(replies, others.length);
		if (initialMembers && this._driver.groupId === undefined) {
			this._driver.groupId = groupIdOf(initialMembers);
			this._driver.input(core => {
				core.bootstrap(initialMembers);
			});
			this._options.logger.info({group: this._options.group, members: initialMembers.map(member => member.id)}, 'group created');
		}
	}

	/** Whether this member is not a voter, or may have been removed from the group. */
	private _needsHello(): boolean {
		const {state} = this._driver.core;
		return !state.isVoter || (this._options.isOpenGroup === true && state.role !== role.leader && this._options.clock.now() - state.leaderContactAt > leaderlessHelloMs);
	}

	/** Initial members of a group that this host must create; undefined if it must be admitted to a group or wait. */
	private _initialMembers(replies: readonly HelloReply[], hostCount: number): Member[] | undefined {
		const existing = replies.filter(reply => reply.groupId !== undefined);
		const own = existing.find(reply => reply.initialMembers?.some(member => member.id === this._member.id));
		if (own) {
			return [...own.initialMembers!];
		}

		const isUnanimous = replies.length === hostCount && replies.every(reply => reply.isBootstrap);
		const {transport, voterHosts, isBootstrap} = this._options;
		if (existing.length > 0 || !isBootstrap || !isUnanimous || !voterHosts.includes(transport.self)) {
			return undefined;
		}

		return [this._member, ...replies.map(reply => reply.member)].sort((a, b) => a.host < b.host ? -1 : 1);
	}
}
