/** Tries to place a request. @returns whether its wait is over: it was placed or has ended. */
export type TryPlace = () => boolean;

/** A request that waits for a connection. */
export interface WaitingForPlace {
	readonly tryPlace: TryPlace;
	/** Priority of the request; 0 is the most urgent. */
	readonly urgency: number;
	/** Undefined for requests without a key. */
	readonly customer: string | undefined;
}

/** Waiting requests of a service, in the order in which they are tried. Requests may be added and removed while it is iterated. */
export interface PlaceOrder extends Iterable<WaitingForPlace> {
	readonly size: number;
	add(waiting: WaitingForPlace): void;
	/** Records that a request has got a connection; called before its removal. */
	recordPlaced(waiting: WaitingForPlace): void;
	delete(waiting: WaitingForPlace): void;
}

/** Tries requests in the order of their arrival. */
export class ArrivalOrder extends Set<WaitingForPlace> implements PlaceOrder {
	recordPlaced(): void {
		// The order of arrival does not depend on earlier requests.
	}
}
