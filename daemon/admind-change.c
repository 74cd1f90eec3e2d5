/*
 * Reads and changes one setting.
 *
 * The value stored under a key is a JSON envelope: the text of the setting,
 * the operator and time of the change, a unique change id, and a limited
 * number of earlier values. If a compare-and-swap gets no response, the key is
 * read until the change id shows whether it took effect.
 */
#include "admind.h"

#include <string.h>

#define SETTINGS_PREFIX "settings/"
#define MAX_FAILURES 20 /* platform calls without a response per change */
#define RETRY_DELAY_MS 250

/* A change or read in progress. */
struct change {
	struct admind *admind;
	struct http_request *request; /* NULL: the operator disconnected */
	char *key;
	char *value; /* NULL: delete the key */
	char *by;
	char *id;	   /* unique to this change */
	bool has_expected; /* expect was given by the operator */
	int64_t expect;	   /* revision to replace; 0: none */
	char *envelope;	   /* value to store */
	bool cas_sent; /* a compare-and-swap was sent, its outcome unknown */
	unsigned failures;
	uv_timer_t timer;
};

static void change_read(struct change *change);
static void change_on_cas(void *ctx, enum plat_outcome outcome,
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

static void change_on_disconnect(void *ctx)
{
	((struct change *)ctx)->request = NULL;
}

static struct change *change_create(struct admind *admind,
				    struct http_request *request,
				    const char *key)
{
	struct change *change = g_new0(struct change, 1);

	change->admind = admind;
	change->request = request;
	change->key = g_strdup(key);
	uv_timer_init(&admind->loop, &change->timer);
	change->timer.data = change;
	http_request_on_disconnect(request, change_on_disconnect, change);
	return change;
}

/* Responds with an error and frees the change; consumes more. */
static void change_fail(struct change *change, enum err_kind kind,
			const char *detail, struct json_object *more)
{
	if (change->request) {
		http_request_on_disconnect(change->request, NULL, NULL);
		admind_reply_error(change->request, kind, detail, more);
	} else {
		json_object_put(more);
	}
	change_free(change);
}

/* Responds with obj, which is consumed, and frees the change. */
static void change_reply(struct change *change, struct json_object *obj)
{
	if (change->request) {
		http_request_on_disconnect(change->request, NULL, NULL);
		json_reply(change->request, 200, obj);
	} else {
		json_object_put(obj);
	}
	change_free(change);
}

/* Builds the response for a stored setting: its envelope, key and revision. */
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

static bool has_change_id(struct json_object *obj, const char *id)
{
	return !strcmp(json_text(obj, "change", ""), id);
}

/* Returns the revision at which this change took effect, or 0 if it did not.
 * The change id is looked for in the stored envelope and, in case later changes
 * replaced the value, in its history. */
static int64_t change_revision(const struct change *change, const char *stored,
			       int64_t mod)
{
	struct json_object *obj =
		stored ? json_parse_object(stored, strlen(stored)) : NULL;
	struct json_object *history = NULL;
	int64_t revision = obj && has_change_id(obj, change->id) ? mod : 0;

	if (obj)
		json_object_object_get_ex(obj, "history", &history);
	for (size_t i = 0; history && i < json_object_array_length(history);
	     i++) {
		struct json_object *item =
			json_object_array_get_idx(history, i);

		if (has_change_id(item, change->id))
			revision = json_int(item, "revision", 0);
	}
	json_object_put(obj);
	return revision;
}

/* Reports that the change took effect. */
static void change_accepted(struct change *change, int64_t mod)
{
	struct json_object *obj = json_object_new_object();

	change->admind->accepted++;
	json_add_text(obj, "key", change->key);
	json_add_int(obj, "revision", mod);
	json_add_text(obj, "change", change->id);
	change_reply(change, obj);
}

/* Reports a conflict with an earlier change, along with the stored value. */
static void change_conflict(struct change *change, const char *stored,
			    int64_t mod)
{
	change->admind->conflicts++;
	change_fail(change, RW_ECONFLICT, "",
		    stored_to_json(change->key, stored, mod));
}

/* Builds the history: the replaced value, then the earlier ones. */
static struct json_object *history_build(const struct change *change,
					 struct json_object *previous)
{
	struct json_object *list = json_object_new_array();
	struct json_object *history = NULL;
	struct json_object *last;
	size_t max = (size_t)change->admind->conf->history_max;

	if (!previous || max == 0)
		return list;
	last = json_object_new_object();
	json_add_text(last, "change", json_text(previous, "change", ""));
	json_add_text(last, "by", json_text(previous, "by", ""));
	json_add_int(last, "at", json_int(previous, "at", 0));
	json_add_int(last, "revision", change->expect);
	json_add_text(last, "value", json_text(previous, "value", ""));
	json_object_array_add(list, last);
	json_object_object_get_ex(previous, "history", &history);
	for (size_t i = 0; history && i < json_object_array_length(history) &&
			   json_object_array_length(list) < max;
	     i++)
		json_object_array_add(
			list,
			json_object_get(json_object_array_get_idx(history, i)));
	return list;
}

/* Builds the envelope to store. */
static char *envelope_build(const struct change *change, const char *stored)
{
	struct json_object *previous =
		stored ? json_parse_object(stored, strlen(stored)) : NULL;
	struct json_object *obj = json_object_new_object();
	char *text;
	size_t len;

	json_add_text(obj, "change", change->id);
	json_add_text(obj, "by", change->by);
	json_add_int(obj, "at", g_get_real_time() / 1000);
	json_add_text(obj, "value", change->value);
	json_object_object_add(obj, "history", history_build(change, previous));
	text = g_strdup(json_print(obj, &len));
	json_object_put(obj);
	json_object_put(previous);
	return text;
}

static void change_on_timer(uv_timer_t *timer)
{
	change_read(timer->data);
}

/* Reads the key again after a delay, or fails at MAX_FAILURES. */
static void change_retry_read(struct change *change)
{
	if (++change->failures < MAX_FAILURES) {
		uv_timer_start(&change->timer, change_on_timer, RETRY_DELAY_MS,
			       0);
		return;
	}
	change->admind->unresolved++;
	change_fail(change, RW_EPLATFORM,
		    change->cas_sent ? "the change may be in force; read the "
				       "key before trying again"
				     : "nothing was changed",
		    NULL);
}

/* Sends the compare-and-swap. */
static void change_cas(struct change *change)
{
	char *key = g_strconcat(SETTINGS_PREFIX, change->key, NULL);

	change->cas_sent = true;
	plat_cas(change->admind->plat, key, change->envelope, change->expect,
		 change_on_cas, change);
	g_free(key);
}

static void change_on_cas(void *ctx, enum plat_outcome outcome,
			  const char *value, int64_t mod)
{
	struct change *change = ctx;
	int64_t own_mod =
		change->value ? change_revision(change, value, mod) : 0;

	if (outcome == PLAT_OK)
		change_accepted(change, mod);
	else if (outcome == PLAT_UNKNOWN)
		change_retry_read(change);
	else if (own_mod)
		change_accepted(change, own_mod);
	else
		change_conflict(change, value, mod);
}

/* Determines from the stored value whether a compare-and-swap without a
 * response took effect. */
static void change_resolve(struct change *change, const char *value,
			   int64_t mod)
{
	int64_t own_mod =
		change->value ? change_revision(change, value, mod) : 0;

	if (own_mod)
		change_accepted(change, own_mod);
	else if ((value ? mod : 0) == change->expect)
		change_cas(change); /* no effect so far: send it again */
	else if (!change->value && !value)
		change_accepted(change, 0);
	else
		change_conflict(change, value, mod);
}

static void change_on_read(void *ctx, enum plat_outcome outcome,
			   const char *value, int64_t mod)
{
	struct change *change = ctx;

	if (outcome != PLAT_OK) {
		change_retry_read(change);
		return;
	}
	if (change->cas_sent) {
		change_resolve(change, value, mod);
		return;
	}
	if (change->has_expected && change->expect != (value ? mod : 0)) {
		change_conflict(change, value, mod);
		return;
	}
	change->expect = value ? mod : 0;
	if (change->value)
		change->envelope = envelope_build(change, value);
	change_cas(change);
}

/* Reads the stored value, before a compare-and-swap or to determine the outcome
 * of one. */
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
		change_reply(change, stored_to_json(change->key, value, mod));
}

void admind_setting_get(struct admind *admind, struct http_request *request,
			const char *key)
{
	struct change *change = change_create(admind, request, key);
	char *full = g_strconcat(SETTINGS_PREFIX, key, NULL);

	plat_get(admind->plat, full, get_on_read, change);
	g_free(full);
}

/* Takes the operator and expected revision from the request and starts. */
static void change_start(struct admind *admind, struct http_request *request,
			 const char *key, char *value)
{
	struct change *change = change_create(admind, request, key);
	struct http_view by = http_request_header(request, "x-operator");
	char *expect = http_request_query(request, "expect");

	change->value = value;
	change->by = g_strndup(by.ptr, by.len);
	change->id = g_strdup_printf("%s/%" PRId64, admind->instance,
				     ++admind->last_change);
	change->has_expected = expect != NULL;
	change->expect = expect ? g_ascii_strtoll(expect, NULL, 10) : 0;
	g_free(expect);
	change_read(change);
}

void admind_setting_put(struct admind *admind, struct http_request *request,
			const char *key)
{
	struct http_view body = http_request_body(request);
	GError *error = NULL;

	if (!conf_check(key, body.ptr, body.len, &error)) {
		admind_reply_error(request, RW_ESETTINGS, error->message, NULL);
		g_error_free(error);
		return;
	}
	change_start(admind, request, key, g_strndup(body.ptr, body.len));
}

void admind_setting_delete(struct admind *admind, struct http_request *request,
			   const char *key)
{
	struct conf_key parts;
	GError *error = NULL;

	if (!conf_key_parse(key, &parts, &error)) {
		admind_reply_error(request, RW_ESETTINGS, error->message, NULL);
		g_error_free(error);
		return;
	}
	conf_key_clear(&parts);
	change_start(admind, request, key, NULL);
}
