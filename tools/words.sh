#!/bin/sh
# Checks that the terms of the users' platform occur only in platform/,
# deploy/, tests/ and the documentation.
set -eu
cd "$(dirname "$0")/.."
WORDS='Redwingpitch-|/-/|kv-[a-z]|op/config|servers/|cold_remaining|spot_instance'
WORDS="$WORDS|path_prefix|traffic_split|api_keys|rate_per_s|leaves_ms"
WORDS="$WORDS|window_number|desired_count|uncached_tokens|has_more"
if grep -nE "$WORDS" daemon/*.[ch] decide/*.[ch] wire/*.[chx] fakes/*.[ch] \
	schema/*; then
	echo "terms of the platform outside platform/" >&2
	exit 1
fi
echo "no terms of the platform outside platform/"
