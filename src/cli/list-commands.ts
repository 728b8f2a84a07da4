import {type BackendServer} from '../common/control/backend-server.js';
import {type DocumentRecord} from '../common/control/document-record.js';
import {type EntryHost} from '../common/control/entry-host.js';
import {type Bill} from '../common/ledger/ledger.js';
import {type PinChange} from '../common/ledger/pin-table.js';
import {type TotalsRow} from '../common/ledger/totals-table.js';
import {type CommandContext} from './command-context.js';

/** Options of the commands that list ledger data. */
export interface LedgerListOptions {
	readonly customer?: string;
	readonly limit?: number;
}

/** Lists the service documents, or shows one of them. */
export async function show(ctx: CommandContext, service: string | undefined): Promise<void> {
	if (service !== undefined) {
		const record = await ctx.client.read<DocumentRecord>(`documents/${service}`);
		ctx.printer.value(record, JSON.stringify(record, undefined, 2));
		return;
	}

	const records = await ctx.client.read<DocumentRecord[]>('documents');
	ctx.printer.rows(['service', 'kind', 'revision', 'customers', 'versions', 'withdrawn'], records.map(({document, revision, withdrawn}) => ({
		service: document.service, kind: document.kind, revision, customers: document.customers.map(({name}) => name), versions: document.versions, withdrawn,
	})));
}

/** Lists the entry hosts. */
export async function listEntries(ctx: CommandContext): Promise<void> {
	ctx.printer.rows(['host', 'zone', 'address', 'leaving', 'incarnation'], await ctx.client.read<EntryHost[]>('entries'));
}

/** Lists the backend servers. */
export async function listBackends(ctx: CommandContext): Promise<void> {
	const servers = await ctx.client.read<BackendServer[]>('backends');
	ctx.printer.rows(['id', 'kind', 'zone', 'address', 'serves', 'capacity', 'incarnation'], servers.map(server => ({
		...server, serves: server.kind === 'engine' ? server.offers.map(({ref}) => ref) : server.services,
	})));
}

/** Lists the versions of all services and how many backend servers offer each of them. */
export async function listVersions(ctx: CommandContext): Promise<void> {
	const [records, servers] = await Promise.all([ctx.client.read<DocumentRecord[]>('documents'), ctx.client.read<BackendServer[]>('backends')]);
	const rows = records.flatMap(({document, withdrawn}) => document.versions.map(ref => {
		const offers = servers.flatMap(server => server.offers.filter(offer => offer.ref === ref));
		return {
			service: document.service,
			version: ref,
			state: withdrawn.includes(ref) ? 'withdrawn' : 'allowed',
			servers: offers.length,
			inputCost: offers[0]?.inputCost,
			outputCost: offers[0]?.outputCost,
		};
	}));
	ctx.printer.rows(['service', 'version', 'state', 'servers', 'inputCost', 'outputCost'], rows);
}

/** Lists the latest bills. */
export async function listBills(ctx: CommandContext, options: LedgerListOptions, what: 'bills' | 'unknown' = 'bills'): Promise<void> {
	const bills = await ctx.client.read<Bill[]>(what, {...options});
	ctx.printer.rows(['requestId', 'customer', 'service', 'outcome', 'ref', 'cost', 'tries', 'entry'], bills.map(bill => ({...bill, tries: bill.attempts.length})));
}

/** Lists the totals by customer, service, version and day. */
export async function listTotals(ctx: CommandContext, options: LedgerListOptions): Promise<void> {
	const rows = await ctx.client.read<TotalsRow[]>('totals', {...options});
	ctx.printer.rows(Object.keys(rows[0] ?? {customer: ''}) as Array<keyof TotalsRow>, rows);
}

/** Lists sessions whose version has changed, and why. */
export async function listSessionChanges(ctx: CommandContext, options: LedgerListOptions): Promise<void> {
	ctx.printer.rows(['customer', 'service', 'session', 'from', 'to', 'cause'], await ctx.client.read<PinChange[]>('changes', {...options}));
}

/** Shows the version to which a session is pinned. */
export async function showSession(ctx: CommandContext, customer: string, service: string, session: string): Promise<void> {
	const pin = await ctx.client.read<{ref: string}>('session', {customer, service, session});
	ctx.printer.value(pin, pin.ref);
}
