/*
 * rw-admind: the administration API. Settings are changed by
 * compare-and-swap on the platform; a change counts as accepted only once
 * the swap is known to have taken effect.
 */
#ifndef DAEMON_ADMIND_H
#define DAEMON_ADMIND_H

#include <uv.h>

#include "../wire/conf.h"
#include "../wire/http.h"
#include "../wire/json.h"
#include "../wire/plat.h"
#include "../decide/err.h"

struct admind {
	uv_loop_t loop;
	struct conf_admin *conf;
	struct http_server *server;
	struct http_client *client;
	struct plat *plat;
	GRand *rand;
	int64_t last_change; /* for unique change ids */
	char instance[16];
	uint64_t accepted;
	uint64_t conflicts;
	uint64_t unresolved;
};

/* admind-change.c */
void admind_setting_get(struct admind *admind, struct http_request *call,
			const char *key);
void admind_setting_put(struct admind *admind, struct http_request *call,
			const char *key);
void admind_setting_delete(struct admind *admind, struct http_request *call,
			   const char *key);

/* admind-answer.c */
void admind_reply_error(struct http_request *call, enum err_kind kind,
			const char *detail, struct json_object *more);

#endif
