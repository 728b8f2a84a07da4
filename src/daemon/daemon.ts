import path from 'node:path';
import {DisposableStore} from '../common/base/disposable-store.js';
import {type Disposable} from '../common/base/disposable.js';
import {type Event} from '../common/base/event.js';
import {Host} from '../common/host/host.js';
import {LedgerReader} from '../common/ledger/ledger-reader.js';
import {type StatusReport} from '../common/status/status-report.js';
import {openFileLogStorage} from '../node/file-log-storage.js';
import {HttpBackendProber} from '../node/http-backend-prober.js';
import {HttpEngineClient} from '../node/http-engine-client.js';
import {HttpOrderClient} from '../node/http-order-client.js';
import {HttpRatingClient} from '../node/http-rating-client.js';
import {BackendHandler} from './backend-handler.js';
import {CallerRouter} from './caller-router.js';
import {ChatHandler} from './chat-handler.js';
import {ControlRouter} from './control-router.js';
import {type DaemonServices} from './daemon-services.js';
import {EntriesHandler} from './entries-handler.js';
import {ExplainReader} from './explain-reader.js';
import {Listeners} from './listeners.js';
import {OperatorApi} from './operator-api.js';
import {PlainHandler} from './plain-handler.js';
import {SystemReader} from './system-reader.js';

/** A daemon: a host and its listeners. */
export class Daemon implements Disposable {
	/**
	Starts a daemon. It accepts requests once it has a lease. `onListening` is called when its addresses are known.

	@throws StorageFailedError or LogCorruptError when the data folder cannot be used, and system errors of the listeners.
	*/
	static async start(services: DaemonServices, onListening: (listeners: Listeners) => void = () => undefined): Promise<Daemon> {
		const {cfg, clock, transport} = services;
		const listeners = await Listeners.open(cfg);
		onListening(listeners);
		// Peers may call a member as soon as it runs, so peer calls are served before the host starts.
		listeners.servePeers(transport, cfg.peerSecret);
		const store = new DisposableStore();
		store.add(listeners);
		store.add(transport);
		const {callerAddress, controlAddress} = listeners;
		const host = store.add(await Host.start({
			...services,
			prober: new HttpBackendProber(),
			engines: store.add(new HttpEngineClient()),
			ratings: store.add(new HttpRatingClient(cfg.ratingUrl, clock)),
			orders: store.add(new HttpOrderClient(cfg.backendSecret)),
			callerAddress,
			controlAddress,
			openStorage: async group => openFileLogStorage(path.join(cfg.dataDir!, group)),
		}));
		return new Daemon(services, listeners, host, store);
	}

	private constructor(private readonly _services: DaemonServices, readonly listeners: Listeners, readonly host: Host, private readonly _store: DisposableStore) {
		const {cfg, transport} = _services;
		const {control, entry} = host;
		const {services, ids} = entry;
		transport.setAddressLookup(peer => control.follower.view.entryHosts.get(peer)?.peerAddress);
		listeners.serve(
			new CallerRouter({
				view: control.follower.view,
				chat: new ChatHandler(services, ids, cfg.host),
				plain: _store.add(new PlainHandler(services, ids, cfg.host)),
				entries: new EntriesHandler(control.entryList, cfg.zone),
			}),
			new ControlRouter({
				cfg, transport, backend: new BackendHandler(control.registrar, entry.selector), operator: this._operatorApi(),
			}),
		);
	}

	/** Fires once when the daemon has stopped: without an error after draining, with one after a fatal failure. */
	get onStopped(): Event<Error | undefined> {
		return this.host.onStopped;
	}

	/** Status report for operators. */
	get status(): StatusReport {
		const {cfg} = this._services;
		const {control, entry, isDraining, logs} = this.host;
		const {view, lease, incarnation, applied} = control.follower;
		return {
			host: cfg.host,
			zone: cfg.zone,
			incarnation,
			revision: applied,
			hasLease: lease.isValid(),
			draining: isDraining,
			activeRequests: this.listeners.activeRequests,
			entryHosts: view.entryHosts.size,
			backendServers: view.backendServers.size,
			services: view.documents.size,
			ratingAvailable: entry.services.ratings.isAvailable,
			...logs,
		};
	}

	/** Shuts down gracefully: leaves the list of entry hosts, and serves until cached lists have expired and all requests have ended. */
	async drain(): Promise<void> {
		return this.host.drain(this.listeners);
	}

	dispose(): void {
		this._store.dispose();
	}

	private _operatorApi(): OperatorApi {
		const {cfg, transport} = this._services;
		const {control: {follower}, entry} = this.host;
		const {view} = follower;
		const ledger = new LedgerReader({...this._services, voters: () => [...cfg.voters.keys()]});
		return new OperatorApi({
			follower,
			ledger,
			status: () => this.status,
			system: new SystemReader(cfg.host, follower, ledger),
			explain: new ExplainReader({
				ledger, view, transport, requestHistory: entry.requestHistory,
			}),
			drain: () => {
				void this.drain();
			},
		});
	}
}
