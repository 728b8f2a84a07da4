import {plainTextCodec, type TextCodec} from '../base/text-codec.js';
import {type StateMachine} from '../consensus/state-machine.js';
import {type VersionRef} from '../documents/version-ref.js';
import {type RolloutState} from '../rollout/rollout-state.js';
import {type BackendServer} from './backend-server.js';
import {BurnSumTable} from './burn-sum-table.js';
import {ChangeHistory} from './change-history.js';
import {
	type ChangeEvacuation, type ControlCommand, type Quarantine, type RemoveDocument, type SubmitDocument, type WithdrawVersion,
} from './control-command.js';
import {type ControlResult} from './control-result.js';
import {type ControlStateSnapshot} from './control-state-snapshot.js';
import {type ControlView} from './control-view.js';
import {CrashQuarantines} from './crash-quarantines.js';
import {DirectoryState} from './directory-state.js';
import {type Evacuation, EvacuationTable} from './evacuation-table.js';
import {type DocumentRecord} from './document-record.js';
import {type EntryHost} from './entry-host.js';
import {type QuarantineRecord} from './quarantine-record.js';
import {RolloutTable} from './rollout-table.js';
import {type RoutingRecord} from './routing-record.js';
import {RoutingState} from './routing-state.js';
import {ServiceRolloutTable} from './service-rollout-table.js';
import {type ServiceRollout} from './service-rollout.js';

/** State machine of the control log: documents, directory, quarantines, roll-outs and the fencing number. */
export class ControlState implements StateMachine<ControlCommand, ControlResult>, ControlView {
	/** Hourly sums of all requests and of bad ones. */
	readonly burnSums = new BurnSumTable();
	private _revision = 0;
	private _fencing = 0;
	private readonly _documents = new Map<string, DocumentRecord>();
	/** Withdrawn versions of removed services; they stay withdrawn when the service is created again. */
	private readonly _withdrawnOfRemoved = new Map<string, readonly VersionRef[]>();
	private readonly _directory = new DirectoryState();
	private readonly _quarantines = new Map<string, QuarantineRecord>();
	/** Revision at which a quarantine was last lifted; evidence from before that revision must not count again. */
	private readonly _liftedAt = new Map<string, number>();
	private readonly _rollouts = new RolloutTable();
	private readonly _serviceRollouts = new ServiceRolloutTable();
	private readonly _routing: RoutingState;
	private readonly _crashQuarantines = new CrashQuarantines();
	private readonly _evacuations = new EvacuationTable();
	private readonly _changes = new ChangeHistory();

	constructor(codec: TextCodec = plainTextCodec) {
		this._routing = new RoutingState(codec);
	}

	get revision(): number {
		return this._revision;
	}

	/** Fencing number of the last leader; orders with a lower number are stale. */
	get fencing(): number {
		return this._fencing;
	}

	get documents(): ReadonlyMap<string, DocumentRecord> {
		return this._documents;
	}

	get entryHosts(): ReadonlyMap<string, EntryHost> {
		return this._directory.entryHosts;
	}

	get backendServers(): ReadonlyMap<string, BackendServer> {
		return this._directory.backendServers;
	}

	/** Highest incarnation of an entry host that has expired; undefined without a tombstone. */
	expiredEntryIncarnation(host: string): number | undefined {
		return this._directory.expiredEntryIncarnation(host);
	}

	/** Highest incarnation of a backend server that has left or expired; undefined without a tombstone. */
	removedBackendIncarnation(id: string): number | undefined {
		return this._directory.removedBackendIncarnation(id);
	}

	get quarantines(): Iterable<QuarantineRecord> {
		return this._quarantines.values();
	}

	/** Roll-outs by service, finished ones included. */
	get rollouts(): ReadonlyMap<string, RolloutState> {
		return this._rollouts.states;
	}

	/** Roll-outs of releases by service, finished ones included. */
	get serviceRollouts(): ReadonlyMap<string, ServiceRollout> {
		return this._serviceRollouts.rollouts;
	}

	/** The routing configuration with the highest version; undefined before the first. */
	get routing(): RoutingRecord | undefined {
		return this._routing.record;
	}

	/** Revisions at which parts of prompts were quarantined, by part. */
	get quarantinedParts(): ReadonlyMap<string, number> {
		return this._crashQuarantines.parts.revisions;
	}

	/** Revisions at which requests were quarantined, by digest. */
	get quarantinedRequests(): ReadonlyMap<string, number> {
		return this._crashQuarantines.requests.revisions;
	}

	/** Last order on the evacuation of each zone, withdrawals included. */
	get evacuations(): ReadonlyMap<string, Evacuation> {
		return this._evacuations.orders;
	}

	/** Zones whose backend servers get no requests. */
	get evacuatedZones(): ReadonlySet<string> {
		return this._evacuations.active;
	}

	isQuarantined(service: string, requestClass: string, ref: VersionRef): boolean {
		return this._quarantines.has(quarantineKey(service, requestClass, ref)) || this._quarantines.has(quarantineKey(service, '*', ref));
	}

	/** Revision at which a quarantine of the version was lifted; undefined when none was. */
	liftedAt(service: string, requestClass: string, ref: VersionRef): number | undefined {
		return this._liftedAt.get(quarantineKey(service, requestClass, ref)) ?? this._liftedAt.get(quarantineKey(service, '*', ref));
	}

	/** Replaces the routing configuration by one whose content was received outside of the log. */
	replaceRouting(record: RoutingRecord): void {
		this._routing.restore(record);
	}

	apply(index: number, command: ControlCommand): ControlResult {
		this._revision = index;
		switch (command.type) {
			case 'submit-document':
			case 'remove-document':
			case 'withdraw-version': {
				return this._applyChange(index, command);
			}

			case 'entry-joined': {
				return this._directory.joinEntry(index, command);
			}

			case 'entry-leaving':
			case 'entry-expired': {
				return this._directory.leaveEntry(index, command);
			}

			case 'backend-joined': {
				return this._directory.joinBackend(index, command);
			}

			case 'backend-silent':
			case 'backend-left':
			case 'backend-expired': {
				return this._directory.removeBackend(index, command);
			}

			case 'quarantine':
			case 'lift-quarantine': {
				return this._quarantine(index, command);
			}

			case 'quarantine-part':
			case 'lift-part-quarantine':
			case 'quarantine-request':
			case 'lift-request-quarantine': {
				return this._crashQuarantines.apply(index, command);
			}

			case 'rollout-step': {
				return this._rollouts.step(index, command);
			}

			case 'apply-routing':
			case 'change-routing': {
				return this._routing.apply(index, command);
			}

			case 'start-service-rollout': {
				return this._serviceRollouts.start(index, command);
			}

			case 'service-rollout-step': {
				return this._serviceRollouts.step(index, command);
			}

			case 'evacuate-zone':
			case 'end-evacuation': {
				return this._changeEvacuation(index, command);
			}

			case 'servers-warm': {
				return this._directory.markWarm(index, command.servers);
			}

			case 'burn-sums': {
				return this.burnSums.add(index, command);
			}

			case 'next-fencing': {
				this._fencing = index;
				return {status: 'accepted', revision: index};
			}
		}
	}

	snapshot(): ControlStateSnapshot {
		const snapshot: ControlStateSnapshot = {
			revision: this._revision,
			fencing: this._fencing,
			documents: [...this._documents],
			removed: [...this._withdrawnOfRemoved],
			directory: this._directory.snapshot(),
			quarantines: [...this._quarantines],
			lifted: [...this._liftedAt],
			rollouts: this._rollouts.snapshot(),
			changes: this._changes.snapshot(),
			burn: this.burnSums.snapshot(),
			routing: this._routing.record,
			serviceRollouts: this._serviceRollouts.snapshot(),
			quarantinedParts: this._crashQuarantines.parts.snapshot(),
			quarantinedRequests: this._crashQuarantines.requests.snapshot(),
			evacuations: this._evacuations.snapshot(),
		};
		// Records are replaced and never mutated, so a snapshot may share them with the state.
		return snapshot;
	}

	restore(snapshot: unknown): void {
		const data = snapshot as ControlStateSnapshot;
		this._revision = data.revision;
		this._fencing = data.fencing;
		this._documents.clear();
		for (const [service, record] of data.documents) {
			this._documents.set(service, record);
		}

		this._withdrawnOfRemoved.clear();
		for (const [service, withdrawn] of data.removed) {
			this._withdrawnOfRemoved.set(service, withdrawn);
		}

		this._directory.restore(data.directory);
		this._changes.restore(data.changes);
		this.burnSums.restore(data.burn);
		this._rollouts.restore(data.rollouts);
		this._serviceRollouts.restore(data.serviceRollouts);
		this._routing.restore(data.routing);
		this._crashQuarantines.parts.restore(data.quarantinedParts);
		this._crashQuarantines.requests.restore(data.quarantinedRequests);
		this._evacuations.restore(data.evacuations);
		this._liftedAt.clear();
		for (const [key, revision] of data.lifted) {
			this._liftedAt.set(key, revision);
		}

		this._quarantines.clear();
		for (const [key, record] of data.quarantines) {
			this._quarantines.set(key, record);
		}
	}

	private _applyChange(index: number, command: SubmitDocument | RemoveDocument | WithdrawVersion): ControlResult {
		const {changeId, ...content} = command;
		const service = serviceOf(command);
		const result = this._changes.applyOnce(changeId, content, index, () => this._applyNewChange(index, service, command));
		// The document is added here and not stored with the outcome, because outcomes are kept for thousands of changes.
		return result.status === 'conflict' ? {...result, current: this._documents.get(service)?.document} : result;
	}

	private _applyNewChange(index: number, service: string, command: SubmitDocument | RemoveDocument | WithdrawVersion): ControlResult {
		const current = this._documents.get(service);
		const revision = current?.revision ?? 0;
		if (command.baseRevision !== undefined && command.baseRevision !== revision) {
			return {
				status: 'conflict',
				code: 'revision-conflict',
				message: `${service} was changed at revision ${revision}, after revision ${command.baseRevision}`,
				revision,
			};
		}

		if (command.type === 'submit-document') {
			const refusal = this._rollouts.check(command.document);
			if (refusal) {
				return refusal;
			}

			const withdrawn = current?.withdrawn ?? this._withdrawnOfRemoved.get(service) ?? [];
			this._documents.set(service, {document: command.document, revision: index, withdrawn});
			return {status: 'accepted', revision: index};
		}

		if (!current) {
			return {status: 'rejected', code: 'service-unknown', message: `there is no service ${service}`};
		}

		if (command.type === 'remove-document') {
			this._documents.delete(service);
			this._rollouts.remove(service);
			if (current.withdrawn.length > 0) {
				this._withdrawnOfRemoved.set(service, current.withdrawn);
			}

			return {status: 'accepted', revision: index};
		}

		if (!current.document.versions.includes(command.ref)) {
			return {status: 'rejected', code: 'version-unknown', message: `${command.ref} is not a version of ${service}`};
		}

		this._documents.set(service, {...current, revision: index, withdrawn: [...new Set([...current.withdrawn, command.ref])]});
		return {status: 'accepted', revision: index};
	}

	private _changeEvacuation(index: number, command: ChangeEvacuation): ControlResult {
		const wasActive = this.evacuatedZones.has(command.zone);
		const result = this._evacuations.apply(index, command);
		if (wasActive && !this.evacuatedZones.has(command.zone)) {
			// They may have turned cold while they got no requests.
			this._directory.markCold(index, command.zone);
		}

		return result;
	}

	private _quarantine(index: number, {type, service, requestClass, ref, reason}: Quarantine): ControlResult {
		const key = quarantineKey(service, requestClass, ref);
		if (type === 'quarantine') {
			this._quarantines.set(key, {
				service, requestClass, ref, reason, revision: index,
			});
			this._liftedAt.delete(key);
		} else if (this._quarantines.delete(key)) {
			this._liftedAt.set(key, index);
		}

		return {status: 'accepted', revision: index};
	}
}

function serviceOf(command: SubmitDocument | RemoveDocument | WithdrawVersion): string {
	return command.type === 'submit-document' ? command.document.service : command.service;
}

function quarantineKey(service: string, requestClass: string, ref: VersionRef): string {
	return `${service}/${requestClass}/${ref}`;
}
