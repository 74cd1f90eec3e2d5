/*
 * Settings: JSON objects with comments, validated against the schema.
 *
 * conf-gen.h has a struct for every kind of object, conf-gen.c a table of its
 * fields; both are generated from schema/settings.json.
 */
#ifndef WIRE_CONF_H
#define WIRE_CONF_H

#include <glib.h>
#include <stddef.h>

#include "conf-gen.h"

enum conf_type {
	CONF_TYPE_NAME, /* a string that is valid in keys */
	CONF_TYPE_TEXT,
	CONF_TYPE_CHOICE, /* one of a list of strings */
	CONF_TYPE_INT,
	CONF_TYPE_REAL,
	CONF_TYPE_BOOL,
	CONF_TYPE_LIST, /* of strings */
};

/* One field of a kind of object. */
struct conf_field {
	const char *name;
	enum conf_type type;
	size_t offset; /* in the kind's struct */
	bool required;
	double min; /* of a number; no limits if both are 0 */
	double max;
	const char *fallback; /* default as text; NULL: empty, 0, false */
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

/* Parses and validates an object; returns the struct of its kind, or NULL with
 * error set to the line, the field and the rule that it breaks. */
void *conf_parse(enum conf_kind kind, const char *text, size_t len,
		 GError **error);
/* The same for a file. */
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

/* Splits a key; returns false and sets error if it is malformed.
 * conf_key_clear frees the parts. */
bool conf_key_parse(const char *key, struct conf_key *parts, GError **error);
void conf_key_clear(struct conf_key *parts);
/* Validates the key and the text of an object that a team writes. */
bool conf_check(const char *key, const char *text, size_t len, GError **error);

#endif
