#!/bin/sh
# Builds the programs for the platform. Installs packages only when the lock file has changed.
set -eu
if [ ! -d node_modules ] || [ package-lock.json -nt node_modules ]; then
	npm ci --silent --ignore-scripts
	touch node_modules
fi

node deploy/bundle.mjs
