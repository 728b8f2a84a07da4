import {type MachineCapacity} from './simulated-machine.js';

/** Machines of a simulation. */
export interface ConfigurationMachines {
	/** Number of control hosts. */
	readonly controls: number;
	readonly control: MachineCapacity;
	readonly entry: MachineCapacity;
}

/** Machines of the size that the control group and entry hosts get in plays. */
export const defaultMachines: ConfigurationMachines = {
	controls: 9,
	control: {megabitsPerSecond: 1000, processorShare: 0.405},
	entry: {megabitsPerSecond: 7, processorShare: 0.324},
};
