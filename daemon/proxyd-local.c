/* The host's own HTTP endpoints: address resolution, readiness, metrics. */
#include "proxyd.h"

#include <string.h>

#include "../wire/budget.h"

#define ADDRESSES_MAX 64 /* in one reply */
#define HOSTS_PATH "/hosts"
#define BUILD_LISTED_MAX 64 /* later builds are counted as this one */

/* Whether this host accepts requests of callers. */
static bool is_ready(const struct proxyd *proxyd)
{
	return follow_ready(proxyd) && !proxyd->stopping;
}

static void reply_addresses(struct proxyd *proxyd, struct hs_request *call)
{
	char *addresses[ADDRESSES_MAX];
	const GPtrArray *order = proxyd->members->order;
	size_t count = 0;

	if (is_ready(proxyd))
		addresses[count++] = proxyd->conf->front;
	for (guint i = 0; i < order->len && count < ADDRESSES_MAX; i++) {
		struct member *member = g_ptr_array_index(order, i);

		if (member->info.state == MEMBER_ALIVE)
			addresses[count++] = member->info.http;
	}
	slog(SLOG_INFO, "lookup", "hosts=%zu", count);
	if (count == 0)
		hs_response_send(call, 503, NULL, "", 0);
	else
		endpoint_reply_addresses(
			call, addresses, count,
			(clk_ms)(proxyd->conf->lookup_keep_s * CLK_SECOND));
}

void local_on_request(void *ctx, struct hs_request *call)
{
	struct proxyd *proxyd = ctx;

	switch (endpoint_match(call)) {
	case ENDPOINT_RESOLUTION:
		reply_addresses(proxyd, call);
		return;
	case ENDPOINT_READINESS:
		endpoint_reply_readiness(call, is_ready(proxyd));
		return;
	case ENDPOINT_NONE:
		hs_response_send(call, 404, NULL, "", 0);
		return;
	}
}

static void host_print(const struct member_update *host, GString *text)
{
	g_string_append_printf(
		text, "host=%s address=%s data_centre=%s state=%s build=%u\n",
		host->incarnation, host->http, host->data_centre,
		member_state_name(host->state),
		build_number(host->incarnation));
}

/* Lists the hosts that this one knows, itself first. */
static GString *hosts_print(const struct proxyd *proxyd)
{
	const GPtrArray *order = proxyd->members->order;
	GString *text = g_string_new(NULL);

	host_print(&proxyd->members->self, text);
	for (guint i = 0; i < order->len; i++) {
		const struct member *member = g_ptr_array_index(order, i);

		host_print(&member->info, text);
	}
	return text;
}

/* Prints this host's build, and how many hosts of each one serve. */
static void builds_print(const struct proxyd *proxyd, GString *text)
{
	const GPtrArray *order = proxyd->members->order;
	unsigned counts[BUILD_LISTED_MAX + 1] = { 0 };

	counts[MIN(build_own(), BUILD_LISTED_MAX)] +=
		proxyd->members->self.state == MEMBER_ALIVE;
	for (guint i = 0; i < order->len; i++) {
		const struct member *member = g_ptr_array_index(order, i);
		unsigned number = build_number(member->info.incarnation);

		if (member->info.state == MEMBER_ALIVE)
			counts[MIN(number, BUILD_LISTED_MAX)]++;
	}
	g_string_append_printf(text, "build %u\n", build_own());
	for (unsigned i = 0; i <= BUILD_LISTED_MAX; i++)
		if (counts[i] > 0)
			g_string_append_printf(text, "hosts_of_build_%u %u\n",
					       i, counts[i]);
}

static void text_reply(struct hs_request *call, GString *text)
{
	hs_response_send(call, 200, "Content-Type: text/plain\r\n", text->str,
			 text->len);
	g_string_free(text, TRUE);
}

/* Counts the workers whose speed differs from most of their pool. */
static void ratios_print(const struct proxyd *proxyd, GString *text)
{
	unsigned slow = 0;
	unsigned fast = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, proxyd->fleet->workers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		slow += fleet_speed_ratio(value) > 1;
		fast += fleet_speed_ratio(value) < 1;
	}
	g_string_append_printf(text, "workers_slow %u\nworkers_fast %u\n", slow,
			       fast);
}

/* Prints the measured speed of pools. */
static void speeds_print(const struct proxyd *proxyd, GString *text)
{
	GHashTableIter iter;
	gpointer pool;
	gpointer value;

	g_hash_table_iter_init(&iter, proxyd->fleet->speeds);
	while (g_hash_table_iter_next(&iter, &pool, &value)) {
		const struct speed *speed = value;

		g_string_append_printf(text,
				       "speed_fixed_ms{pool=\"%s\"} %.2f\n"
				       "speed_token_us{pool=\"%s\"} %.3f\n"
				       "speed_pair_ms{pool=\"%s\"} %.4f\n"
				       "speed_used{pool=\"%s\"} %d\n",
				       (char *)pool, speed->fit.fixed_ms,
				       (char *)pool, speed->fit.token_ms * 1000,
				       (char *)pool, speed->fit.pair_ms,
				       (char *)pool, speed->differs);
	}
}

void local_on_metrics(void *ctx, struct hs_request *call)
{
	struct proxyd *proxyd = ctx;
	struct http_view path = hs_request_path(call);
	GString *text;

	if (path.len == strlen(HOSTS_PATH) &&
	    !memcmp(path.ptr, HOSTS_PATH, path.len)) {
		text_reply(call, hosts_print(proxyd));
		return;
	}
	text = ctr_print(&proxyd->ctrs);

	hist_print(&proxyd->placed_ms, "placed_ms", text);
	hist_print(&proxyd->first_ms, "first_ms", text);
	hist_print(&proxyd->list_ages, "list_age_ms", text);
	hist_print(&proxyd->whole_ms, "whole_ms", text);
	g_string_append_printf(
		text,
		"hosts_reporting %u\nduty_fence %" G_GINT64_FORMAT
		"\nrequests_open %u\nhosts_live %u\n"
		"config_revision %" G_GINT64_FORMAT "\nworkers %u\n",
		relay_hosts_reporting(proxyd) - 1,
		lease_token(&proxyd->leader_lease),
		g_hash_table_size(proxyd->open_requests),
		proxyd_host_count(proxyd),
		kv_revision_plain(proxyd->tab_revision),
		g_hash_table_size(proxyd->fleet->workers));
	speeds_print(proxyd, text);
	ratios_print(proxyd, text);
	budget_print(text);
	builds_print(proxyd, text);
	text_reply(call, text);
}
