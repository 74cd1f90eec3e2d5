/*
 * Connects the replica to the platform, which stores the primaries' records,
 * and to the other entry hosts.
 */
#include "entryd.h"

#include <string.h>

/* A call to the platform for one primary's record. */
struct record_call {
	struct entryd *entryd;
	char *primary;
	bool swap;
	struct replica_record wanted;
};

void record_parse(const char *text, int64_t mod, struct replica_record *record)
{
	struct json_object *obj =
		text ? json_parse_object(text, strlen(text)) : NULL;
	const char *state;

	*record = (struct replica_record){ .state = RECORD_NONE, .mod = mod };
	if (!obj)
		return;
	state = json_text(obj, "state", "");
	record->state = !strcmp(state, "open") ? RECORD_OPEN : RECORD_SEALED;
	g_strlcpy(record->peer, json_text(obj, "peer", ""),
		  sizeof(record->peer));
	g_strlcpy(record->change_id, json_text(obj, "change", ""),
		  sizeof(record->change_id));
	record->epoch = json_int(obj, "epoch", 0);
	json_object_put(obj);
}

/* Formats a record as the platform stores it. */
static struct json_object *record_to_json(const struct replica_record *record)
{
	struct json_object *obj = json_object_new_object();

	json_add_text(obj, "state",
		      record->state == RECORD_OPEN ? "open" : "sealed");
	json_add_text(obj, "peer", record->peer);
	json_add_int(obj, "epoch", record->epoch);
	json_add_text(obj, "change", record->change_id);
	return obj;
}

/* Passes the result of a call to the replica. */
static void record_on_done(void *ctx, enum plat_outcome outcome,
			   const char *value, int64_t mod)
{
	struct record_call *call = ctx;
	struct entryd *entryd = call->entryd;
	enum record_outcome result = RECORD_UNKNOWN;
	struct replica_record record;

	record_parse(value, mod, &record);
	if (outcome == PLAT_CONFLICT)
		result = RECORD_CONFLICT;
	else if (outcome == PLAT_OK)
		result = call->swap ? RECORD_SWAPPED : RECORD_READ;
	replica_on_record(entryd->replica, call->primary, result, &record,
			  entryd_now(entryd));
	g_free(call->primary);
	g_free(call);
}

static struct record_call *call_create(struct entryd *entryd,
				       const char *primary)
{
	struct record_call *call = g_new0(struct record_call, 1);

	call->entryd = entryd;
	call->primary = g_strdup(primary);
	return call;
}

void record_swap(void *ctx, const char *primary,
		 const struct replica_record *record)
{
	struct entryd *entryd = ctx;
	struct record_call *call = call_create(entryd, primary);
	struct json_object *obj = record_to_json(record);
	char *key = g_strconcat(RECORD_PREFIX, primary, NULL);
	size_t len;

	call->swap = true;
	plat_cas(entryd->plat, key, json_print(obj, &len), record->mod,
		 record_on_done, call);
	json_object_put(obj);
	g_free(key);
}

void record_read(void *ctx, const char *primary)
{
	struct entryd *entryd = ctx;
	char *key = g_strconcat(RECORD_PREFIX, primary, NULL);

	plat_get(entryd->plat, key, record_on_done,
		 call_create(entryd, primary));
	g_free(key);
}

/* Sends a message to its recipient, or drops it if that is not a member. */
void peer_send_msg(void *ctx, const struct replica_msg *msg)
{
	struct entryd *entryd = ctx;
	const struct member *member = member_find(entryd->members, msg->to);

	if (member)
		rpc_send_replica(entryd->rpc, member->info.rpc, msg);
}

/* Picks the member that ranks highest for this incarnation and turn, preferably
 * in another data centre; NULL if there is none or standbys are disabled. */
const char *peer_pick_standby(void *ctx, unsigned turn)
{
	struct entryd *entryd = ctx;
	const struct member *member;
	char key[RID_INCARNATION_MAX + 16];

	if (!entryd->conf->guard)
		return NULL;
	g_snprintf(key, sizeof(key), "%s/%u", entryd->replica->self, turn);
	member = member_pick(entryd->members, key, entryd->conf->data_centre);
	return member ? member->info.incarnation : NULL;
}
