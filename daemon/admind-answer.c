/* Error responses of the administration API. */
#include "admind.h"

void admind_reply_error(struct http_request *request, enum err_kind kind,
			const char *detail, struct json_object *more)
{
	const struct err_answer *answer = err_answer(kind);
	struct json_object *obj = more ? more : json_object_new_object();

	json_add_text(obj, "error", answer->name);
	json_add_text(obj, "text", answer->text);
	if (detail && detail[0])
		json_add_text(obj, "detail", detail);
	json_reply(request, answer->status, obj);
}
