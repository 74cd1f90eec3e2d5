/* Operators' requests to an entry host: hosts, upstreams, settings, counters,
 * health and drain. */
#include "entryd.h"

#include <string.h>

#include "../wire/budget.h"

static const char *const member_states[MEMBER_STATE_COUNT] = {
	"alive",
	"leaving",
	"suspect",
	"dead",
};

static const char *const upstream_states[] = { "live", "leaving", "gone" };

static struct json_object *host_to_json(const struct member_update *info)
{
	struct json_object *obj = json_object_new_object();

	json_add_text(obj, "incarnation", info->incarnation);
	json_add_text(obj, "address", info->http);
	json_add_text(obj, "data_centre", info->data_centre);
	json_add_text(obj, "state", member_states[info->state]);
	return obj;
}

void operator_list_hosts(struct entryd *entryd, struct http_request *call)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *list = json_object_new_array();
	struct member_update self = entryd->members->self;

	json_object_array_add(list, host_to_json(&self));
	for (guint i = 0; i < entryd->members->order->len; i++) {
		const struct member *member =
			g_ptr_array_index(entryd->members->order, i);

		json_object_array_add(list, host_to_json(&member->info));
	}
	json_object_object_add(obj, "hosts", list);
	json_add_text(obj, "guardian", entryd->replica->record.peer);
	json_reply(call, 200, obj);
}

void operator_list_upstreams(struct entryd *entryd, struct http_request *call)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *list = json_object_new_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, entryd->router->upstreams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct upstream *upstream = value;
		struct json_object *item = json_object_new_object();

		json_add_text(item, "name", upstream->name);
		json_add_text(item, "address", upstream->address);
		json_add_text(item, "pool", upstream->pool);
		json_add_text(item, "data_centre", upstream->data_centre);
		json_add_text(item, "state",
			      upstream->leaving_notice
				      ? "leaving"
				      : upstream_states[upstream->state]);
		json_add_int(item, "inflight", upstream->inflight);
		json_add_int(item, "running", upstream->load.running);
		json_add_int(item, "queued", upstream->load.queued);
		json_object_array_add(list, item);
	}
	json_object_object_add(obj, "upstreams", list);
	json_reply(call, 200, obj);
}

static void setting_add(void *ctx, const struct store_item *item)
{
	struct json_object *list = ctx;
	struct json_object *entry;

	if (!item->value)
		return;
	entry = json_object_new_object();
	json_add_text(entry, "key", item->key + strlen(SETTINGS_PREFIX));
	json_add_int(entry, "revision", item->mod);
	json_object_array_add(list, entry);
}

void operator_list_settings(struct entryd *entryd, struct http_request *call)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *list = json_object_new_array();

	store_each_after(entryd->settings, 0, setting_add, list);
	json_add_int(obj, "revision", entryd->settings->revision);
	json_object_object_add(obj, "settings", list);
	json_reply(call, 200, obj);
}

void operator_get_counters(struct entryd *entryd, struct http_request *call)
{
	GString *text = ctr_print(&entryd->ctrs);

	budget_print(text);
	http_response_send(call, 200, "text/plain", text->str, text->len);
	g_string_free(text, TRUE);
}

void operator_get_health(struct entryd *entryd, struct http_request *call)
{
	static const char *const states[] = { "closed",	  "opening",
					      "open",	  "copying",
					      "swapping", "resigning",
					      "lost" };
	struct json_object *obj = json_object_new_object();
	bool serving = entryd->ready && !entryd->stopping;

	json_add_text(obj, "name", entryd->conf->name);
	json_add_text(obj, "incarnation", entryd->replica->self);
	json_add_text(obj, "home", states[entryd->replica->state]);
	json_add_text(obj, "guardian", entryd->replica->record.peer);
	json_add_int(obj, "open_requests",
		     (int64_t)replica_open_count(entryd->replica));
	json_add_int(obj, "revision", entryd->settings->revision);
	json_add_int(obj, "hosts",
		     (int64_t)member_live_count(entryd->members) + 1);
	json_object_object_add(obj, "ready",
			       json_object_new_boolean(entryd->ready));
	json_object_object_add(obj, "stopping",
			       json_object_new_boolean(entryd->stopping));
	json_reply(call, serving ? 200 : 503, obj);
}

/* POST /v1/drain?upstream=NAME: gossips a leaving notice for an upstream, or
 * with &back=1 a notice that it accepts work again. */
void operator_drain_upstream(struct entryd *entryd, struct http_request *call)
{
	char *name = http_request_query(call, "upstream");
	char *back = http_request_query(call, "back");
	struct member_notice notice = {
		.set = !back,
		.stamp = (uint64_t)entryd_wall_time(),
	};

	if (name && g_hash_table_contains(entryd->router->upstreams, name)) {
		g_strlcpy(notice.subject, name, sizeof(notice.subject));
		member_on_notice(entryd->members, &notice);
		json_reply(call, 200, json_object_new_object());
	} else {
		answer_error(call, RW_EBADFIELD, 0, "no such upstream");
	}
	g_free(name);
	g_free(back);
}
