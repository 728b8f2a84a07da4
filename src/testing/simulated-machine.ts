import {type Clock} from '../common/base/clock.js';
import {type Disk} from '../common/consensus/disk.js';
import {type Transfer, type TransferModel} from './memory-network.js';
import {SimulatedLink} from './simulated-link.js';
import {SimulatedProcessor} from './simulated-processor.js';

/** Processor time in milliseconds per byte of JSON on a whole processor. */
export const processorCost = {
	encode: 4.8 / 1_382_000, decode: 3.2 / 1_382_000, parse: 13.2 / 1_205_000, difference: 12 / 1_460_000, restore: 3 / 1_460_000,
};
const bytesPerMsPerMegabit = 125;

/** Capacity of one host. */
export interface MachineCapacity {
	readonly megabitsPerSecond: number;
	/** Fraction of a whole processor. */
	readonly processorShare: number;
}

/** A host with a processor and a link. */
export class SimulatedMachine {
	readonly processor: SimulatedProcessor;
	readonly up: SimulatedLink;
	readonly down: SimulatedLink;
	private _writtenBytes = 0;

	constructor(clock: Clock, {megabitsPerSecond, processorShare}: MachineCapacity) {
		this.processor = new SimulatedProcessor(clock, processorShare);
		this.up = new SimulatedLink(clock, megabitsPerSecond * bytesPerMsPerMegabit);
		this.down = new SimulatedLink(clock, megabitsPerSecond * bytesPerMsPerMegabit);
	}

	/** Bytes sent and received so far. */
	get bytes(): number {
		return this.up.bytes + this.down.bytes;
	}

	/** Bytes written to a disk so far. */
	get writtenBytes(): number {
		return this._writtenBytes;
	}

	/** Forgets the longest waits so far. */
	resetWaits(): void {
		for (const part of [this.processor, this.up, this.down]) {
			part.longestWaitMs = 0;
		}
	}

	/** Charges the processor for the encoding of what is written to a disk, and counts it. */
	chargeWrites(disk: Disk): Disk {
		const {processor} = this;
		const count = (bytes: number) => {
			this._writtenBytes += bytes;
		};

		return {
			...disk,
			async open(name) {
				const file = await disk.open(name);
				return {
					...file,
					async append(bytes) {
						count(bytes.length);
						processor.charge(bytes.length * processorCost.encode);
						return file.append(bytes);
					},
				};
			},
		};
	}
}

/** Hosts whose messages take time on their processors and links by size. */
export class SimulatedMachines implements TransferModel {
	private readonly _machines = new Map<string, SimulatedMachine>();

	/** `_messageMs` is the processor time in milliseconds of sending or receiving a message, besides that for its size. */
	constructor(private readonly _clock: Clock, private readonly _messageMs = 0) {}

	add(host: string, capacity: MachineCapacity): SimulatedMachine {
		const machine = new SimulatedMachine(this._clock, capacity);
		this._machines.set(host, machine);
		return machine;
	}

	transfer({
		from, to, size, delayMs, signal, deliver,
	}: Transfer): void {
		const sender = this._machines.get(from)!;
		const receiver = this._machines.get(to)!;
		const receive = () => {
			receiver.processor.run(this._messageMs + (size * processorCost.decode), deliver);
		};

		this._clock.setTimer(sender.processor.charge(this._messageMs + (size * processorCost.encode)) - this._clock.now(), () => {
			if (from === to) {
				receive();
				return;
			}

			sender.up.send(size, signal, () => {
				receiver.down.send(size, signal, () => {
					this._clock.setTimer(delayMs, receive);
				});
			});
		});
	}
}
