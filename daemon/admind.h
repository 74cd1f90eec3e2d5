/*
 * rw-admind: the administration API. Settings are changed by
 * compare-and-swap on the platform; a change is reported as accepted only
 * once the compare-and-swap is known to have taken effect.
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
	int64_t last_change; /* number in the newest change id */
	char instance[16];   /* random prefix of change ids */
	uint64_t accepted;   /* changes that took effect */
	uint64_t conflicts;  /* changes refused by revision */
	uint64_t unresolved; /* changes that failed without a response */
};

/* admind-change.c: reads, stores or deletes one setting and responds. */
void admind_setting_get(struct admind *admind, struct http_request *request,
			const char *key);
void admind_setting_put(struct admind *admind, struct http_request *request,
			const char *key);
void admind_setting_delete(struct admind *admind, struct http_request *request,
			   const char *key);

/* admind-answer.c */
/* Responds with an error; its fields are added to more, which is consumed.
 * detail may be empty or NULL, more may be NULL. */
void admind_reply_error(struct http_request *request, enum err_kind kind,
			const char *detail, struct json_object *more);

#endif
