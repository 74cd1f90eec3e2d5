/* Settings: validation by the tables of conf-gen.c. */
#include "conf.h"

#include <stdlib.h>
#include <string.h>

#include "json.h"
#include "../decide/rid.h"

static GQuark conf_quark(void)
{
	return g_quark_from_static_string("settings");
}

/* Returns the line of the first occurrence of a quoted key in text, or 1. */
static int line_of_key(const char *text, size_t len, const char *key)
{
	char *quoted = g_strdup_printf("\"%s\"", key);
	const char *at = g_strstr_len(text, (gssize)len, quoted);
	int line = 1;

	for (const char *c = text; at && c < at; c++)
		line += *c == '\n';
	g_free(quoted);
	return line;
}

/* The kind and the text of the object under validation, to name the line and
 * the field in errors. */
struct source {
	const struct conf_spec *spec;
	const char *text;
	size_t len;
};

/* Sets error to the line and the key, and to the rule that its value breaks. */
static void set_error(const struct source *source, const char *key,
		      GError **error, const char *rule)
{
	g_set_error(error, conf_quark(), 1, "line %d: %s.%s: %s",
		    line_of_key(source->text, source->len, key),
		    source->spec->name, key, rule);
}

static bool in_range(const struct conf_field *field, double value)
{
	if (field->min == 0 && field->max == 0)
		return true;
	return value >= field->min && value <= field->max;
}

/* Validates a number and stores it. */
static bool store_number(const struct conf_field *field,
			 struct json_object *value, char *dest,
			 const struct source *source, GError **error)
{
	char *rule;
	bool whole = json_object_is_type(value, json_type_int);
	double number = json_object_get_double(value);

	if (!whole && (field->type == CONF_TYPE_INT ||
		       !json_object_is_type(value, json_type_double))) {
		set_error(source, field->name, error,
			  field->type == CONF_TYPE_INT
				  ? "must be a whole number"
				  : "must be a number");
		return false;
	}
	if (!in_range(field, number)) {
		rule = g_strdup_printf("must be from %g to %g", field->min,
				       field->max);
		set_error(source, field->name, error, rule);
		g_free(rule);
		return false;
	}
	if (field->type == CONF_TYPE_INT)
		*(int64_t *)dest = json_object_get_int64(value);
	else
		*(double *)dest = number;
	return true;
}

/* Whether text is one of the choices. */
static bool is_choice(const struct conf_field *field, const char *text)
{
	for (const char *const *at = field->choices; *at; at++)
		if (!strcmp(*at, text))
			return true;
	return false;
}

/* Validates a string and stores a copy. */
static bool store_text(const struct conf_field *field,
		       struct json_object *value, char *dest,
		       const struct source *source, GError **error)
{
	const char *text = json_object_get_string(value);
	char *choices;
	char *rule;

	if (!json_object_is_type(value, json_type_string)) {
		set_error(source, field->name, error, "must be a text");
		return false;
	}
	if (field->type == CONF_TYPE_NAME && !rid_host_ok(text, strlen(text))) {
		set_error(source, field->name, error,
			  "must be a name of letters, digits, '-' and '_'");
		return false;
	}
	if (field->type == CONF_TYPE_CHOICE && !is_choice(field, text)) {
		choices = g_strjoinv(", ", (char **)field->choices);
		rule = g_strdup_printf("must be one of: %s", choices);
		set_error(source, field->name, error, rule);
		g_free(rule);
		g_free(choices);
		return false;
	}
	g_free(*(char **)dest);
	*(char **)dest = g_strdup(text);
	return true;
}

/* Validates a list of strings and stores a copy. */
static bool store_list(const struct conf_field *field,
		       struct json_object *value, char *dest,
		       const struct source *source, GError **error)
{
	GPtrArray *list;

	if (!json_object_is_type(value, json_type_array)) {
		set_error(source, field->name, error,
			  "must be a list of texts");
		return false;
	}
	list = g_ptr_array_new_with_free_func(g_free);
	for (size_t i = 0; i < json_object_array_length(value); i++) {
		struct json_object *item = json_object_array_get_idx(value, i);

		if (!json_object_is_type(item, json_type_string)) {
			set_error(source, field->name, error,
				  "must be a list of texts");
			g_ptr_array_free(list, TRUE);
			return false;
		}
		g_ptr_array_add(list, g_strdup(json_object_get_string(item)));
	}
	g_ptr_array_add(list, NULL);
	g_strfreev(*(char ***)dest);
	*(char ***)dest = (char **)g_ptr_array_free(list, FALSE);
	return true;
}

/* Validates one value and stores it in the struct. */
static bool store_value(const struct conf_field *field,
			struct json_object *value, char *conf,
			const struct source *source, GError **error)
{
	char *dest = conf + field->offset;

	switch (field->type) {
	case CONF_TYPE_INT:
	case CONF_TYPE_REAL:
		return store_number(field, value, dest, source, error);
	case CONF_TYPE_LIST:
		return store_list(field, value, dest, source, error);
	case CONF_TYPE_BOOL:
		if (!json_object_is_type(value, json_type_boolean)) {
			set_error(source, field->name, error,
				  "must be true or false");
			return false;
		}
		*(bool *)dest = json_object_get_boolean(value);
		return true;
	default:
		return store_text(field, value, dest, source, error);
	}
}

/* Stores the default of a field. */
static void store_default(const struct conf_field *field, char *conf)
{
	const char *text = field->fallback ? field->fallback : "";
	char *dest = conf + field->offset;

	switch (field->type) {
	case CONF_TYPE_INT:
		*(int64_t *)dest = g_ascii_strtoll(text, NULL, 10);
		break;
	case CONF_TYPE_REAL:
		*(double *)dest = g_ascii_strtod(text, NULL);
		break;
	case CONF_TYPE_BOOL:
		*(bool *)dest = !strcmp(text, "true");
		break;
	case CONF_TYPE_LIST:
		*(char ***)dest = g_new0(char *, 1);
		break;
	default:
		*(char **)dest = g_strdup(text);
		break;
	}
}

static const struct conf_field *field_find(const struct conf_spec *spec,
					   const char *name)
{
	for (size_t i = 0; i < spec->count; i++)
		if (!strcmp(spec->fields[i].name, name))
			return &spec->fields[i];
	return NULL;
}

/* Validates the keys of the object, then stores each field. */
static bool store_fields(const struct conf_spec *spec, struct json_object *obj,
			 char *conf, const struct source *source,
			 GError **error)
{
	json_object_object_foreach(obj, name, unused)
	{
		(void)unused;
		if (!field_find(spec, name)) {
			set_error(source, name, error, "is not a known key");
			return false;
		}
	}
	for (size_t i = 0; i < spec->count; i++) {
		const struct conf_field *field = &spec->fields[i];
		struct json_object *value;

		if (json_object_object_get_ex(obj, field->name, &value)) {
			if (!store_value(field, value, conf, source, error))
				return false;
		} else if (field->required) {
			set_error(source, field->name, error, "is required");
			return false;
		}
	}
	return true;
}

void *conf_parse(enum conf_kind kind, const char *text, size_t len,
		 GError **error)
{
	const struct conf_spec *spec = &conf_specs[kind];
	struct source source = { spec, text, len };
	struct json_object *obj = json_parse_checked(text, len, error);
	char *conf;

	if (!obj)
		return NULL;
	conf = g_malloc0(spec->size);
	for (size_t i = 0; i < spec->count; i++)
		store_default(&spec->fields[i], conf);
	if (!store_fields(spec, obj, conf, &source, error)) {
		conf_free(kind, conf);
		conf = NULL;
	}
	json_object_put(obj);
	return conf;
}

void *conf_load(enum conf_kind kind, const char *path, GError **error)
{
	char *text;
	gsize len;
	void *conf;

	if (!g_file_get_contents(path, &text, &len, error))
		return NULL;
	conf = conf_parse(kind, text, len, error);
	if (!conf)
		g_prefix_error(error, "%s: ", path);
	g_free(text);
	return conf;
}

void conf_free(enum conf_kind kind, void *conf)
{
	const struct conf_spec *spec = &conf_specs[kind];

	if (!conf)
		return;
	for (size_t i = 0; i < spec->count; i++) {
		const struct conf_field *field = &spec->fields[i];
		char *dest = (char *)conf + field->offset;

		if (field->type == CONF_TYPE_LIST)
			g_strfreev(*(char ***)dest);
		else if (field->type == CONF_TYPE_NAME ||
			 field->type == CONF_TYPE_TEXT ||
			 field->type == CONF_TYPE_CHOICE)
			g_free(*(char **)dest);
	}
	g_free(conf);
}

enum conf_kind conf_kind_parse(const char *name, size_t len)
{
	int kind = 0;

	while (kind < CONF_KIND_COUNT &&
	       (strlen(conf_specs[kind].name) != len ||
		memcmp(conf_specs[kind].name, name, len) != 0))
		kind++;
	return (enum conf_kind)kind;
}

/* Whether teams write objects of a kind; other kinds come from files. */
static bool is_team_kind(enum conf_kind kind)
{
	static const bool from_file[CONF_KIND_COUNT] = {
		[CONF_ENTRY] = true, [CONF_ADMIN] = true,
		[CONF_PROXY] = true, [CONF_SCENARIO] = true,
		[CONF_LOAD] = true,  [CONF_CHANGE] = true,
	};

	return kind != CONF_KIND_COUNT && !from_file[kind];
}

bool conf_key_parse(const char *key, struct conf_key *parts, GError **error)
{
	char **words = g_strsplit(key, "/", -1);
	bool ok = g_strv_length(words) == 3 &&
		  rid_host_ok(words[0], strlen(words[0])) &&
		  rid_host_ok(words[2], strlen(words[2]));

	if (ok) {
		parts->kind = conf_kind_parse(words[1], strlen(words[1]));
		ok = is_team_kind(parts->kind);
	}
	if (ok) {
		parts->team = g_strdup(words[0]);
		parts->name = g_strdup(words[2]);
	} else {
		g_set_error(error, conf_quark(), 2,
			    "key \"%s\" is not <team>/<kind>/<name> with kind "
			    "model, route, account or routing",
			    key);
	}
	g_strfreev(words);
	return ok;
}

void conf_key_clear(struct conf_key *parts)
{
	g_free(parts->team);
	g_free(parts->name);
}

bool conf_check(const char *key, const char *text, size_t len, GError **error)
{
	struct conf_key parts;
	void *conf;

	if (!conf_key_parse(key, &parts, error))
		return false;
	conf = conf_parse(parts.kind, text, len, error);
	conf_free(parts.kind, conf);
	conf_key_clear(&parts);
	return conf != NULL;
}
