import {expect, it} from 'vitest';
import {ControlHostGroup} from '../../testing/control-host-group.js';

const maxAttempts = 5;

/** Sends an order to one host until it is acknowledged, like an operator. @returns the number of attempts. */
async function order(group: ControlHostGroup, asked: number, isActive = true): Promise<number> {
	for (let attempt = 1; attempt <= maxAttempts; attempt++) {
		const [result] = await group.settle(Promise.allSettled([group.hosts[asked]!.changeEvacuation('z', isActive)])); // eslint-disable-line no-await-in-loop -- one after another
		if (result.status === 'fulfilled' && result.value.status === 'accepted') {
			return attempt;
		}
	}

	throw new Error(`no acknowledgement after ${maxAttempts} attempts`);
}

/** Whether the zone is under evacuation, by host. */
const active = ({hosts}: ControlHostGroup) => hosts.map(host => host.evacuations.get('z')?.isActive);

/** Ends a host with a power loss. */
function powerOff({hosts, disks}: ControlHostGroup, index: number): void {
	hosts[index]!.dispose();
	disks[index]!.crash();
}

// Guards against an order that is lost, or not acknowledged within 5 s, when the leader ends before it has answered.
it.each([0, 1, 2, 3, 4, 5, 20, 40, 41, 42, 43, 44, 45, 60])('keeps an order when the leader ends %i ms after it was sent', async endMs => {
	const group = await ControlHostGroup.start(endMs);
	const leader = group.leader();
	const [asked, third] = [(leader + 1) % 3, (leader + 2) % 3];
	const sentAt = group.clock.now();
	const attempts = order(group, asked);
	await group.clock.advance(endMs);
	powerOff(group, leader);
	await group.settle(attempts);
	expect(group.clock.now() - sentAt).toBeLessThan(5000);
	await group.startHost(leader);
	await group.clock.advance(2000);
	expect(active(group)).toEqual([true, true, true]);
	await order(group, third, false);
	await group.clock.advance(1000);
	expect(active(group)).toEqual([false, false, false]);
	group.dispose();
});

// Guards against an order that is lost with the disk of one member, or with the power of all of them.
it.each<{name: string; trouble: (group: ControlHostGroup, leader: number) => Promise<void>}>([
	...[0, 1, 2].map(offset => ({
		name: `the disk of member ${offset} from the leader on is lost`, async trouble(group: ControlHostGroup, leader: number) {
			const index = (leader + offset) % 3;
			group.hosts[index]!.dispose();
			group.disks[index]!.wipe();
			await group.clock.advance(1000);
			await group.startHost(index);
			await group.clock.advance(10_000);
			// From here on the member that lost its disk is needed for a majority.
			powerOff(group, (index + 1) % 3);
			await group.clock.advance(3000);
			await group.startHost((index + 1) % 3);
		},
	})),
	{
		name: 'all members lose their power', async trouble(group) {
			for (const index of [0, 1, 2]) {
				powerOff(group, index);
			}

			await group.clock.advance(1000);
			await Promise.all([0, 1, 2].map(async index => group.startHost(index)));
		},
	},
])('keeps an acknowledged order when $name', async ({trouble}) => {
	for (const seed of [1, 2, 3]) {
		/* eslint-disable no-await-in-loop -- one seed after another */
		const group = await ControlHostGroup.start(seed);
		const leader = group.leader();
		expect(await order(group, (leader + 1) % 3)).toBe(1);
		await trouble(group, leader);
		await group.clock.advance(5000);
		expect(active(group)).toEqual([true, true, true]);
		await order(group, leader, false);
		/* eslint-enable no-await-in-loop */
		group.dispose();
	}
});

// Guards against an order of a host that is behind which undoes a later one, and against one that can never be given there again.
it('refuses an order of a host that has not applied the last one to the contrary', async () => {
	const group = await ControlHostGroup.start(1);
	const {names, network, hosts} = group;
	const leader = group.leader();
	const behind = (leader + 1) % 3;
	expect(await order(group, behind)).toBe(1);
	await group.clock.advance(1000);
	network.partition([names[behind]!], names.filter((_, index) => index !== behind));
	expect(await order(group, leader, false)).toBe(1);
	expect(await order(group, leader)).toBe(1);
	expect(await order(group, leader, false)).toBe(1);
	const late = hosts[behind]!.changeEvacuation('z', true);
	network.heal();
	expect(await group.settle(late)).toMatchObject({status: 'conflict', code: 'evacuation-changed'});
	await group.clock.advance(1000);
	expect(active(group)).toEqual([false, false, false]);
	expect(await order(group, behind)).toBe(1);
	group.dispose();
});
