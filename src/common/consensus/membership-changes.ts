import {lostVoterMs} from './consensus-times.js';
import {type Member} from './member.js';
import {type MemberDriver} from './member-driver.js';

/** Time in milliseconds after which an admission request expires unless the member repeats it. */
const admissionRequestLifetimeMs = 2000;

/** Time in milliseconds for which a learner must request admission before commits are delayed for it. */
const commitHoldDelayMs = 3000;

/** Maximum lag of a learner, in entries, for which commits are delayed: about one round trip under load. */
const maxCommitHoldLag = 4096;

type AdmissionRequest = {member: Member; firstAt: number; at: number};

/**
Changes the membership on the leader, one change at a time. A new member is added as a learner. Once it has synced all
committed entries, an earlier identity of the same host is removed, and then the learner becomes a voter. In an open
group, a voter that joined later then replaces a lost voter, so that the group keeps its size.
*/
export class MembershipChanges {
	private readonly _requests = new Map<string, AdmissionRequest>();

	constructor(private readonly _driver: MemberDriver, private readonly _voterHosts: readonly string[], private readonly _isOpenGroup = false) {}

	/** Records an admission request of a member. */
	requestAdmission(member: Member, now: number): void {
		if (this._isOpenGroup || this._voterHosts.includes(member.host)) {
			const firstAt = this._requests.get(member.id)?.firstAt ?? now;
			this._requests.set(member.id, {member, firstAt, at: now});
		}
	}

	/** Makes the next membership change, if one is possible. */
	advance(now: number): void {
		for (const [id, request] of this._requests) {
			const members = this._nextMembers(request.member);
			if (now - request.at >= admissionRequestLifetimeMs) {
				this._requests.delete(id);
			} else if (members) {
				this._proposeChange(members);
				return;
			} else {
				this._holdCommits(request, now);
			}
		}

		const remaining = this._isOpenGroup ? this._membersWithoutLostVoter() : undefined;
		if (remaining) {
			this._proposeChange(remaining);
		}
	}

	/** The members without a lost voter that a later host replaces; undefined if there is none. */
	private _membersWithoutLostVoter(): Member[] | undefined {
		const {leader, state} = this._driver.core;
		const {members, membersIndex} = state.log;
		const replacement = members.find(member => member.isVoter && member.isReplacement);
		if (!replacement || !leader?.isEstablished || leader.isTransferring || membersIndex > state.commitIndex) {
			return undefined;
		}

		const lost = members.find(member => member.isVoter && member.id !== replacement.id && leader.msSinceContact(member.id) >= lostVoterMs);
		return lost && clearReplacementFlag(members.filter(member => member !== lost), replacement.id);
	}

	private _holdCommits({member, firstAt}: AdmissionRequest, now: number): void {
		const {leader, state} = this._driver.core;
		const isWaiting = state.log.members.some(other => other.id === member.id && !other.isVoter);
		if (leader && isWaiting && now - firstAt >= commitHoldDelayMs && leader.lagOf(member.id) <= maxCommitHoldLag) {
			leader.commitHold.start(now);
		}
	}

	private _proposeChange(members: readonly Member[]): void {
		// The input calls `advance` again, which does nothing while this change is uncommitted.
		this._driver.input((core, now) => {
			core.changeMembers(members, now);
		});
	}

	/** The members after the next change for a member; undefined if no change is possible now. */
	private _nextMembers(member: Member): Member[] | undefined {
		const {leader, state} = this._driver.core;
		const {members, membersIndex} = state.log;
		if (!leader?.isEstablished || leader.isTransferring || membersIndex > state.commitIndex) {
			return undefined;
		}

		const existing = members.find(other => other.id === member.id);
		if (!existing) {
			const isStaleLearner = (other: Member) => other.host === member.host && !other.isVoter;
			return [...members.filter(other => !isStaleLearner(other)), {...member, isVoter: false}];
		}

		if (existing.isVoter || leader.lagOf(existing.id) > 0) {
			return undefined;
		}

		const earlier = members.filter(other => other.host === member.host && other.id !== member.id);
		if (earlier.length > 0) {
			return clearReplacementFlag(members.filter(other => !earlier.includes(other)), existing.id);
		}

		return members.map(other => other.id === member.id ? {...other, isVoter: true} : other);
	}
}

/** Clears the replacement flag of a member, which counts towards the group's size from then on. */
function clearReplacementFlag(members: readonly Member[], id: string): Member[] {
	return members.map(member => member.id === id ? {...member, isReplacement: undefined} : member);
}
