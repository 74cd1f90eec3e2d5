/* Helpers for json-c objects. */
#include "json.h"

#include <limits.h>

#include "http.h"

#define MAX_DEPTH 32 /* of nested objects and arrays */

/* Returns the number of the line that holds an offset of text, from 1. */
static int line_of(const char *text, size_t offset)
{
	int line = 1;

	for (size_t i = 0; i < offset; i++)
		line += text[i] == '\n';
	return line;
}

/* Whether text is white space, up to its end or to a comment. */
static bool is_blank(const char *ptr, size_t len)
{
	for (size_t i = 0; i < len; i++) {
		if (ptr[i] == '/')
			return true; /* comments are parsed by json-c */
		if (!g_ascii_isspace(ptr[i]))
			return false;
	}
	return true;
}

/* Parses the first JSON value of a text; sets code and end, the offset of what
 * follows it. */
static struct json_object *value_parse(const char *ptr, size_t len,
				       enum json_tokener_error *code,
				       size_t *end)
{
	struct json_tokener *tok = json_tokener_new_ex(MAX_DEPTH);
	struct json_object *obj = NULL;

	*code = json_tokener_error_size;
	*end = 0;
	if (len < INT_MAX) {
		obj = json_tokener_parse_ex(tok, ptr, (int)len);
		*code = json_tokener_get_error(tok);
		*end = json_tokener_get_parse_end(tok);
	}
	json_tokener_free(tok);
	return obj;
}

bool json_is_whole(const char *ptr, size_t len)
{
	enum json_tokener_error code;
	size_t end;
	struct json_object *obj = value_parse(ptr, len, &code, &end);
	bool whole = (json_object_is_type(obj, json_type_object) ||
		      json_object_is_type(obj, json_type_array)) &&
		     is_blank(ptr + end, len - end);

	json_object_put(obj);
	return whole;
}

struct json_object *json_parse_checked(const char *ptr, size_t len,
				       GError **error)
{
	enum json_tokener_error code;
	size_t end;
	struct json_object *obj = value_parse(ptr, len, &code, &end);

	if (obj && json_object_is_type(obj, json_type_object) &&
	    is_blank(ptr + end, len - end))
		return obj;
	g_set_error(error, g_quark_from_static_string("json"), (int)code,
		    "line %d: %s", line_of(ptr, MIN(end, len)),
		    obj ? "not one JSON object"
			: json_tokener_error_desc(code));
	json_object_put(obj);
	return NULL;
}

struct json_object *json_parse_object(const char *ptr, size_t len)
{
	return json_parse_checked(ptr, len, NULL);
}

const char *json_text(struct json_object *obj, const char *key,
		      const char *fallback)
{
	struct json_object *value;

	if (json_object_object_get_ex(obj, key, &value) &&
	    json_object_is_type(value, json_type_string))
		return json_object_get_string(value);
	return fallback;
}

int64_t json_int(struct json_object *obj, const char *key, int64_t fallback)
{
	struct json_object *value;

	if (json_object_object_get_ex(obj, key, &value) &&
	    json_object_is_type(value, json_type_int))
		return json_object_get_int64(value);
	return fallback;
}

int json_flag(struct json_object *obj, const char *key, int fallback)
{
	struct json_object *value;

	if (json_object_object_get_ex(obj, key, &value) &&
	    json_object_is_type(value, json_type_boolean))
		return json_object_get_boolean(value);
	return fallback;
}

double json_real(struct json_object *obj, const char *key, double fallback)
{
	struct json_object *value;

	if (json_object_object_get_ex(obj, key, &value) &&
	    (json_object_is_type(value, json_type_double) ||
	     json_object_is_type(value, json_type_int)))
		return json_object_get_double(value);
	return fallback;
}

void json_add_text(struct json_object *obj, const char *key, const char *value)
{
	json_object_object_add(obj, key, json_object_new_string(value));
}

void json_add_int(struct json_object *obj, const char *key, int64_t value)
{
	json_object_object_add(obj, key, json_object_new_int64(value));
}

const char *json_print(struct json_object *obj, size_t *len)
{
	return json_object_to_json_string_length(
		obj, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE,
		len);
}

void json_reply(struct http_request *request, int status,
		struct json_object *obj)
{
	size_t len;
	const char *text = json_print(obj, &len);

	http_response_send(request, status, "application/json", text, len);
	json_object_put(obj);
}
