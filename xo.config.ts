import {type FlatXoConfig} from 'xo';

const config: FlatXoConfig = [
	{ignores: ['dist/**', 'target/**', 'journal/**', 'docs/**', 'examples/**']},
	{
		rules: {
			// The house style asks for interfaces wherever behaviour varies.
			'@typescript-eslint/consistent-type-definitions': 'off',
			// The house style asks for the short customary names (req, res, cfg, err).
			'unicorn/prevent-abbreviations': 'off',
		},
	},
	{
		files: ['platform/**'],
		rules: {
			// Names on the wire are the platform's own.
			'@typescript-eslint/naming-convention': 'off',
		},
	},
];

export default config;
