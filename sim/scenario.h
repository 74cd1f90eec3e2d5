/*
 * The file of a scenario: an object with "scenario", the list "loads" and the
 * list "changes", whose objects are settings of these kinds.
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

/* Reads a file; NULL with error set if it breaks a rule. */
struct scenario *scenario_load(const char *path, GError **error);
void scenario_free(struct scenario *scenario);

#endif
