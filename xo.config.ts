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
			// The platform defines the field names on the wire.
			'@typescript-eslint/naming-convention': 'off',
		},
	},
];

export default config;
