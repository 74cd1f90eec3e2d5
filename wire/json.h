/* Short ways into json-c objects, for bodies and settings. */
#ifndef WIRE_JSON_H
#define WIRE_JSON_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Parses one JSON object, comments allowed; NULL if it is not one. */
struct json_object *json_parse_object(const char *ptr, size_t len);
/* As above, and says where and why it failed; error may be NULL. */
struct json_object *json_parse_checked(const char *ptr, size_t len,
				       GError **error);
/* Returns the string field, or fallback; the object owns it. */
const char *json_text(struct json_object *obj, const char *key,
		      const char *fallback);
int64_t json_int(struct json_object *obj, const char *key, int64_t fallback);
int json_flag(struct json_object *obj, const char *key, int fallback);
double json_real(struct json_object *obj, const char *key, double fallback);
/* Adds a string field. */
void json_add_text(struct json_object *obj, const char *key, const char *value);
void json_add_int(struct json_object *obj, const char *key, int64_t value);
/* Returns the object's text with len set; the object owns it. */
const char *json_print(struct json_object *obj, size_t *len);

struct http_request;

/* Answers a call with obj and gives up the reference to it. */
void json_reply(struct http_request *call, int status, struct json_object *obj);

#endif
