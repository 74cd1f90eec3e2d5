#!/bin/sh
# The users' platform has words of its own: they stand in platform/, deploy/,
# tests/ and the pages only.
set -eu
cd "$(dirname "$0")/.."
WORDS='Redwingpitch-|/-/|kv-[a-z]|op/config|servers/|cold_remaining|spot_instance'
WORDS="$WORDS|path_prefix|traffic_split|api_keys|rate_per_s|leaves_ms"
WORDS="$WORDS|window_number|desired_count|uncached_tokens|has_more"
if grep -nE "$WORDS" daemon/*.[ch] decide/*.[ch] wire/*.[chx] fakes/*.[ch] \
	schema/*; then
	echo "words of the platform outside platform/" >&2
	exit 1
fi
echo "no words of the platform outside platform/"
