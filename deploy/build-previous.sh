#!/bin/sh
# Builds the programs of an earlier commit into a folder, with the installed packages: deploy/build-previous.sh COMMIT FOLDER
set -eu
if [ $# -ne 2 ]; then
	echo 'usage: deploy/build-previous.sh COMMIT FOLDER' >&2
	exit 2
fi

commit=$1
mkdir -p "$2"
folder=$(cd "$2" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
temporary=$(mktemp -d)
remove() {
	git -C "$root" worktree remove --force "$temporary/source" 2>/dev/null || true
	rm -rf "$temporary"
}
trap remove EXIT
trap 'exit 1' HUP INT TERM

git -C "$root" worktree add --quiet --detach "$temporary/source" "$commit"
if ! cmp -s "$root/package-lock.json" "$temporary/source/package-lock.json"; then
	echo "build-previous: $commit was released with other packages; this build has the present ones" >&2
fi

ln -s "$root/node_modules" "$temporary/source/node_modules"
cd "$temporary/source"
# Not deploy/build.sh, which may install packages.
node deploy/bundle.mjs
cp target/start.cjs target/platform.cjs target/platform.cache "$folder/"
