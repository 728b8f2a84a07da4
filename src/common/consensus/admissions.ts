import {lostVoterMs} from './consensus-times.js';
import {type Member} from './member.js';
import {type MemberDriver} from './member-driver.js';

/** Time in milliseconds after which a member that no longer asks is not admitted further. */
const requestLifetimeMs = 2000;

/** Time in milliseconds that a learner asks to become a voter before commits are held back for it. */
const holdAfterMs = 3000;

/** Commits are held back only for a learner that lags by no more entries than this: one round trip under load. */
const maxHoldLag = 4096;

type Request = {member: Member; firstAt: number; at: number};

/**
Admits members at the leader, one change at a time: first as learner; once it has synced what is committed,
an earlier identity of the same host is removed, and then the learner becomes a voter. In an open group a voter that
was added later finally takes the place of one that is lost, so that the group keeps its size.
*/
export class Admissions {
	private readonly _requests = new Map<string, Request>();

	constructor(private readonly _driver: MemberDriver, private readonly _voterHosts: readonly string[], private readonly _isOpen = false) {}

	/** Records that a member asks to be admitted. */
	request(member: Member, now: number): void {
		if (this._isOpen || this._voterHosts.includes(member.host)) {
			const firstAt = this._requests.get(member.id)?.firstAt ?? now;
			this._requests.set(member.id, {member, firstAt, at: now});
		}
	}

	/** Takes the next step for a member that asks. */
	advance(now: number): void {
		for (const [id, request] of this._requests) {
			const members = this._nextMembers(request.member);
			if (now - request.at >= requestLifetimeMs) {
				this._requests.delete(id);
			} else if (members) {
				this._change(members);
				return;
			} else {
				this._holdCommits(request, now);
			}
		}

		const replaced = this._isOpen ? this._membersWithoutLost() : undefined;
		if (replaced) {
			this._change(replaced);
		}
	}

	/** The members without a lost voter whose place a later host has taken; undefined when there is none. */
	private _membersWithoutLost(): Member[] | undefined {
		const {leader, state} = this._driver.core;
		const {members, membersIndex} = state.log;
		const replacement = members.find(member => member.isVoter && member.isReplacement);
		if (!replacement || !leader?.isEstablished || leader.isTransferring || membersIndex > state.commitIndex) {
			return undefined;
		}

		const lost = members.find(member => member.isVoter && member.id !== replacement.id && leader.silentMs(member.id) >= lostVoterMs);
		return lost && withoutFlag(members.filter(member => member !== lost), replacement.id);
	}

	private _holdCommits({member, firstAt}: Request, now: number): void {
		const {leader, state} = this._driver.core;
		const isWaiting = state.log.members.some(other => other.id === member.id && !other.isVoter);
		if (leader && isWaiting && now - firstAt >= holdAfterMs && leader.lagOf(member.id) <= maxHoldLag) {
			leader.commitHold.start(now);
		}
	}

	private _change(members: readonly Member[]): void {
		// The input leads back to `advance`, which then finds the change under way and does nothing.
		this._driver.input((core, now) => {
			core.changeMembers(members, now);
		});
	}

	/** The members after the next step; undefined when there is none now. */
	private _nextMembers(member: Member): Member[] | undefined {
		const {leader, state} = this._driver.core;
		const {members, membersIndex} = state.log;
		if (!leader?.isEstablished || leader.isTransferring || membersIndex > state.commitIndex) {
			return undefined;
		}

		const known = members.find(other => other.id === member.id);
		if (!known) {
			const isStaleLearner = (other: Member) => other.host === member.host && !other.isVoter;
			return [...members.filter(other => !isStaleLearner(other)), {...member, isVoter: false}];
		}

		if (known.isVoter || leader.lagOf(known.id) > 0) {
			return undefined;
		}

		const earlier = members.filter(other => other.host === member.host && other.id !== member.id);
		if (earlier.length > 0) {
			return withoutFlag(members.filter(other => !earlier.includes(other)), known.id);
		}

		return members.map(other => other.id === member.id ? {...other, isVoter: true} : other);
	}
}

/** The members, with one of them counted as part of the group's size. */
function withoutFlag(members: readonly Member[], id: string): Member[] {
	return members.map(member => member.id === id ? {...member, isReplacement: undefined} : member);
}
