/** Deterministic state machine of a replicated log. */
export interface StateMachine<Command, Result> {
	/** Applies a committed command. Must depend only on the state and the arguments, and must not throw. */
	apply(index: number, command: Command): Result;
	/** The complete state as a JSON value. */
	snapshot(): unknown;
	/** Replaces the state with a snapshot. */
	restore(snapshot: unknown): void;
}
