import {Emitter} from '../base/emitter.js';
import {type Event} from '../base/event.js';
import {DisposableStore} from '../base/disposable-store.js';
import {type Disposable} from '../base/disposable.js';
import {type AppError} from '../base/app-error.js';
import {LogMember} from '../consensus/log-member.js';
import {role} from '../consensus/role.js';
import {type StateMachine} from '../consensus/state-machine.js';
import {controlCommandVersion} from '../control/command-versions.js';
import {type ControlCommand} from '../control/control-command.js';
import {type ControlResult} from '../control/control-result.js';
import {type VoterLog} from '../control/control-node.js';
import {ControlState} from '../control/control-state.js';
import {type EntryDirectory} from '../ledger/entry-directory.js';
import {type LedgerCommand} from '../ledger/ledger-command.js';
import {type LedgerReply} from '../ledger/ledger-reply.js';
import {LedgerService} from '../ledger/ledger-service.js';
import {LedgerState} from '../ledger/ledger-state.js';
import {type LogStatus} from '../status/log-status.js';
import {type HostServices} from './host-services.js';

/** The part of a host with durable state: its members of the control log and the ledger log, and the ledger service. */
export class VoterRole implements Disposable {
	/** Starts the members. */
	static async start(services: HostServices): Promise<VoterRole> {
		const state = new ControlState();
		const ledgerState = new LedgerState();
		const control = await startMember<ControlCommand, ControlResult>(services, 'control', state, controlCommandVersion);
		const ledger = await startMember<LedgerCommand, LedgerReply>(services, 'ledger-0', ledgerState);
		return new VoterRole(services, {
			control, ledger, state, ledgerState,
		});
	}

	private readonly _store = new DisposableStore();
	private readonly _onFatal = new Emitter<AppError>();

	private constructor(private readonly _services: HostServices, private readonly _members: Members) {
		const {control, ledger} = _members;
		this._store.add(control);
		this._store.add(ledger);
		for (const member of [control, ledger]) {
			this._store.add(member.onFatal(error => {
				this._onFatal.fire(error);
			}));
		}
	}

	/** The control log with its state machine. */
	get controlLog(): VoterLog {
		return {log: this._members.control, state: this._members.state};
	}

	/** Raised when a member has stopped permanently; the process must end. */
	get onFatal(): Event<AppError> {
		return this._onFatal.event;
	}

	/** Status of the control log and the ledger log, for operators. */
	get status(): {readonly control: LogStatus; readonly ledger: LogStatus} {
		return {control: statusOf(this._members.control), ledger: statusOf(this._members.ledger)};
	}

	/** Starts the ledger service, which needs the directory of entry hosts. */
	serveLedger(directory: EntryDirectory): void {
		const {ledger: log, ledgerState: state} = this._members;
		this._store.add(new LedgerService({
			...this._services, group: 0, log, state, directory,
		}));
	}

	/** Transfers the leadership of each log that this host leads, before a planned stop. */
	transferLeadership(): void {
		for (const member of [this._members.control, this._members.ledger]) {
			if (member.role === role.leader) {
				member.transferLeadership();
			}
		}
	}

	dispose(): void {
		this._store.dispose();
	}
}

type Members = {
	readonly control: LogMember<ControlCommand, ControlResult>;
	readonly ledger: LogMember<LedgerCommand, LedgerReply>;
	readonly state: ControlState;
	readonly ledgerState: LedgerState;
};

async function startMember<Command, Result>(services: HostServices, group: string, machine: StateMachine<Command, Result>, commandVersion?: number): Promise<LogMember<Command, Result>> {
	const {cfg} = services;
	return LogMember.start<Command, Result>({
		...services,
		group,
		commandVersion,
		region: cfg.region,
		voterHosts: [...cfg.voters.keys()],
		isBootstrap: cfg.bootstrap,
		storage: await services.openStorage(group),
		machine,
	});
}

function statusOf(member: LogMember<any, any>): LogStatus {
	const {role: current, term, leader, commitIndex, appliedIndex} = member;
	return {
		role: current, term, leader, commitIndex, appliedIndex, members: member.members.map(({host, isVoter}) => ({host, isVoter})),
	};
}
