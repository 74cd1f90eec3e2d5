/*
 * The list of error kinds and the HTTP answer to each.
 */
#ifndef DECIDE_ERR_H
#define DECIDE_ERR_H

#include <stddef.h>

/* Whether the request that got an error was executed. */
enum err_ran {
	ERR_RAN_NO,
	ERR_RAN_YES,
	ERR_RAN_UNKNOWN,
};

/* Every kind of error that a caller or an operator can receive. */
enum err_kind {
	RW_OK,
	RW_EBADHTTP,	/* not well-formed HTTP */
	RW_EBADJSON,	/* the body is not a JSON object */
	RW_EBADRPC,	/* an RPC message that does not decode */
	RW_EBADID,	/* the request id is malformed */
	RW_EBADFIELD,	/* a field is missing, of a wrong type or range */
	RW_ETOOLARGE,	/* the body is over the limit */
	RW_ENOROUTE,	/* no such path, route or model */
	RW_ENOACCOUNT,	/* no such account */
	RW_EKEY,	/* no account has this key */
	RW_ENOTREADY,	/* this host has no configuration yet */
	RW_EMETHOD,	/* the path does not support this method */
	RW_ECONFLICT,	/* a compare-and-swap failed */
	RW_ESETTINGS,	/* a settings object is invalid */
	RW_EIDREUSED,	/* the id was used before with another body */
	RW_EUNSEEN,	/* no request with this id was ever accepted */
	RW_ELIMIT,	/* the account is over its limit */
	RW_EPOISON,	/* upstreams crash on a part of the prompt */
	RW_EBUSY,	/* the deadline cannot be met under this load */
	RW_ENOUPSTREAM, /* no upstream can serve this now */
	RW_ENOLINK,	/* this host reaches no upstream that could serve it */
	RW_ENOHOME,	/* this host has no open record yet */
	RW_ESTOPPING,	/* this host is shutting down */
	RW_EDEADLINE,	/* the deadline passed before it ran */
	RW_EUPSTREAM,	/* the upstream failed after receiving the call */
	RW_EUNKNOWN,	/* it cannot be determined whether it ran */
	RW_EEXPIRED,	/* the id is older than the retention time */
	RW_EPLATFORM,	/* the platform's service did not respond */
	RW_EINTERNAL,	/* internal error */
	ERR_KIND_COUNT,
};

/* The answer to one kind of error. */
struct err_answer {
	const char *name;   /* body code, "RW_E..." */
	const char *text;   /* human-readable message */
	int status;	    /* HTTP status */
	enum err_ran ran;   /* whether the request ran */
	int retry_after_ms; /* 0: do not retry */
};

/* Returns the answer of kind; never NULL. */
const struct err_answer *err_answer(enum err_kind kind);

/* Returns the kind with that name, or RW_EINTERNAL. */
enum err_kind err_kind_parse(const char *name, size_t len);

/* Returns "no", "yes" or "unknown". */
const char *err_ran_name(enum err_ran ran);

#endif
