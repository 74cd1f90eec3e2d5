/*
 * Scenario files: a JSON object with the object "scenario" and the lists
 * "loads" and "changes", whose objects are settings of the kinds of
 * schema/settings.json.
 */
#ifndef SIM_SCENARIO_H
#define SIM_SCENARIO_H

#include <glib.h>

#include "../wire/conf.h"

struct scenario {
	struct conf_scenario *conf;
	GPtrArray *loads;   /* struct conf_load */
	GPtrArray *changes; /* struct conf_change */
};

/* Reads a file. Returns NULL and sets error if it can't be read or is
 * invalid. */
struct scenario *scenario_load(const char *path, GError **error);
void scenario_free(struct scenario *scenario);

#endif
