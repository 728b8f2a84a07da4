import {type StateMachine} from '../common/consensus/state-machine.js';

type Recorded = {index: number; command: string};

/** State machine that records every command; the result of a command is its index. */
export class RecordingMachine implements StateMachine<string, number> {
	applied: Recorded[] = [];

	apply(index: number, command: string): number {
		this.applied.push({index, command});
		return index;
	}

	snapshot(): unknown {
		return this.applied;
	}

	restore(snapshot: unknown): void {
		this.applied = [...snapshot as Recorded[]];
	}
}
