/* Helpers for json-c objects, for HTTP bodies and settings. */
#ifndef WIRE_JSON_H
#define WIRE_JSON_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Parses one JSON object, comments allowed; returns NULL if it is malformed or
 * not an object. */
struct json_object *json_parse_object(const char *ptr, size_t len);
/* The same, with error set to the line and the reason; error may be NULL. */
struct json_object *json_parse_checked(const char *ptr, size_t len,
				       GError **error);
/* Whether text is one whole JSON object or array, and nothing else. */
bool json_is_whole(const char *ptr, size_t len);
/* Returns a string field, which the object owns, or fallback if it is missing
 * or of another type. json_int, json_flag and json_real do so for their types.
 */
const char *json_text(struct json_object *obj, const char *key,
		      const char *fallback);
int64_t json_int(struct json_object *obj, const char *key, int64_t fallback);
int json_flag(struct json_object *obj, const char *key, int fallback);
double json_real(struct json_object *obj, const char *key, double fallback);
void json_add_text(struct json_object *obj, const char *key, const char *value);
void json_add_int(struct json_object *obj, const char *key, int64_t value);
/* Returns obj as compact JSON text, which obj owns; sets len to its length. */
const char *json_print(struct json_object *obj, size_t *len);

struct http_request;

/* Responds to a request with obj; takes over the reference to it. */
void json_reply(struct http_request *request, int status,
		struct json_object *obj);

#endif
