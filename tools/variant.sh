#!/bin/bash
# Builds with the other signedness of char than this machine has, and with checks
# of alignment and of undefined behaviour, the first of which ends a process; runs
# the unit tests and simulations of that build. Exit code 1: one has failed.
set -eu
cd "$(dirname "$0")/.."
B=build-variant
if echo | gcc -dM -E - | grep -q __CHAR_UNSIGNED__; then
	char=-fsigned-char
else
	char=-funsigned-char
fi
make -s -j"$(nproc)" B=$B OPT="-O1 -g" tests \
	SAN="$char -fsanitize=undefined,alignment -fno-sanitize-recover=all"
log=$(mktemp -d)
trap 'rm -rf "$log"' EXIT
# one COMMAND...: runs a test; prints its output if it fails.
one() {
	out=$log/$(echo "$*" | tr ' /' '__')
	if "$@" >"$out" 2>&1; then
		echo "ok $*"
	else
		echo "FAILED $*"
		tail -20 "$out"
		return 1
	fi
}
export -f one
export log
# The longest ones first.
{
	echo "$B/tests/sim-poison"
	echo "$B/tests/http"
	echo "$B/tests/sim-replica --seed 1 --runs 300"
	for hosts in 8 63; do
		for sim in origin permit brittle links spread; do
			echo "$B/tests/sim-$sim --hosts $hosts"
		done
	done
	echo "$B/tests/sim-member --hosts 32 --loss 5"
	echo "$B/tests/sim-feed --hosts 300"
	for bench in route load retry; do
		echo "$B/tests/sim-route $bench --seed 1"
	done
	find $B/tests -name 'unit*' ! -name '*.[od]'
	echo "$B/tests/platform"
} | xargs -P "$(nproc)" -I{} bash -c 'one {}'
