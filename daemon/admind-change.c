/*
 * Reading and changing one setting.
 *
 * What is stored under a key is an envelope: the text of the setting, who
 * changed it when, a change id that no other write has, and some earlier
 * values. After a swap without an answer the key is read until the change id
 * tells whether it took effect.
 */
#include "admind.h"

#include <string.h>

#define SETTINGS_PREFIX "settings/"
#define RESOLVE_TRIES 20 /* reads after a swap without an answer */
#define RESOLVE_GAP_MS 250

/* One change, or read, under way. */
struct change {
	struct admind *admind;
	struct http_request *call; /* NULL: the operator has gone */
	char *key;
	char *value; /* NULL: the key is deleted */
	char *by;
	char *id;     /* unique to this change */
	bool expects; /* the operator named the revision */
	int64_t expect;
	char *envelope; /* as written */
	bool swapped;	/* a swap was sent and is not resolved */
	unsigned tries;
	uv_timer_t timer;
};

static void change_read(struct change *change);
static void change_on_swap(void *ctx, enum plat_outcome outcome,
			   const char *value, int64_t mod);

static void change_on_closed(uv_handle_t *handle)
{
	struct change *change = handle->data;

	g_free(change->key);
	g_free(change->value);
	g_free(change->by);
	g_free(change->id);
	g_free(change->envelope);
	g_free(change);
}

static void change_free(struct change *change)
{
	uv_close((uv_handle_t *)&change->timer, change_on_closed);
}

static void change_on_close(void *ctx)
{
	((struct change *)ctx)->call = NULL;
}

static struct change *change_create(struct admind *admind,
				    struct http_request *call, const char *key)
{
	struct change *change = g_new0(struct change, 1);

	change->admind = admind;
	change->call = call;
	change->key = g_strdup(key);
	uv_timer_init(&admind->loop, &change->timer);
	change->timer.data = change;
	http_request_on_disconnect(call, change_on_close, change);
	return change;
}

/* Answers and ends a change; more is given up. */
static void change_fail(struct change *change, enum err_kind kind,
			const char *detail, struct json_object *more)
{
	if (change->call) {
		http_request_on_disconnect(change->call, NULL, NULL);
		admind_reply_error(change->call, kind, detail, more);
	} else {
		json_object_put(more);
	}
	change_free(change);
}

static void change_done(struct change *change, struct json_object *obj)
{
	if (change->call) {
		http_request_on_disconnect(change->call, NULL, NULL);
		json_reply(change->call, 200, obj);
	} else {
		json_object_put(obj);
	}
	change_free(change);
}

/* What is told of a stored setting. */
static struct json_object *stored_to_json(const char *key, const char *stored,
					  int64_t mod)
{
	struct json_object *obj =
		stored ? json_parse_object(stored, strlen(stored)) : NULL;

	if (!obj)
		obj = json_object_new_object();
	json_add_text(obj, "key", key);
	json_add_int(obj, "revision", stored ? mod : 0);
	return obj;
}

static bool has_change(struct json_object *obj, const char *id)
{
	return !strcmp(json_text(obj, "change", ""), id);
}

/* Returns the revision at which this change took effect, or 0 if it did not:
 * its value is stored, or was before later changes replaced it. */
static int64_t own_revision(const struct change *change, const char *stored,
			    int64_t mod)
{
	struct json_object *obj =
		stored ? json_parse_object(stored, strlen(stored)) : NULL;
	struct json_object *older = NULL;
	int64_t revision = obj && has_change(obj, change->id) ? mod : 0;

	if (obj)
		json_object_object_get_ex(obj, "history", &older);
	for (size_t i = 0; older && i < json_object_array_length(older); i++) {
		struct json_object *item = json_object_array_get_idx(older, i);

		if (has_change(item, change->id))
			revision = json_int(item, "revision", 0);
	}
	json_object_put(obj);
	return revision;
}

/* The change is known to be in force. */
static void change_accepted(struct change *change, int64_t mod)
{
	struct json_object *obj = json_object_new_object();

	change->admind->accepted++;
	json_add_text(obj, "key", change->key);
	json_add_int(obj, "revision", mod);
	json_add_text(obj, "change", change->id);
	change_done(change, obj);
}

/* Another change came first; its value is shown. */
static void change_lost(struct change *change, const char *stored, int64_t mod)
{
	change->admind->conflicts++;
	change_fail(change, RW_ECONFLICT, "",
		    stored_to_json(change->key, stored, mod));
}

/* Keeps the value that is replaced, and those before it. */
static struct json_object *history_of(const struct change *change,
				      struct json_object *before)
{
	struct json_object *list = json_object_new_array();
	struct json_object *older = NULL;
	struct json_object *last;
	size_t most = (size_t)change->admind->conf->history_max;

	if (!before || most == 0)
		return list;
	last = json_object_new_object();
	json_add_text(last, "change", json_text(before, "change", ""));
	json_add_text(last, "by", json_text(before, "by", ""));
	json_add_int(last, "at", json_int(before, "at", 0));
	json_add_int(last, "revision", change->expect);
	json_add_text(last, "value", json_text(before, "value", ""));
	json_object_array_add(list, last);
	json_object_object_get_ex(before, "history", &older);
	for (size_t i = 0; older && i < json_object_array_length(older) &&
			   json_object_array_length(list) < most;
	     i++)
		json_object_array_add(
			list,
			json_object_get(json_object_array_get_idx(older, i)));
	return list;
}

/* Builds what is to be stored. */
static char *envelope_make(const struct change *change, const char *stored)
{
	struct json_object *before =
		stored ? json_parse_object(stored, strlen(stored)) : NULL;
	struct json_object *obj = json_object_new_object();
	char *text;
	size_t len;

	json_add_text(obj, "change", change->id);
	json_add_text(obj, "by", change->by);
	json_add_int(obj, "at", g_get_real_time() / 1000);
	json_add_text(obj, "value", change->value);
	json_object_object_add(obj, "history", history_of(change, before));
	text = g_strdup(json_print(obj, &len));
	json_object_put(obj);
	json_object_put(before);
	return text;
}

static void resolve_on_timer(uv_timer_t *timer)
{
	change_read(timer->data);
}

/* Reads again after a while, or says that nobody knows. */
static void change_unsure(struct change *change)
{
	if (++change->tries < RESOLVE_TRIES) {
		uv_timer_start(&change->timer, resolve_on_timer, RESOLVE_GAP_MS,
			       0);
		return;
	}
	change->admind->unresolved++;
	change_fail(change, RW_EPLATFORM,
		    change->swapped ? "the change may be in force; read the "
				      "key before trying again"
				    : "nothing was changed",
		    NULL);
}

/* Sends the swap. */
static void change_swap(struct change *change)
{
	char *key = g_strconcat(SETTINGS_PREFIX, change->key, NULL);

	change->swapped = true;
	plat_cas(change->admind->plat, key, change->envelope, change->expect,
		 change_on_swap, change);
	g_free(key);
}

static void change_on_swap(void *ctx, enum plat_outcome outcome,
			   const char *value, int64_t mod)
{
	struct change *change = ctx;
	int64_t own = change->value ? own_revision(change, value, mod) : 0;

	if (outcome == PLAT_OK)
		change_accepted(change, mod);
	else if (outcome == PLAT_UNKNOWN)
		change_unsure(change);
	else if (own)
		change_accepted(change, own);
	else
		change_lost(change, value, mod);
}

/* Resolves a swap without an answer by what is stored now. */
static void change_resolve(struct change *change, const char *value,
			   int64_t mod)
{
	int64_t own = change->value ? own_revision(change, value, mod) : 0;

	if (own)
		change_accepted(change, own);
	else if ((value ? mod : 0) == change->expect)
		change_swap(change); /* not in force yet: the same again */
	else if (!change->value && !value)
		change_accepted(change, 0);
	else
		change_lost(change, value, mod);
}

static void change_on_read(void *ctx, enum plat_outcome outcome,
			   const char *value, int64_t mod)
{
	struct change *change = ctx;

	if (outcome != PLAT_OK) {
		change_unsure(change);
		return;
	}
	if (change->swapped) {
		change_resolve(change, value, mod);
		return;
	}
	if (change->expects && change->expect != (value ? mod : 0)) {
		change_lost(change, value, mod);
		return;
	}
	change->expect = value ? mod : 0;
	if (change->value)
		change->envelope = envelope_make(change, value);
	change_swap(change);
}

/* Reads what is stored, before a swap or to resolve one. */
static void change_read(struct change *change)
{
	char *key = g_strconcat(SETTINGS_PREFIX, change->key, NULL);

	plat_get(change->admind->plat, key, change_on_read, change);
	g_free(key);
}

static void get_on_read(void *ctx, enum plat_outcome outcome, const char *value,
			int64_t mod)
{
	struct change *change = ctx;

	if (outcome != PLAT_OK)
		change_fail(change, RW_EPLATFORM, "", NULL);
	else if (!value)
		change_fail(change, RW_ENOROUTE, "no such key", NULL);
	else
		change_done(change, stored_to_json(change->key, value, mod));
}

void admind_setting_get(struct admind *admind, struct http_request *call,
			const char *key)
{
	struct change *change = change_create(admind, call, key);
	char *full = g_strconcat(SETTINGS_PREFIX, key, NULL);

	plat_get(admind->plat, full, get_on_read, change);
	g_free(full);
}

/* Reads who changes what against which revision, and begins. */
static void change_begin(struct admind *admind, struct http_request *call,
			 const char *key, char *value)
{
	struct change *change = change_create(admind, call, key);
	struct http_view by = http_request_header(call, "x-operator");
	char *expect = http_request_query(call, "expect");

	change->value = value;
	change->by = g_strndup(by.ptr, by.len);
	change->id = g_strdup_printf("%s/%" PRId64, admind->instance,
				     ++admind->last_change);
	change->expects = expect != NULL;
	change->expect = expect ? g_ascii_strtoll(expect, NULL, 10) : 0;
	g_free(expect);
	change_read(change);
}

void admind_setting_put(struct admind *admind, struct http_request *call,
			const char *key)
{
	struct http_view body = http_request_body(call);
	GError *error = NULL;

	if (!conf_check(key, body.ptr, body.len, &error)) {
		admind_reply_error(call, RW_ESETTINGS, error->message, NULL);
		g_error_free(error);
		return;
	}
	change_begin(admind, call, key, g_strndup(body.ptr, body.len));
}

void admind_setting_delete(struct admind *admind, struct http_request *call,
			   const char *key)
{
	struct conf_key parts;
	GError *error = NULL;

	if (!conf_key_parse(key, &parts, &error)) {
		admind_reply_error(call, RW_ESETTINGS, error->message, NULL);
		g_error_free(error);
		return;
	}
	conf_key_clear(&parts);
	change_begin(admind, call, key, NULL);
}
