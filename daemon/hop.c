/* Requests forwarded to another host. */
#include "hop.h"

#include <string.h>

#define HOSTS_MAX 1024 /* that are considered */
#define HOSTS_ASKED 3  /* for one request */
/* How long a host that has not accepted a request is not asked again. */
#define AVOID_MS 500
#define AVOID_FAILED_MS 2000 /* the same after a failure */
#define IDLE_MS 10000	     /* unused connections between hosts */

/* A host that was asked before. */
struct hop_peer {
	char *address;
	struct hc_peer *http;
	clk_ms avoid_until;
	bool listed; /* by the last hop_tick */
};

struct hop {
	struct hop_options options;
	struct hc *client;
	GHashTable *peers; /* address -> struct hop_peer */
};

struct hop_call {
	struct hop *hop;
	struct hop_spec spec;
	char *head;
	char *id;
	char address[MEMBER_ADDRESS_MAX]; /* of the host asked last */
	struct hc_request *http;
	unsigned asked; /* hosts */
	bool rejected;	/* by the host that was asked last */
};

static void peer_free(void *ptr)
{
	struct hop_peer *peer = ptr;

	hc_peer_remove(peer->http);
	g_free(peer->address);
	g_free(peer);
}

struct hop *hop_create(const struct hop_options *options)
{
	struct hop *hop = g_new0(struct hop, 1);
	struct hc_options http = {
		.connect_timeout = options->connect_timeout,
		.idle_timeout = IDLE_MS,
		.peer_timeout = options->peer_timeout,
		.source = options->source,
		.id_header = options->id_header,
	};

	hop->options = *options;
	hop->client = hc_create(options->loop, &http);
	hop->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	return hop;
}

static clk_ms loop_now(const struct hop *hop)
{
	return (clk_ms)uv_now(hop->options.loop);
}

static struct hop_peer *peer_of(struct hop *hop, const char *address)
{
	struct hop_peer *peer = g_hash_table_lookup(hop->peers, address);

	if (peer)
		return peer;
	peer = g_new0(struct hop_peer, 1);
	peer->address = g_strdup(address);
	peer->http = hc_peer_add(hop->client, address);
	peer->listed = true;
	g_hash_table_insert(hop->peers, peer->address, peer);
	return peer;
}

/* Chooses the host to ask; returns false if there is none. */
static bool host_choose(struct hop *hop, const void *request,
			char address[MEMBER_ADDRESS_MAX])
{
	struct hop_host hosts[HOSTS_MAX];
	struct links_host ranked[HOSTS_MAX];
	size_t count =
		hop->options.hosts(hop->options.ctx, request, hosts, HOSTS_MAX);
	int chosen;

	for (size_t i = 0; i < count; i++) {
		const struct hop_peer *peer =
			g_hash_table_lookup(hop->peers, hosts[i].address);

		ranked[i] = (struct links_host){
			.near = hosts[i].near,
			.hears = hosts[i].hears,
			.avoid_until = peer ? peer->avoid_until : 0,
		};
	}
	chosen = links_choose(ranked, count,
			      hop->options.random(hop->options.ctx),
			      loop_now(hop));
	if (chosen < 0)
		return false;
	g_strlcpy(address, hosts[chosen].address, MEMBER_ADDRESS_MAX);
	return true;
}

bool hop_is_possible(struct hop *hop)
{
	char address[MEMBER_ADDRESS_MAX];

	return host_choose(hop, NULL, address);
}

const char *hop_address(const struct hop_call *call)
{
	return call->address;
}

static void call_free(struct hop_call *call)
{
	if (call->spec.body)
		g_bytes_unref(call->spec.body);
	g_free(call->head);
	g_free(call->id);
	g_free(call);
}

static bool call_send(struct hop_call *call);

static void call_end(struct hop_call *call, enum hop_result result)
{
	struct hop_spec spec = call->spec;

	call_free(call);
	spec.on_end(spec.ctx, result);
}

static void peer_avoid(struct hop_call *call, clk_ms duration)
{
	peer_of(call->hop, call->address)->avoid_until =
		loop_now(call->hop) + duration;
}

static void on_head(void *ctx, const struct h1_head *head)
{
	struct hop_call *call = ctx;

	call->rejected = call->hop->options.is_rejection(head);
	if (call->hop->options.is_failure(head))
		peer_avoid(call, AVOID_FAILED_MS);
	if (!call->rejected)
		call->spec.on_head(call->spec.ctx, head);
}

static void on_data(void *ctx, const char *ptr, size_t len)
{
	struct hop_call *call = ctx;

	if (!call->rejected)
		call->spec.on_data(call->spec.ctx, ptr, len);
}

static void on_end(void *ctx, enum hc_result result)
{
	struct hop_call *call = ctx;

	call->http = NULL;
	if (call->rejected || result == HC_UNSENT) {
		peer_avoid(call, AVOID_MS);
		if (!call_send(call))
			call_end(call, HOP_NOT_ACCEPTED);
		return;
	}
	call_end(call, result == HC_COMPLETE ? HOP_COMPLETE : HOP_CUT);
}

/* Asks the next host; returns false if there is none. */
static bool call_send(struct hop_call *call)
{
	struct hc_request_spec spec = {
		.head = call->head,
		.head_len = call->spec.head_len,
		.body = call->spec.body,
		.id = call->id,
		.is_head = call->spec.is_head,
		.on_head = on_head,
		.on_data = on_data,
		.on_end = on_end,
		.ctx = call,
	};

	if (call->asked >= HOSTS_ASKED ||
	    !host_choose(call->hop, call->spec.ctx, call->address))
		return false;
	call->asked++;
	call->rejected = false;
	call->http = hc_request_start(peer_of(call->hop, call->address)->http,
				      &spec);
	return true;
}

struct hop_call *hop_start(struct hop *hop, const struct hop_spec *spec)
{
	struct hop_call *call = g_new0(struct hop_call, 1);

	call->hop = hop;
	call->spec = *spec;
	call->head = g_strndup(spec->head, spec->head_len);
	call->id = g_strdup(spec->id);
	if (spec->body)
		g_bytes_ref(spec->body);
	if (call_send(call))
		return call;
	call_free(call);
	return NULL;
}

void hop_cancel(struct hop_call *call)
{
	hc_request_cancel(call->http);
	call_free(call);
}

void hop_tick(struct hop *hop)
{
	struct hop_host hosts[HOSTS_MAX];
	size_t count;
	GHashTableIter iter;
	gpointer value;

	if (g_hash_table_size(hop->peers) == 0)
		return;
	count = hop->options.hosts(hop->options.ctx, NULL, hosts, HOSTS_MAX);
	g_hash_table_iter_init(&iter, hop->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct hop_peer *)value)->listed = false;
	for (size_t i = 0; i < count; i++) {
		struct hop_peer *peer =
			g_hash_table_lookup(hop->peers, hosts[i].address);

		if (peer)
			peer->listed = true;
	}
	g_hash_table_iter_init(&iter, hop->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (!((struct hop_peer *)value)->listed)
			g_hash_table_iter_remove(&iter);
}
