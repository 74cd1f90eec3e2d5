/*
 * Settings: JSON objects with comments, checked against the schema.
 *
 * conf-gen.h has a struct for every kind of object, conf-gen.c the table of
 * its fields; both are made of schema/settings.json.
 */
#ifndef WIRE_CONF_H
#define WIRE_CONF_H

#include <glib.h>
#include <stddef.h>

#include "conf-gen.h"

enum conf_type {
	CONF_TYPE_NAME, /* a text usable in keys */
	CONF_TYPE_TEXT,
	CONF_TYPE_CHOICE, /* one of a list of texts */
	CONF_TYPE_INT,
	CONF_TYPE_REAL,
	CONF_TYPE_BOOL,
	CONF_TYPE_LIST, /* of texts */
};

/* One field of a kind of object. */
struct conf_field {
	const char *name;
	enum conf_type type;
	size_t offset; /* in the kind's struct */
	bool required;
	double min; /* of numbers; no limit if min and max are 0 */
	double max;
	const char *fallback; /* as in a file; NULL: empty, 0, false */
	const char *const *choices;
};

/* One kind of object. */
struct conf_spec {
	const char *name;
	size_t size; /* of the struct, in bytes */
	const struct conf_field *fields;
	size_t count;
};

extern const struct conf_spec conf_specs[CONF_KIND_COUNT];

/* Parses and checks an object; returns a struct of the kind, or NULL with
 * error naming line, path and rule. */
void *conf_parse(enum conf_kind kind, const char *text, size_t len,
		 GError **error);
/* As above, of a file. */
void *conf_load(enum conf_kind kind, const char *path, GError **error);
void conf_free(enum conf_kind kind, void *conf);
/* Finds a kind by name; returns CONF_KIND_COUNT if there is none. */
enum conf_kind conf_kind_parse(const char *name, size_t len);

/* The parts of a key "<team>/<kind>/<name>". */
struct conf_key {
	char *team;
	enum conf_kind kind;
	char *name;
};

/* Takes a key apart; the texts are to be freed with conf_key_clear. */
bool conf_key_parse(const char *key, struct conf_key *parts, GError **error);
void conf_key_clear(struct conf_key *parts);
/* Checks what a team may write: key and text. */
bool conf_check(const char *key, const char *text, size_t len, GError **error);

#endif
