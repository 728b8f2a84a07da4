import {type PeerTransport} from '../common/base/peer-transport.js';
import {type ControlView} from '../common/control/control-view.js';
import {explainMethod} from '../common/entry/explain-method.js';
import {type RequestHistory, type RequestExplanation} from '../common/entry/request-history.js';
import {RefusalError} from '../common/entry/refusal-error.js';
import {type LedgerReader} from '../common/ledger/ledger-reader.js';
import {type Bill} from '../common/ledger/ledger.js';
import {type RequestReport} from '../common/status/request-report.js';

/** Dependencies of `ExplainReader`. */
export interface ExplainReaderOptions {
	readonly ledger: LedgerReader;
	readonly view: ControlView;
	readonly transport: PeerTransport;
	/** Requests that this daemon handled, with their plans. */
	readonly requestHistory: RequestHistory;
}

/** Timeout in milliseconds of the call to the entry host, which answers from memory. */
const timeoutMs = 2000;

/** Explains a request from its bill and from the plan that its entry host keeps in memory. */
export class ExplainReader {
	constructor(private readonly _options: ExplainReaderOptions) {}

	/**
	@throws RefusalError when neither a bill nor a local plan of the request is found.
	@throws ControlUnavailableError when no leader of the ledger answers.
	*/
	async read(requestId: string): Promise<RequestReport<RequestExplanation>> {
		const {ledger, requestHistory, transport} = this._options;
		const bill = await this._findBill(ledger, requestId);
		const explanation = requestHistory.get(requestId);
		if (explanation) {
			return {
				requestId, bill, entry: transport.self, explanation,
			};
		}

		if (!bill) {
			throw new RefusalError('not-found', `There is no bill of ${requestId} among the last 1,000 and no plan at this entry host.`, {status: 404});
		}

		return {
			requestId, bill, entry: bill.entry, ...await this._fetchExplanation(bill),
		};
	}

	private async _findBill(ledger: LedgerReader, requestId: string): Promise<Bill | undefined> {
		const {bills = []} = await ledger.query({what: 'bills'});
		const found = bills.find(bill => bill.requestId === requestId);
		if (found) {
			return found;
		}

		// Bills with an unknown outcome are kept longer than the others.
		const {bills: unknown = []} = await ledger.query({what: 'unknown'});
		return unknown.find(bill => bill.requestId === requestId);
	}

	private async _fetchExplanation({requestId, entry}: Bill): Promise<Pick<RequestReport<RequestExplanation>, 'explanation' | 'missing'>> {
		const {view, transport} = this._options;
		if (!view.entryHosts.has(entry)) {
			return {missing: `The entry host ${entry} is gone, and its plans with it.`};
		}

		try {
			const {explanation} = await transport.call(entry, explainMethod, {requestId}, timeoutMs);
			return explanation ? {explanation} : {missing: `The entry host ${entry} no longer remembers the plan.`};
		} catch {
			return {missing: `The entry host ${entry} does not answer.`};
		}
	}
}
