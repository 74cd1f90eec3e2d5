#!/bin/bash
# Takes one mechanism out at a time, on a scratch copy, and runs the test that
# must fail then. Exits with 1 if one of them passes.
set -u
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
git clone -q "$(dirname "$0")/.." "$WORK/copy"
cd "$WORK/copy" || exit 1
survived=0

# mutant NAME FILE SED-EXPRESSION TEST...
mutant() {
	name=$1
	git checkout -q .
	sed -i "$3" "$2"
	shift 3
	if git diff --quiet; then
		echo "FAILED $name: the expression changes nothing"
		survived=1
	elif ! make -s -j"$(nproc)" all tests >"$WORK/log" 2>&1; then
		echo "FAILED $name: does not build"
		survived=1
	elif "$@" >"$WORK/log" 2>&1; then
		echo "FAILED $name: the test passes without the mechanism"
		survived=1
	else
		echo "ok $name: $(grep -m 1 -E 'AssertionError|:F:' "$WORK/log")"
	fi
}

mutant "attempt ids not checked" daemon/entryd-attempt.c \
	's/if (strcmp(json_text(obj, "id", ""), attempt->stream) != 0) {/if (0) {/' \
	python3 tests/procs.py test_crossed_answers
mutant "leaving not heeded" decide/route.c \
	's/upstream->in_subset && upstream->state == UPSTREAM_LIVE/upstream->in_subset/;
	s/^\t       !upstream->leaving_notice;/\t       upstream->in_subset;/' \
	python3 tests/procs.py test_leaving_upstream
mutant "no drain" daemon/entryd.c \
	's/^\tentryd_stop(handle->data);/\tuv_stop(handle->loop);/' \
	python3 tests/procs.py test_graceful_stop
mutant "older revisions adopted" decide/store.c \
	's/if (item && item->mod >= mod) {/if (0) {/
	s/dec_assert(mod > item->mod, "an item.s revision only grows");//' \
	build/tests/unit
mutant "no hold" decide/replica-hold.c \
	's/if (replica_standby_name(replica)\[0\]) {/if (0) {/' \
	python3 tests/procs.py test_home_killed_in_stream
exit $survived
