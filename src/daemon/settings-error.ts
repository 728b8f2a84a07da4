import {AppError} from '../common/base/app-error.js';

/** An invalid setting. */
export interface SettingIssue {
	readonly name: string;
	readonly value: string;
	/** Description of the valid values. */
	readonly allowed: string;
}

/** Thrown when settings are missing or invalid; lists every issue. */
export class SettingsError extends AppError {
	readonly code = 'settings-invalid' as const;

	constructor(readonly issues: readonly SettingIssue[]) {
		super(issues.map(({name, value, allowed}) => `${name}: ${value === '' ? 'missing' : `"${value}"`}; ${allowed}`).join('\n'));
	}
}
