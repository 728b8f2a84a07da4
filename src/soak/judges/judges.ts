import {judgeBudget} from './budget.js';
import {judgeConfig, judgeConfigReads} from './config.js';
import {judgeDrain} from './drain.js';
import {judgeEvacuated} from './evacuated.js';
import {judgeGone} from './gone.js';
import {judgeLost} from './lost.js';
import {judgeMixed} from './mixed.js';
import {judgeOrder} from './order.js';
import {judgeOwnEnd} from './own-end.js';
import {judgeRecover} from './recover.js';
import {judgeRefused} from './refused.js';
import {judgeRoute} from './route.js';
import {type SoakHistory} from './soak-history.js';
import {judgeTwice} from './twice.js';
import {judgeUnasked} from './unasked.js';

const judges = [
	['ORDER', judgeOrder],
	['MIXED', judgeMixed],
	['LOST', judgeLost],
	['TWICE', judgeTwice],
	['REFUSED', judgeRefused],
	['UNASKED', judgeUnasked],
	['GONE', judgeGone],
	['DRAIN', judgeDrain],
	['EVACUATED', judgeEvacuated],
	['CONFIG', judgeConfig],
	['CONFIG', judgeConfigReads],
	['BUDGET', judgeBudget],
	['ROUTE', judgeRoute],
	['RECOVER', judgeRecover],
	['own end', judgeOwnEnd],
] as const;

/** Violations that all judges find, each with its rule. */
export function judge(history: SoakHistory): string[] {
	return judges.flatMap(([rule, judgeRule]) => judgeRule(history).map(text => `${rule}: ${text}`));
}
