#!/bin/sh
# Verifies tests/replica.pml with spin: no errors if all rules are in force, a
# violation if any one rule is left out.
set -u
cd "$(dirname "$0")"
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
passed=0
failed=0

# verify NAME DEFINES EXPECTED-ERRORS: runs one verification to its end, or to
# its first error. EXPECTED-ERRORS is 0 or 1.
verify() {
	mkdir "$WORK/$1"
	cp replica.pml "$WORK/$1"
	out=$(cd "$WORK/$1" && spin $2 -a replica.pml &&
		cc -O2 -DSAFETY -o pan pan.c 2>/dev/null &&
		./pan -m200000 -w24)
	errors=$(echo "$out" | sed -n 's/.*errors: \([0-9]*\).*/\1/p')
	states=$(echo "$out" | sed -n 's/ *\([0-9]*\) states, stored.*/\1/p')
	incomplete=$(echo "$out" | grep -c -E 'Search not completed|max search depth')
	if [ "${errors:-none}" = "$3" ] &&
		{ [ "$3" = 1 ] || [ "$incomplete" = 0 ]; }; then
		passed=$((passed + 1))
		echo "ok model $1: errors $errors, $states states"
	else
		failed=$((failed + 1))
		echo "FAILED model $1: errors ${errors:-none}, expected $3"
		echo "$out" | head -20
	fi
}

verify all_rules "" 0
for rule in REVOKE_ACK OLD_GRANT COPY_FIRST SEALING_NO_GRANT UNSEEN_NOT_RUN \
	GRANTED_UNKNOWN TWO_SEALS_UNKNOWN; do
	verify "without_$rule" "-DNO_$rule" 1
done
echo "model: $passed passed, $failed failed"
[ "$failed" = 0 ]
