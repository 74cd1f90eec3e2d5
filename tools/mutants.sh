#!/bin/bash
# Mutation tests: removes one mechanism at a time in a scratch clone and runs
# the test that must then fail. Exits with 1 if one of them passes.
set -u
WORK=$(mktemp -d)
trap 'rm -rf "$WORK"' EXIT
git clone -q "$(dirname "$0")/.." "$WORK/copy"
cd "$WORK/copy" || exit 1
survived=0

# mutant NAME FILE SED-EXPRESSION TEST...: applies the expression to the file,
# builds, and checks that the test fails.
mutant() {
	name=$1
	git checkout -q .
	sed -i "$3" "$2"
	shift 3
	if git diff --quiet; then
		echo "FAILED $name: the sed expression changes nothing"
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

mutant "attempt ids are not checked" daemon/entryd-attempt.c \
	's/if (strcmp(json_text(obj, "id", ""), attempt->stream) != 0) {/if (0) {/' \
	python3 tests/procs.py test_corrupted_streams
mutant "leaving upstreams get new work" decide/route.c \
	's/upstream->in_subset && upstream->state == UPSTREAM_LIVE/upstream->in_subset/;
	s/^\t       !upstream->leaving_notice;/\t       upstream->in_subset;/' \
	python3 tests/procs.py test_leaving_upstream
mutant "streams go on at any version" decide/fleet.c \
	's/return request->version == 0 ||$/return request->version != 1 ||/' \
	build/tests/unit-proxy
mutant "no host keeps another one's streams" decide/origin.c \
	's/^\tif (versions < 2)/\tif (versions < 9)/' build/tests/sim-origin
mutant "hosts that have just started vouch for a version" decide/origin.c \
	's/^\tquestion->settled += answer->settled;/\tquestion->settled++;/' \
	build/tests/sim-origin
mutant "streams are not passed on when a second version comes" \
	tests/sim-origin.c 's/if (several \&\& !host->several)/if (0)/' \
	build/tests/sim-origin
mutant "a worker is silent by the target alone" decide/links.c \
	's/if (target == 0)$/if (target >= 0)/
	s/^\t\treturn SILENT_MS;/\t\treturn MAX(target, SILENT_MS);/' \
	build/tests/sim-links
mutant "a relay that is behind makes a list complete" decide/age.c \
	's/if (now - first->at < AHEAD_MS)/if (0)/' build/tests/unit-proxy
mutant "a request that waits for its connection goes to a leaving worker" \
	daemon/proxyd-attempt.c \
	's/^\treturn !(worker->entry.leaving ||/\treturn worker->key || !(worker->entry.leaving ||/' \
	python3 tests/proxy.py test_proxy_leaving_worker_while_connecting
mutant "a call that waits for its connection is made by a former leader" \
	platform/cloud.c \
	's/return leader->may_act(leader->ctx, leader->fencing_token);/return leader->may_act;/' \
	build/tests/platform
mutant "no drain on SIGTERM" daemon/entryd.c \
	's/^\tentryd_stop(handle->data);/\tuv_stop(handle->loop);/' \
	python3 tests/procs.py test_graceful_stop
mutant "older revisions are stored" decide/store.c \
	's/if (item && item->mod >= mod) {/if (0) {/
	s/dec_assert(mod > item->mod, "an item.s revision only grows");//' \
	build/tests/unit
mutant "no hold at the standby" decide/replica-hold.c \
	's/if (replica_standby_name(replica)\[0\]) {/if (0) {/' \
	python3 tests/procs.py test_primary_killed_in_stream
exit $survived
