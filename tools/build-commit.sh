#!/bin/sh
# Builds rw-proxyd of a commit of this repository's history, into a folder of its
# own that is kept, and prints the folder of the binary.
# Usage: tools/build-commit.sh COMMIT
# Exit codes: 2: no such commit; 3: the clone is too shallow; 1: it can't be
# built.
set -eu
cd "$(dirname "$0")/.."
if ! commit=$(git rev-parse --verify --quiet "$1^{commit}"); then
	if [ "$(git rev-parse --is-shallow-repository 2>&1)" = false ]; then
		echo "$1: no such commit" >&2
		exit 2
	fi
	echo "$1: not in this clone, which has not the whole history" >&2
	exit 3
fi
dir=${BUILDS:-build/commits}/$commit
binary=build/rw-proxyd
if [ ! -x "$dir/$binary" ]; then
	part=$dir.$$
	mkdir -p "$part"
	git archive "$commit" | tar -x -C "$part"
	make -s -j"$(nproc)" -C "$part" "$binary" >&2
	rm -rf "$dir"
	mv "$part" "$dir"
fi
cd "$dir/build"
pwd
