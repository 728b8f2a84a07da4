#!/bin/sh
# The stand-ins of cases 6 to 10 are plain scripts for Node.js; they need no build and no package. Checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [6-9]/case.mjs; do
	node --check "$file"
done
