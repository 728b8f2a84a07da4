import {type PlaceOrder, type WaitingForPlace} from './place-order.js';

/** One of this number of connections goes to the request that has waited longest, so that the least urgent ones get some under a lasting overload. */
const connectionsPerOldest = 8;

/** Number of requests of a customer that are tried in its turn, as some may be blocked. It is lower than the number of blocked requests at which `PlaceQueue` stops, so that one customer cannot end a release. */
const triesPerTurn = 3;

/** Waiting requests of each customer; the customer that got a connection last is the last one. */
type Customers = Map<string | undefined, Set<WaitingForPlace>>;

/** Tries the most urgent requests first. Customers with requests of the same urgency take turns; the requests of one customer keep the order of their arrival. */
export class UrgencyOrder implements PlaceOrder {
	private readonly _byArrival = new Set<WaitingForPlace>();
	private readonly _byUrgency = new Map<number, Customers>();
	private _placed = 0;

	get size(): number {
		return this._byArrival.size;
	}

	add(waiting: WaitingForPlace): void {
		const {urgency, customer} = waiting;
		this._byArrival.add(waiting);
		const customers: Customers = this._byUrgency.get(urgency) ?? new Map<string | undefined, Set<WaitingForPlace>>();
		this._byUrgency.set(urgency, customers);
		customers.set(customer, (customers.get(customer) ?? new Set()).add(waiting));
	}

	recordPlaced({urgency, customer}: WaitingForPlace): void {
		this._placed++;
		const customers = this._byUrgency.get(urgency);
		const ofCustomer = customers?.get(customer);
		if (customers && ofCustomer) {
			customers.delete(customer);
			customers.set(customer, ofCustomer);
		}
	}

	delete(waiting: WaitingForPlace): void {
		const {urgency, customer} = waiting;
		this._byArrival.delete(waiting);
		const customers = this._byUrgency.get(urgency);
		const ofCustomer = customers?.get(customer);
		ofCustomer?.delete(waiting);
		if (ofCustomer?.size === 0) {
			customers!.delete(customer);
		}

		if (customers?.size === 0) {
			this._byUrgency.delete(urgency);
		}
	}

	* [Symbol.iterator](): Iterator<WaitingForPlace> {
		const tried = new Set<WaitingForPlace>();
		for (const waiting of this._byTurns()) {
			const [oldest] = this._byArrival;
			if (oldest && !tried.has(oldest) && this._placed % connectionsPerOldest === connectionsPerOldest - 1) {
				tried.add(oldest);
				yield oldest;
			}

			if (!tried.has(waiting) && this._byArrival.has(waiting)) {
				tried.add(waiting);
				yield waiting;
			}
		}
	}

	/** Iterates over the requests by urgency and by turns of the customers. */
	private * _byTurns(): Iterable<WaitingForPlace> {
		for (const urgency of [...this._byUrgency.keys()].sort((one, other) => one - other)) {
			const untried = new Map<Set<WaitingForPlace>, Iterator<WaitingForPlace, undefined>>();
			let isComplete = false;
			while (!isComplete) {
				isComplete = true;
				const placed = this._placed;
				for (const ofCustomer of this._byUrgency.get(urgency)?.values() ?? []) {
					const requests = untried.get(ofCustomer) ?? ofCustomer.values();
					untried.set(ofCustomer, requests);
					isComplete = !(yield * this._turn(requests)) && isComplete;
					// Begins again with the first customer, whose turn it still is after blocked requests.
					if (this._placed !== placed) {
						break;
					}
				}
			}
		}
	}

	/** Iterates over the next requests of a customer, until one is placed. @returns whether there was any. */
	private * _turn(requests: Iterator<WaitingForPlace, undefined>): Generator<WaitingForPlace, boolean> {
		const placed = this._placed;
		for (let count = 0; count < triesPerTurn && this._placed === placed; count++) {
			const next = requests.next();
			if (next.done) {
				return count > 0;
			}

			yield next.value;
		}

		return true;
	}
}
