import {type Disposable} from '../base/disposable.js';
import {DisposableStore} from '../base/disposable-store.js';
import {type Admissions} from './admissions.js';
import {lonelyVoterMs, peerCallTimeoutMs} from './consensus-times.js';
import {type ConsensusMethods} from './consensus-methods.js';
import {type HelloReply, type HelloRequest} from './hello.js';
import {type Member} from './member.js';
import {type MemberDriver} from './member-driver.js';
import {type MemberOptions} from './member-options.js';
import {groupIdOf} from './member-identity.js';
import {role} from './role.js';

/** Interval at which a member that is not yet a voter presents itself, in milliseconds. */
const helloIntervalMs = 300;

/** Brings a member into its group: creates the group, or asks to be admitted as learner and then as voter. */
export class GroupEntry implements Disposable {
	private readonly _member: Member;
	private readonly _handlers = new DisposableStore();
	/** Hosts that others named as members. */
	private readonly _heardHosts = new Set<string>();
	private _timer: Disposable | undefined;

	constructor(
		private readonly _driver: MemberDriver,
		private readonly _options: MemberOptions<never, unknown>,
		private readonly _methods: ConsensusMethods,
		private readonly _admissions: Admissions,
	) {
		const {transport, region, isOpen, isBootstrap} = _options;
		this._member = {
			id: _driver.self, host: transport.self, region, isVoter: true, ...(isOpen && !isBootstrap && {isReplacement: true}),
		};
		this._handlers.add(transport.handle(_methods.hello, async request => this._receive(request)));
	}

	/** Starts to present the member until it is a voter. */
	start(): void {
		void this._present();
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
			this._admissions.request(member, this._options.clock.now());
		}

		return {
			member: this._member, isBootstrap: this._options.isBootstrap, groupId: ownGroup, initialMembers: core.state.log.entryAt(1)?.members,
			memberHosts: core.state.log.members.map(({host}) => host),
		};
	}

	private async _present(): Promise<void> {
		if (this._driver.isStopped || !this._isOutside()) {
			return;
		}

		const {transport, voterHosts, contacts = () => voterHosts} = this._options;
		const request = {member: this._member, groupId: this._driver.groupId};
		const others = [...new Set([...contacts(), ...this._heardHosts])].filter(host => host !== transport.self);
		const results = await Promise.allSettled(others.map(async host => transport.call(host, this._methods.hello, request, peerCallTimeoutMs)));
		const replies = results.flatMap(result => result.status === 'fulfilled' ? [result.value] : []);
		for (const host of replies.flatMap(reply => reply.memberHosts ?? [])) {
			this._heardHosts.add(host);
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

	/** Whether this member is no voter, or may no longer be one. */
	private _isOutside(): boolean {
		const {state} = this._driver.core;
		return !state.isVoter || (this._options.isOpen === true && state.role !== role.leader && this._options.clock.now() - state.heardLeaderAt > lonelyVoterMs);
	}

	/** The members of a group to be created by this host too; undefined when it must be admitted or has to wait. */
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
