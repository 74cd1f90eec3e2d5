/* Maps error kinds to HTTP answers. */
#include "err.h"

#include <string.h>

static const struct err_answer answers[ERR_KIND_COUNT] = {
	[RW_OK] = { "RW_OK", "done", 200, ERR_RAN_YES, 0 },
	[RW_EBADHTTP] = { "RW_EBADHTTP", "the request is not well-formed HTTP",
			  400, ERR_RAN_NO, 0 },
	[RW_EBADJSON] = { "RW_EBADJSON", "the body is not a JSON object", 400,
			  ERR_RAN_NO, 0 },
	[RW_EBADRPC] = { "RW_EBADRPC", "the message does not decode", 400,
			 ERR_RAN_NO, 0 },
	[RW_EBADID] = { "RW_EBADID",
			"the request id is not <home>.<time>-<nonce>", 400,
			ERR_RAN_NO, 0 },
	[RW_EBADFIELD] = { "RW_EBADFIELD", "a field is missing or wrong", 400,
			   ERR_RAN_NO, 0 },
	[RW_ETOOLARGE] = { "RW_ETOOLARGE", "the body is over the limit", 413,
			   ERR_RAN_NO, 0 },
	[RW_ENOROUTE] = { "RW_ENOROUTE", "no such path, route or model", 404,
			  ERR_RAN_NO, 0 },
	[RW_ENOACCOUNT] = { "RW_ENOACCOUNT", "no such account", 403, ERR_RAN_NO,
			    0 },
	[RW_EKEY] = { "RW_EKEY", "no account has this key", 401, ERR_RAN_NO,
		      0 },
	[RW_ENOTREADY] = { "RW_ENOTREADY",
			   "this host knows no configuration yet", 503,
			   ERR_RAN_NO, 300 },
	[RW_EMETHOD] = { "RW_EMETHOD", "the path does not take this method",
			 405, ERR_RAN_NO, 0 },
	[RW_ECONFLICT] = { "RW_ECONFLICT",
			   "another change came first; its value is shown", 409,
			   ERR_RAN_NO, 0 },
	[RW_ESETTINGS] = { "RW_ESETTINGS", "the settings break a rule", 422,
			   ERR_RAN_NO, 0 },
	[RW_EIDREUSED] = { "RW_EIDREUSED",
			   "the id was used before with another body", 409,
			   ERR_RAN_NO, 0 },
	[RW_EUNSEEN] = { "RW_EUNSEEN", "no request with this id was accepted",
			 404, ERR_RAN_NO, 0 },
	[RW_ELIMIT] = { "RW_ELIMIT", "the account is over its limit", 429,
			ERR_RAN_NO, 1000 },
	[RW_EPOISON] = { "RW_EPOISON", "upstreams crash on this request", 503,
			 ERR_RAN_NO, 30000 },
	[RW_EBUSY] = { "RW_EBUSY", "the deadline cannot be met now", 503,
		       ERR_RAN_NO, 2000 },
	[RW_ENOUPSTREAM] = { "RW_ENOUPSTREAM", "no upstream can serve this now",
			     503, ERR_RAN_NO, 2000 },
	[RW_ENOLINK] = { "RW_ENOLINK", "this host reaches no upstream", 503,
			 ERR_RAN_NO, 500 },
	[RW_ENOHOME] = { "RW_ENOHOME", "this host has no open record yet", 503,
			 ERR_RAN_NO, 500 },
	[RW_ESTOPPING] = { "RW_ESTOPPING", "this host is shutting down", 503,
			   ERR_RAN_NO, 100 },
	[RW_EDEADLINE] = { "RW_EDEADLINE", "the deadline passed before it ran",
			   504, ERR_RAN_NO, 1000 },
	[RW_EUPSTREAM] = { "RW_EUPSTREAM",
			   "the upstream failed after it got the call", 502,
			   ERR_RAN_UNKNOWN, 1000 },
	[RW_EUNKNOWN] = { "RW_EUNKNOWN", "nobody can say whether it ran", 504,
			  ERR_RAN_UNKNOWN, 3000 },
	[RW_EEXPIRED] = { "RW_EEXPIRED",
			  "the id is older than the retention time", 410,
			  ERR_RAN_UNKNOWN, 0 },
	[RW_EPLATFORM] = { "RW_EPLATFORM",
			   "the platform's service did not answer", 503,
			   ERR_RAN_UNKNOWN, 1000 },
	[RW_EINTERNAL] = { "RW_EINTERNAL", "a fault of this program", 500,
			   ERR_RAN_UNKNOWN, 0 },
};

const struct err_answer *err_answer(enum err_kind kind)
{
	if ((unsigned)kind >= ERR_KIND_COUNT)
		kind = RW_EINTERNAL;
	return &answers[kind];
}

enum err_kind err_kind_parse(const char *name, size_t len)
{
	for (int kind = 0; kind < ERR_KIND_COUNT; kind++) {
		const char *known = answers[kind].name;

		if (strlen(known) == len && !memcmp(known, name, len))
			return (enum err_kind)kind;
	}
	return RW_EINTERNAL;
}

const char *err_ran_name(enum err_ran ran)
{
	static const char *const names[] = { "no", "yes", "unknown" };

	return names[ran];
}
