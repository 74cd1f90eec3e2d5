/*
 * Tests of what outlives a restore of the store: calls that name a lease or a
 * revision, the leader's lease, and usage windows.
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "../decide/lease.h"
#include "../decide/seal.h"
#include "../platform/kv.h"
#include "../wire/hs.h"
#include "run.h"

#define WAIT_MS 3000
#define ERA(era) (INT64_C(era) << 40) /* of a revision */
#define CALL_RENEW 'r'
#define CALL_REVOKE 'v'
#define CALL_WRITE 'w'

/* Calls to the store. */

/* A store that answers all calls alike, and its client. */
struct rig {
	uv_loop_t loop;
	struct hs *server;
	struct kv *kv;
	int status;
	int64_t era;
	unsigned served;
	bool done;
	enum kv_outcome outcome;
	struct kv_lease lease;
	unsigned eras;
	unsigned restores;
};

static void on_request(void *ctx, struct hs_request *request)
{
	static const char body[] = "{\"lease\":7,\"ttl_ms\":1,\"revision\":9}";
	struct rig *rig = ctx;
	char header[32];

	rig->served++;
	g_snprintf(header, sizeof(header), "Store-Era: %d\r\n", (int)rig->era);
	hs_response_send(request, rig->status, header, body, sizeof(body) - 1);
}

static void on_number(void *ctx, enum kv_outcome outcome, int64_t number)
{
	struct rig *rig = ctx;

	(void)number;
	rig->outcome = outcome;
	rig->done = true;
}

static void on_lease(void *ctx, enum kv_outcome outcome, struct kv_lease lease)
{
	((struct rig *)ctx)->lease = lease;
	on_number(ctx, outcome, 0);
}

static void on_era(void *ctx, bool restored)
{
	struct rig *rig = ctx;

	rig->eras++;
	rig->restores += restored;
	ck_assert(!rig->done); /* before the callback of the call */
}

static struct rig *rig_start(void)
{
	static const struct hc_options client = {
		.connect_timeout = 500,
		.idle_timeout = 1000,
		.peer_timeout = 1000,
	};
	struct rig *rig = g_new0(struct rig, 1);
	struct hs_options options = {
		.limits = {
			.head_max = 4096,
			.body_max = 4096,
			.head_timeout = 1000,
			.idle_timeout = 1000,
			.in_flight_max = 64,
		},
		.on_request = on_request,
		.ctx = rig,
	};
	char address[32];
	int port = 24000 + getpid() % 8000;

	uv_loop_init(&rig->loop);
	for (; !rig->server; port++) {
		GError *error = NULL;

		g_snprintf(address, sizeof(address), "127.0.0.1:%d", port);
		options.address = address;
		rig->server = hs_create(&rig->loop, &options, &error);
		g_clear_error(&error);
	}
	rig->status = 200;
	rig->era = 4;
	rig->kv =
		kv_create(&rig->loop, hc_create(&rig->loop, &client), address);
	kv_use_eras(rig->kv);
	kv_set_era_fn(rig->kv, on_era, rig);
	return rig;
}

/* Runs the loop until the call has ended. */
static void rig_wait(struct rig *rig)
{
	clk_ms end = (clk_ms)(uv_hrtime() / 1000000) + WAIT_MS;

	while (!rig->done && (clk_ms)(uv_hrtime() / 1000000) < end)
		uv_run(&rig->loop, UV_RUN_ONCE);
	ck_assert(rig->done);
	rig->done = false;
}

static void rig_grant(struct rig *rig)
{
	kv_lease_grant(rig->kv, 3000, on_lease, rig);
	rig_wait(rig);
}

/* A call with a lease or revision of era 4. It is made after the restore is
 * known, or meets the restored store first. */
static const struct kv_row {
	const char *what;
	char call;
	bool lease;
	int64_t expected;
	bool restored;
	bool known;
	int status;
	enum kv_outcome outcome;
	unsigned served;
} kv_rows[] = {
	{ "renewal", CALL_RENEW, true, 0, false, false, 200, KV_OK, 1 },
	{ "renewal of a lease that ended", CALL_RENEW, true, 0, false, false,
	  404, KV_NOT_FOUND, 1 },
	{ "renewal meets the restored store", CALL_RENEW, true, 0, true, false,
	  200, KV_NOT_FOUND, 1 },
	{ "renewal after a restore", CALL_RENEW, true, 0, true, true, 200,
	  KV_NOT_FOUND, 0 },
	{ "write", CALL_WRITE, false, ERA(4) + 9, false, false, 200, KV_OK, 1 },
	{ "write meets the restored store", CALL_WRITE, false, ERA(4) + 9, true,
	  false, 200, KV_UNKNOWN, 1 },
	{ "refused write meets it", CALL_WRITE, false, ERA(4) + 9, true, false,
	  412, KV_CONFLICT, 1 },
	{ "write after a restore", CALL_WRITE, false, ERA(4) + 9, true, true,
	  200, KV_CONFLICT, 0 },
	{ "write with a lease", CALL_WRITE, true, 0, false, false, 200, KV_OK,
	  1 },
	{ "write with a lease meets the restored store", CALL_WRITE, true, 0,
	  true, false, 200, KV_UNKNOWN, 1 },
	{ "write with a lease after a restore", CALL_WRITE, true, 0, true, true,
	  200, KV_NOT_FOUND, 0 },
	{ "write with both after a restore", CALL_WRITE, true, ERA(4) + 9, true,
	  true, 200, KV_NOT_FOUND, 0 },
	{ "write that names neither", CALL_WRITE, false, 0, true, true, 200,
	  KV_OK, 1 },
	{ "revocation after a restore", CALL_REVOKE, true, 0, true, true, 200,
	  KV_OK, 0 },
};

/* Guards against a lease or a revision that the restored store has given to
 * another process being taken for this one's. */
START_TEST(kv_calls_hold_in_one_era)
{
	const struct kv_row *row = &kv_rows[_i];
	struct rig *rig = rig_start();
	struct kv_lease lease;

	rig_grant(rig);
	lease = rig->lease;
	ck_assert(kv_lease_is_valid(rig->kv, &lease));
	rig->era += row->restored;
	if (row->known) {
		rig_grant(rig);
		ck_assert(!kv_lease_is_valid(rig->kv, &lease));
		ck_assert(kv_lease_is_valid(rig->kv, &rig->lease));
	}
	rig->served = 0;
	rig->status = row->status;
	switch (row->call) {
	case CALL_RENEW:
		kv_lease_renew(rig->kv, &lease, on_number, rig);
		break;
	case CALL_REVOKE:
		kv_lease_revoke(rig->kv, &lease);
		rig->done = true;
		break;
	default:
		kv_change(rig->kv,
			  &(struct kv_change){
				  .key = "key",
				  .value = "value",
				  .lease = row->lease ? lease
						      : (struct kv_lease){ 0 },
				  .expected_revision = row->expected,
			  },
			  on_number, rig);
	}
	rig_wait(rig);
	ck_assert_msg(rig->outcome == row->outcome, "%s: %d", row->what,
		      rig->outcome);
	ck_assert_msg(rig->served == row->served, "%s: %u calls", row->what,
		      rig->served);
	ck_assert_uint_eq(rig->eras, 1 + row->restored);
	ck_assert_uint_eq(rig->restores, row->restored);
}
END_TEST

/* The leader's lease. */

enum lease_event {
	ERA,	  /* the store begins an era; arg: how long to wait */
	LED,	  /* another host has led in it */
	KEY_FREE, /* the key is missing, or only the copy's */
	KEY_OURS,
	KEY_OTHERS,
	REQUEST,      /* a lease is due; it is granted with id arg */
	WAIT,	      /* no call is due */
	CLAIM,	      /* the key is written with revision arg */
	CLAIM_LOST,   /* another host was first */
	RENEW,	      /* the lease is due for renewal, which succeeds */
	RENEW_FAILED, /* it is due, and there is no response */
	RESIGN,
	ACTS, /* the host acts under token arg; 0: it does not */
};

#define LEASE_STEPS 16

static const struct lease_row {
	const char *what;
	struct {
		clk_ms at;
		enum lease_event event;
		int64_t arg;
	} steps[LEASE_STEPS];
} lease_rows[] = {
	{ "the leader acts on and claims the key at once",
	  { { 0, KEY_FREE, 0 },
	    { 300, REQUEST, 7 },
	    { 310, CLAIM, 42 },
	    { 1400, RENEW, 0 },
	    { 1500, ERA, 3000 },
	    { 1510, ACTS, 42 },
	    { 1510, WAIT, 0 },
	    { 1600, KEY_FREE, 0 },
	    { 1610, REQUEST, 8 },
	    { 1615, ACTS, 42 },
	    { 1620, CLAIM, 99 },
	    { 1630, ACTS, 99 },
	    { 2700, RENEW, 0 },
	    { 5050, ACTS, 99 } } },
	{ "it stops when its former lease could expire",
	  { { 0, KEY_FREE, 0 },
	    { 300, REQUEST, 7 },
	    { 310, CLAIM, 42 },
	    { 1400, RENEW, 0 },
	    { 1500, ERA, 3000 },
	    { 3790, ACTS, 42 },
	    { 3810, ACTS, 0 },
	    { 3820, KEY_FREE, 0 },
	    { 4100, WAIT, 0 },
	    { 4510, REQUEST, 8 },
	    { 4520, CLAIM, 99 },
	    { 4530, ACTS, 99 } } },
	{ "a lease that may have expired is not kept",
	  { { 0, KEY_FREE, 0 },
	    { 300, REQUEST, 7 },
	    { 310, CLAIM, 42 },
	    { 1400, RENEW_FAILED, 0 },
	    { 2800, ACTS, 0 },
	    { 2900, ERA, 3000 },
	    { 2910, ACTS, 0 },
	    { 2920, KEY_FREE, 0 },
	    { 5800, WAIT, 0 },
	    { 5910, REQUEST, 8 },
	    { 5920, CLAIM, 99 },
	    { 5930, ACTS, 99 } } },
	{ "another host's key ends what was kept",
	  { { 0, KEY_FREE, 0 },
	    { 300, REQUEST, 7 },
	    { 310, CLAIM, 42 },
	    { 1400, RENEW, 0 },
	    { 1500, ERA, 3000 },
	    { 1600, KEY_OTHERS, 0 },
	    { 1610, ACTS, 0 },
	    { 5000, WAIT, 0 },
	    { 6000, KEY_FREE, 0 },
	    { 6100, WAIT, 0 },
	    { 6200, REQUEST, 8 } } },
	{ "another host was first",
	  { { 0, KEY_FREE, 0 },
	    { 300, REQUEST, 7 },
	    { 310, CLAIM, 42 },
	    { 1500, ERA, 3000 },
	    { 1600, KEY_FREE, 0 },
	    { 1610, REQUEST, 8 },
	    { 1620, CLAIM_LOST, 0 },
	    { 1630, ACTS, 42 },
	    { 1640, KEY_OTHERS, 0 },
	    { 1650, ACTS, 0 } } },
	{ "a second restore before the key is claimed",
	  { { 0, KEY_FREE, 0 },
	    { 300, REQUEST, 7 },
	    { 310, CLAIM, 42 },
	    { 1400, RENEW, 0 },
	    { 1500, ERA, 3000 },
	    { 1600, ERA, 3000 },
	    { 1610, ACTS, 42 },
	    { 1700, KEY_FREE, 0 },
	    { 1710, REQUEST, 8 },
	    { 1720, CLAIM, 99 },
	    { 1730, ACTS, 99 } } },
	{ "a second restore after it",
	  { { 0, KEY_FREE, 0 },
	    { 300, REQUEST, 7 },
	    { 310, CLAIM, 42 },
	    { 1500, ERA, 3000 },
	    { 1600, KEY_FREE, 0 },
	    { 1610, REQUEST, 8 },
	    { 1620, CLAIM, 99 },
	    { 1700, ERA, 3000 },
	    { 1710, ACTS, 99 },
	    { 3990, ACTS, 99 },
	    { 4020, ACTS, 0 } } },
	{ "a claim of the era before is given up",
	  { { 0, KEY_FREE, 0 },
	    { 300, REQUEST, 7 },
	    { 305, ERA, 3000 },
	    { 310, CLAIM, 42 },
	    { 320, ACTS, 0 },
	    { 330, KEY_FREE, 0 },
	    { 3300, WAIT, 0 },
	    { 3310, REQUEST, 8 } } },
	{ "others wait until the former leader has stopped",
	  { { 0, KEY_OTHERS, 0 },
	    { 1000, ERA, 3000 },
	    { 1100, KEY_FREE, 0 },
	    { 3900, WAIT, 0 },
	    { 4000, REQUEST, 8 } } },
	{ "others need not wait once somebody has led",
	  { { 0, KEY_OTHERS, 0 },
	    { 1000, ERA, 3000 },
	    { 1100, KEY_FREE, 0 },
	    { 1200, LED, 0 },
	    { 1250, WAIT, 0 },
	    { 1310, REQUEST, 8 } } },
	{ "the key of the era before is forgotten",
	  { { 0, KEY_FREE, 0 },
	    { 100, ERA, 0 },
	    { 5000, WAIT, 0 },
	    { 5100, KEY_FREE, 0 },
	    { 5310, REQUEST, 8 } } },
	{ "who resigns keeps nothing",
	  { { 0, KEY_FREE, 0 },
	    { 300, REQUEST, 7 },
	    { 310, CLAIM, 42 },
	    { 1500, ERA, 3000 },
	    { 1510, RESIGN, 0 },
	    { 1520, ACTS, 0 } } },
};

static void lease_step(struct lease *lease, const struct lease_row *row,
		       int number, clk_ms at, enum lease_event event,
		       int64_t arg)
{
	static const enum lease_action due[] = {
		[REQUEST] = LEASE_ACT_REQUEST,
		[WAIT] = LEASE_ACT_NONE,
		[RENEW] = LEASE_ACT_RENEW,
		[RENEW_FAILED] = LEASE_ACT_RENEW,
	};

	if (event == REQUEST || event == WAIT || event == RENEW ||
	    event == RENEW_FAILED)
		ck_assert_msg(lease_tick(lease, 0, true, at) == due[event],
			      "%s: step %d", row->what, number);
	switch (event) {
	case ERA:
		lease_on_era(lease, arg, at);
		break;
	case LED:
		lease_on_led(lease);
		break;
	case KEY_FREE:
		lease_on_key(lease, false, false, at);
		break;
	case KEY_OURS:
	case KEY_OTHERS:
		lease_on_key(lease, true, event == KEY_OURS, at);
		break;
	case REQUEST:
		lease_on_grant(lease, true, arg, at);
		break;
	case CLAIM:
	case CLAIM_LOST:
		lease_on_claim(lease, event == CLAIM, arg, at);
		break;
	case RENEW:
	case RENEW_FAILED:
		lease_on_renewal(lease, event == RENEW, false, at);
		break;
	case RESIGN:
		lease_resign(lease, at);
		break;
	case ACTS:
		ck_assert_msg(lease_may_act(lease, at) == (arg > 0) &&
				      (!arg || lease_token(lease) == arg),
			      "%s: step %d", row->what, number);
		break;
	case WAIT:
		break;
	}
}

/* Guards against two hosts that lead at once, or none, after a restore. */
START_TEST(lease_holds_in_one_era)
{
	const struct lease_row *row = &lease_rows[_i];
	struct lease lease;

	lease_init(&lease, 3000);
	for (int i = 0; i < LEASE_STEPS; i++)
		if (i == 0 || row->steps[i].at > 0)
			lease_step(&lease, row, i, row->steps[i].at,
				   row->steps[i].event, row->steps[i].arg);
}
END_TEST

/* Usage windows. */

/* What a host knows as it becomes the leader in era 2, of windows 1 to 9. */
static const struct seal_row {
	const char *what;
	bool before;	      /* it was there before the restore */
	bool followed;	      /* and followed the store until then */
	int64_t record;	      /* of era 2; 0: none */
	int64_t sealed;	      /* a window whose seal it has read */
	int64_t next;	      /* first window that begins after it knew era 2 */
	int64_t counted_from; /* SEAL_NEVER: none */
	int64_t first;	      /* that it may report without a seal */
} seal_rows[] = {
	{ "it has followed the store", true, true, 0, 5, 7, SEAL_NEVER, 1 },
	{ "it has started since", false, false, 0, 5, 7, SEAL_NEVER, 7 },
	{ "the record is of before", false, false, 3, 5, 7, SEAL_NEVER, 3 },
	{ "the record is of after", false, false, 9, 5, 7, SEAL_NEVER, 7 },
	{ "it was cut off from the store", true, false, 0, 5, 7, SEAL_NEVER,
	  7 },
	{ "it has counted on meanwhile", true, false, 0, 5, 7, 2, 2 },
	{ "it has counted only since", true, false, 0, 5, 7, 8, 7 },
	{ "it has followed, the record is of after", true, true, 9, 5, 7, 8,
	  1 },
};

/* Guards against two reports of a window with different counts, and against
 * windows without a report although their counts are known. */
START_TEST(seal_tells_what_may_be_reported)
{
	const struct seal_row *row = &seal_rows[_i];
	struct seals seals;

	seal_init(&seals);
	ck_assert_int_eq(seal_first(&seals, SEAL_NEVER), SEAL_NEVER);
	if (row->before) {
		seal_on_era(&seals, false, 1);
		seal_put(&seals, row->sealed, "{\"a\":1}", 7);
	}
	seal_on_era(&seals, row->followed, row->next);
	if (row->record)
		seal_on_record(&seals, row->record);
	ck_assert_msg(seal_first(&seals, row->counted_from) == row->first,
		      "%s: %d", row->what,
		      (int)seal_first(&seals, row->counted_from));
	for (int64_t window = 1; window < 10; window++)
		ck_assert((seal_counts(&seals, window) != NULL) ==
			  (row->before && window == row->sealed));
	seal_put(&seals, 6, "{}x", 2);
	ck_assert_str_eq(seal_counts(&seals, 6), "{}");
	seal_expire(&seals, 6);
	ck_assert_ptr_null(seal_counts(&seals, 5));
	ck_assert_ptr_nonnull(seal_counts(&seals, 6));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("unit_drill");
	TCase *tcase = tcase_create("drill");

	tcase_add_loop_test(tcase, kv_calls_hold_in_one_era, 0,
			    G_N_ELEMENTS(kv_rows));
	tcase_add_loop_test(tcase, lease_holds_in_one_era, 0,
			    G_N_ELEMENTS(lease_rows));
	tcase_add_loop_test(tcase, seal_tells_what_may_be_reported, 0,
			    G_N_ELEMENTS(seal_rows));
	suite_add_tcase(suite, tcase);
	return run_suite(suite, "unit_drill");
}
