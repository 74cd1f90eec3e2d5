/*
 * The formats of the messages between hosts, and of values in the store,
 * against files that a build has written: tests/golden/NAME.BUILD.hex. A format
 * that changes needs a new build (decide/build.c), whose files RW_GOLDEN=write
 * adds; what earlier builds have written must still be readable.
 */
#include <stdio.h>
#include <string.h>

#include "../decide/build.h"
#include "../decide/origin.h"
#include "../decide/seal.h"
#include "../decide/version.h"
#include "../wire/msg.h"
#include "../wire/sync.h"
#include "run.h"

#define GOLDEN "tests/golden"
#define BYTES_A_LINE 32

static char incarnation[] = "h1~0123abcd+5+4+3+2";
static char address[] = "10.0.0.1:7600";
static char worker[] = "w-1";
static char bytes[] = { 1, 2, 3, 4, 5 };

static w_update update = {
	.incarnation = incarnation,
	.http = (char *)"10.0.0.1:8221",
	.rpc = address,
	.data_centre = (char *)"z1",
	.state = 2,
	.seq = 3,
};

static w_mark mark = { .upstream = worker,
		       .leaving = 1,
		       .stamp = 0x1234567890 };

static const w_gossip gossip = {
	.kind = 1,
	.probe = 2,
	.target = incarnation,
	.settings = 0x1122334455667788,
	.hosts = 4,
	.updates = { 1, &update },
	.marks = { 1, &mark },
};

static w_attrs attrs = {
	.account = (char *)"t1",
	.target = (char *)"m1",
	.trace = (char *)"trace",
	.body = { sizeof(bytes), bytes },
	.model = 1,
	.idempotent = 0,
	.streaming = 1,
	.body_hash = 0x99,
};

static u_int ends[] = { 2, 5 };

static const w_home home = {
	.kind = 1,
	.from = incarnation,
	.to = incarnation,
	.home = incarnation,
	.epoch = 7,
	.id = (char *)"h1~0123abcd.1f-a",
	.want_grant = 1,
	.grant_no = 2,
	.copy = 0,
	.granted = 1,
	.attrs = &attrs,
	.time_left = -3,
	.upstream = worker,
	.stream = (char *)"s1",
	.first = 4,
	.pieces = { sizeof(bytes), bytes },
	.ends = { G_N_ELEMENTS(ends), ends },
	.ended = 1,
	.end_kind = 5,
	.end_status = 503,
	.verdict = 1,
	.acked = 6,
	.end_acked = 0,
};

static const w_sync_args sync_args = {
	.self = {
		.incarnation = incarnation,
		.http = address,
		.rpc = address,
		.data_centre = worker,
		.state = 1,
		.seq = 9,
	},
	.members = 1,
	.settings_after = 0x0102030405,
	.hosts_after = -1,
};

static w_item items[] = {
	{ .key = (char *)"a/b", .value = { sizeof(bytes), bytes }, .mod = 8 },
	{ .key = (char *)"a/c", .deleted = 1, .mod = 9 },
};

static const w_sync_res sync_res = {
	.updates = { 1, &update },
	.marks = { 1, &mark },
	.settings = { .full = 1,
		      .revision = 9,
		      .items = { G_N_ELEMENTS(items), items } },
	.hosts = { .revision = 0x1000000000 },
};

static const w_packed packed = { .size = 77, .data = { sizeof(bytes), bytes } };

static w_count count = { .window = 11, .account = worker, .count = 12 };
static w_demand demand = { .pool = worker, .busy = 1.5 };
static w_part spent = { .key = 0xdeadbeef, .value = -2.25 };
static w_part inflight = { .key = 1, .value = 3 };
static w_part prompts = { .key = 2, .value = 4e9 };

static const w_report report = {
	.process = incarnation,
	.full = 1,
	.counts = { 1, &count },
	.demand = { 1, &demand },
	.spent = { 1, &spent },
	.inflight = { 1, &inflight },
	.prompts = { 1, &prompts },
};

static const w_relay relay = {
	.process = incarnation,
	.heard = 63,
	.full = 1,
	.left = { 1, &spent },
	.inflight = { 1, &inflight },
	.prompts = { 1, &prompts },
};

static w_process_count process_count = {
	.process = incarnation,
	.count = { .window = 1, .account = worker, .count = 2 },
};

static const w_group group = {
	.process = incarnation,
	.reporting = 8,
	.full = 1,
	.spent = { 1, &spent },
	.inflight = { 1, &inflight },
	.prompts = { 1, &prompts },
	.demand = { 1, &demand },
	.counts = { 1, &process_count },
};

static const w_permit_ask permit_ask = {
	.process = incarnation,
	.worker = worker,
	.started_at = 1700000000000,
	.limit = 2.5,
	.seen = 1,
	.number = 3,
	.wanted = 4,
};

static const w_permit_grant permit_grant = {
	.process = incarnation,
	.worker = worker,
	.started_at = 1700000000000,
	.limit = -1,
	.number = 3,
	.count = 4,
	.wait = 12.5,
	.gap = 400,
	.retry = 5,
};

static w_origin origins[] = { { 0x8877665544332211, 0xfedcba98 }, { 1, 0 } };

static const w_origin_keep origin_keep = {
	.streams = { G_N_ELEMENTS(origins), origins },
};

static const w_origin_ask origin_ask = {
	.process = incarnation,
	.pool = worker,
	.stream = 0x8877665544332211,
};

static const w_origin_answer origin_answer = {
	.process = incarnation,
	.stream = { 0x8877665544332211, 0xfedcba98 },
	.versions = 2,
	.settled = 1,
};

static const w_full full = {
	.process = incarnation,
	.worker = worker,
	.count = 7,
};

static u_int silent[] = { 0xdeadbeef, 2 };

static const w_links links = {
	.process = incarnation,
	.pool = worker,
	.hears = 1,
	.workers = { G_N_ELEMENTS(silent), silent },
};

static w_speed speed = { 0xfedcba98, 2500, 3400 };

static const w_speeds speeds = {
	.process = incarnation,
	.scope = 1,
	.workers = { 1, &speed },
};

static u_int bucket_counts[] = { 0, 3, 0x01020304 };

static w_rollout_row rollout_rows[] = {
	{ "r1", 1, 9, 2, { G_N_ELEMENTS(bucket_counts), bucket_counts } },
	{ "r2/pace", 0, 0, 0, { 0, NULL } },
};

static const w_rollout rollout = {
	.process = incarnation,
	.service = worker,
	.order = "12-0123abcd",
	.phase = 1,
	.answer = 1,
	.rows = { G_N_ELEMENTS(rollout_rows), rollout_rows },
};

/* Each message, and result, of wire/msg.x. */
static const struct {
	const char *name;
	xdrproc_t proc;
	const void *sample;
	size_t size;
} messages[] = {
#define MESSAGE(name)                                                          \
	{                                                                      \
#name, (xdrproc_t)xdr_w_##name, &name, sizeof(name)            \
	}
	MESSAGE(gossip),	MESSAGE(home),	      MESSAGE(sync_args),
	MESSAGE(sync_res),	MESSAGE(packed),      MESSAGE(report),
	MESSAGE(relay),		MESSAGE(group),	      MESSAGE(permit_ask),
	MESSAGE(permit_grant),	MESSAGE(origin_keep), MESSAGE(origin_ask),
	MESSAGE(origin_answer), MESSAGE(full),	      MESSAGE(links),
	MESSAGE(speeds),	MESSAGE(rollout),
#undef MESSAGE
};

/* Files. */

static char *golden_path(const char *name, unsigned build)
{
	return g_strdup_printf(GOLDEN "/%s.%u.hex", name, build);
}

static GByteArray *golden_read(const char *name, unsigned build)
{
	char *path = golden_path(name, build);
	GByteArray *data = NULL;
	char *text = NULL;

	if (g_file_get_contents(path, &text, NULL, NULL)) {
		data = g_byte_array_new();
		for (const char *at = text; *at;) {
			int high = g_ascii_xdigit_value(at[0]);
			guint8 byte;

			if (*at == '\n') {
				at++;
				continue;
			}
			ck_assert_msg(high >= 0 && g_ascii_isxdigit(at[1]),
				      "%s: not hex", path);
			byte = (guint8)(high * 16 +
					g_ascii_xdigit_value(at[1]));
			g_byte_array_append(data, &byte, 1);
			at += 2;
		}
	}
	g_free(text);
	g_free(path);
	return data;
}

static void golden_write(const char *name, unsigned build,
			 const GByteArray *data)
{
	char *path = golden_path(name, build);
	GString *text = g_string_new(NULL);
	GError *error = NULL;

	for (guint i = 0; i < data->len; i++)
		g_string_append_printf(
			text, "%02x%s", data->data[i],
			(i + 1) % BYTES_A_LINE == 0 || i + 1 == data->len ? "\n"
									  : "");
	ck_assert_msg(g_file_set_contents(path, text->str, -1, &error), "%s",
		      error ? error->message : "");
	g_string_free(text, TRUE);
	g_free(path);
}

/* Returns the number of the last build that has changed a format; 0: none. */
static unsigned golden_newest(const char *name)
{
	for (unsigned build = build_own(); build > 0; build--) {
		GByteArray *data = golden_read(name, build);

		if (!data)
			continue;
		g_byte_array_unref(data);
		return build;
	}
	return 0;
}

/* Compares what this build writes with the newest file. */
static void golden_check(const char *name, const GByteArray *now)
{
	unsigned newest = golden_newest(name);
	GByteArray *golden = newest ? golden_read(name, newest) : NULL;
	bool same = golden && golden->len == now->len &&
		    !memcmp(golden->data, now->data, now->len);
	const char *mode = g_getenv("RW_GOLDEN");

	if (!same && mode && !strcmp(mode, "write") && newest < build_own()) {
		golden_write(name, build_own(), now);
		same = true;
	}
	ck_assert_msg(
		same,
		"the format of %s is not that of build %u any more: add a "
		"build to decide/build.c, then run with RW_GOLDEN=write",
		name, newest);
	if (golden)
		g_byte_array_unref(golden);
}

static GByteArray *message_encode(size_t i, const void *message)
{
	size_t size = xdr_sizeof(messages[i].proc, (void *)message);
	GByteArray *data = g_byte_array_sized_new((guint)size);
	XDR xdr;

	g_byte_array_set_size(data, (guint)size);
	xdrmem_create(&xdr, (char *)data->data, (u_int)size, XDR_ENCODE);
	ck_assert(messages[i].proc(&xdr, (void *)message));
	ck_assert_uint_eq(xdr_getpos(&xdr), size);
	xdr_destroy(&xdr);
	return data;
}

START_TEST(format_of_message_is_kept)
{
	GByteArray *now = message_encode((size_t)_i, messages[_i].sample);

	golden_check(messages[_i].name, now);
	g_byte_array_unref(now);
}
END_TEST

START_TEST(format_of_former_builds_is_read)
{
	unsigned read = 0;

	for (unsigned build = 1; build <= build_own(); build++) {
		GByteArray *data = golden_read(messages[_i].name, build);
		void *message;
		GByteArray *again;
		XDR xdr;

		if (!data)
			continue;
		message = g_malloc0(messages[_i].size);
		xdrmem_create(&xdr, (char *)data->data, data->len, XDR_DECODE);
		ck_assert_msg(messages[_i].proc(&xdr, message),
			      "%s of build %u", messages[_i].name, build);
		xdr_destroy(&xdr);
		again = message_encode((size_t)_i, message);
		ck_assert_uint_ge(again->len, data->len);
		g_byte_array_unref(again);
		xdr_free(messages[_i].proc, message);
		g_free(message);
		g_byte_array_unref(data);
		read++;
	}
	ck_assert_uint_gt(read, 0);
}
END_TEST

/* Each type of arguments and of results in wire/msg.x has a sample. */
START_TEST(format_of_each_procedure_is_checked)
{
	unsigned procedures = 0;
	char *text = NULL;
	char **lines;

	ck_assert(g_file_get_contents("wire/msg.x", &text, NULL, NULL));
	lines = g_strsplit(text, "\n", 0);
	for (char **line = lines; *line; line++) {
		char result[64];
		char name[64];
		char args[64];
		const char *types[] = { result, args };

		if (sscanf(*line, " %63[a-z_] RW_%63[A-Z_](%63[a-z_]) =",
			   result, name, args) != 3)
			continue;
		procedures++;
		for (size_t i = 0; i < G_N_ELEMENTS(types); i++) {
			bool found = !strcmp(types[i], "void");

			for (size_t j = 0; j < G_N_ELEMENTS(messages); j++)
				found |= !strcmp(types[i] + strlen("w_"),
						 messages[j].name);
			ck_assert_msg(found, "no sample of %s", types[i]);
		}
	}
	ck_assert_uint_ge(procedures, 13);
	g_strfreev(lines);
	g_free(text);
}
END_TEST

/* A compressed result that a former build has sent. Its bytes differ between
 * versions of zlib. */
START_TEST(format_of_packed_result_is_read)
{
	GByteArray *data = golden_read("packed_res", 5);
	w_packed message = { .size = 0 };
	w_sync_res res = { .updates.updates_len = 0 };
	GByteArray *plain = g_byte_array_new();
	GByteArray *want = golden_read("sync_res", 5);
	XDR xdr;

	if (!data && g_getenv("RW_GOLDEN")) {
		sync_pack(&sync_res, &message);
		data = g_byte_array_new();
		g_byte_array_set_size(
			data,
			(guint)xdr_sizeof((xdrproc_t)xdr_w_packed, &message));
		xdrmem_create(&xdr, (char *)data->data, data->len, XDR_ENCODE);
		ck_assert(xdr_w_packed(&xdr, &message));
		golden_write("packed_res", 5, data);
		return;
	}
	ck_assert_ptr_nonnull(data);
	xdrmem_create(&xdr, (char *)data->data, data->len, XDR_DECODE);
	ck_assert(xdr_w_packed(&xdr, &message));
	ck_assert(sync_unpack(&message, &res));
	g_byte_array_set_size(
		plain, (guint)xdr_sizeof((xdrproc_t)xdr_w_sync_res, &res));
	xdrmem_create(&xdr, (char *)plain->data, plain->len, XDR_ENCODE);
	ck_assert(xdr_w_sync_res(&xdr, &res));
	ck_assert_uint_eq(plain->len, want->len);
	ck_assert(!memcmp(plain->data, want->data, want->len));
	xdr_free((xdrproc_t)xdr_w_packed, &message);
	xdr_free((xdrproc_t)xdr_w_sync_res, &res);
	g_byte_array_unref(plain);
	g_byte_array_unref(want);
	g_byte_array_unref(data);
}
END_TEST

/* Values in the store. */

static void row_append(void *ctx, uint64_t stream, uint32_t version)
{
	struct origin_row row = { stream, version };

	g_array_append_val((GArray *)ctx, row);
}

START_TEST(format_of_stored_streams_is_kept)
{
	static const struct origin_row rows[] = {
		{ 0x0123456789abcdef, 0xfedcba98 },
		{ 1, 2 },
	};
	GString *text = origin_rows_print(rows, G_N_ELEMENTS(rows));
	GByteArray *data = g_byte_array_new();
	GArray *read = g_array_new(FALSE, FALSE, sizeof(struct origin_row));

	g_byte_array_append(data, (guint8 *)text->str, (guint)text->len);
	golden_check("stored_streams", data);
	ck_assert(origin_rows_parse(text->str, text->len, row_append, read));
	ck_assert_uint_eq(read->len, G_N_ELEMENTS(rows));
	ck_assert_uint_eq(g_array_index(read, struct origin_row, 0).stream,
			  rows[0].stream);
	g_array_unref(read);
	g_byte_array_unref(data);
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(format_of_stored_versions_is_kept)
{
	struct version rows[] = { { 0xfedcba98, 0 }, { 7, 1700000000000 } };
	GArray *versions = g_array_new(FALSE, FALSE, sizeof(*rows));
	GByteArray *data = g_byte_array_new();
	GString *text;
	GArray *read;

	g_array_append_vals(versions, rows, G_N_ELEMENTS(rows));
	text = version_print(versions);
	g_byte_array_append(data, (guint8 *)text->str, (guint)text->len);
	golden_check("stored_versions", data);
	read = version_parse(text->str, text->len);
	ck_assert_ptr_nonnull(read);
	ck_assert_uint_eq(read->len, G_N_ELEMENTS(rows));
	g_array_unref(read);
	g_array_unref(versions);
	g_byte_array_unref(data);
	g_string_free(text, TRUE);
}
END_TEST

START_TEST(format_of_stored_usage_record_is_kept)
{
	char *text = seal_record_print(3, 353445120);
	GByteArray *data = g_byte_array_new();
	int64_t era;
	int64_t from;

	g_byte_array_append(data, (guint8 *)text, (guint)strlen(text));
	golden_check("stored_usage_record", data);
	ck_assert(seal_record_parse(text, strlen(text), &era, &from));
	ck_assert_int_eq(era, 3);
	ck_assert_int_eq(from, 353445120);
	ck_assert(!seal_record_parse(text, strlen(text) - 10, &era, &from));
	ck_assert(!seal_record_parse("era=3 from=1x", 13, &era, &from));
	g_byte_array_unref(data);
	g_free(text);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("unit_format");
	TCase *tcase = tcase_create("format");

	tcase_add_loop_test(tcase, format_of_message_is_kept, 0,
			    G_N_ELEMENTS(messages));
	tcase_add_loop_test(tcase, format_of_former_builds_is_read, 0,
			    G_N_ELEMENTS(messages));
	tcase_add_test(tcase, format_of_each_procedure_is_checked);
	tcase_add_test(tcase, format_of_packed_result_is_read);
	tcase_add_test(tcase, format_of_stored_streams_is_kept);
	tcase_add_test(tcase, format_of_stored_versions_is_kept);
	tcase_add_test(tcase, format_of_stored_usage_record_is_kept);
	suite_add_tcase(suite, tcase);
	return run_suite(suite, "unit_format");
}
