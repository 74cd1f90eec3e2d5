/* The host's own HTTP endpoints: address resolution, readiness, metrics. */
#include "proxyd.h"

#include <string.h>

#define ADDRESSES_MAX 64 /* in one reply */

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

void local_on_metrics(void *ctx, struct hs_request *call)
{
	struct proxyd *proxyd = ctx;
	GString *text = ctr_print(&proxyd->ctrs);

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
		proxyd->leader_lease.fencing_token,
		g_hash_table_size(proxyd->open_requests),
		proxyd_host_count(proxyd),
		kv_revision_plain(proxyd->tab_revision),
		g_hash_table_size(proxyd->fleet->workers));
	hs_response_send(call, 200, "Content-Type: text/plain\r\n", text->str,
			 text->len);
	g_string_free(text, TRUE);
}
