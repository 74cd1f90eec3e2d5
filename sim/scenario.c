/* Reads scenario files. */
#include "scenario.h"

#include <string.h>

#include "../wire/json.h"

static void load_free(gpointer conf)
{
	conf_free(CONF_LOAD, conf);
}

static void change_free(gpointer conf)
{
	conf_free(CONF_CHANGE, conf);
}

/* Parses and validates one object; where names it in error messages. */
static void *object_read(enum conf_kind kind, struct json_object *obj,
			 const char *where, GError **error)
{
	size_t len;
	const char *text = json_print(obj, &len);
	void *conf = conf_parse(kind, text, len, error);

	if (!conf)
		g_prefix_error(error, "%s: ", where);
	return conf;
}

/* Parses and validates the objects of a list; a missing list is empty. */
static bool list_read(enum conf_kind kind, struct json_object *file,
		      const char *name, GPtrArray *list, GError **error)
{
	struct json_object *array;

	if (!json_object_object_get_ex(file, name, &array))
		return true;
	if (!json_object_is_type(array, json_type_array)) {
		g_set_error(error, g_quark_from_static_string("scenario"), 1,
			    "%s: must be a list", name);
		return false;
	}
	for (size_t i = 0; i < json_object_array_length(array); i++) {
		char *where = g_strdup_printf("%s[%zu]", name, i);
		void *conf =
			object_read(kind, json_object_array_get_idx(array, i),
				    where, error);

		g_free(where);
		if (!conf)
			return false;
		g_ptr_array_add(list, conf);
	}
	return true;
}

static bool scenario_read(struct scenario *scenario, struct json_object *file,
			  GError **error)
{
	struct json_object *object = NULL;

	if (!json_object_object_get_ex(file, "scenario", &object)) {
		g_set_error(error, g_quark_from_static_string("scenario"), 1,
			    "there is no \"scenario\"");
		return false;
	}
	scenario->conf = object_read(CONF_SCENARIO, object, "scenario", error);
	return scenario->conf &&
	       list_read(CONF_LOAD, file, "loads", scenario->loads, error) &&
	       list_read(CONF_CHANGE, file, "changes", scenario->changes,
			 error);
}

struct scenario *scenario_load(const char *path, GError **error)
{
	struct scenario *scenario = g_new0(struct scenario, 1);
	struct json_object *file = NULL;
	char *text = NULL;
	gsize len;
	bool ok;

	scenario->loads = g_ptr_array_new_with_free_func(load_free);
	scenario->changes = g_ptr_array_new_with_free_func(change_free);
	ok = g_file_get_contents(path, &text, &len, error);
	if (ok) {
		file = json_parse_checked(text, len, error);
		ok = file && scenario_read(scenario, file, error);
		if (!ok)
			g_prefix_error(error, "%s: ", path);
	}
	if (file)
		json_object_put(file);
	g_free(text);
	if (ok)
		return scenario;
	scenario_free(scenario);
	return NULL;
}

void scenario_free(struct scenario *scenario)
{
	conf_free(CONF_SCENARIO, scenario->conf);
	g_ptr_array_free(scenario->loads, TRUE);
	g_ptr_array_free(scenario->changes, TRUE);
	g_free(scenario);
}
