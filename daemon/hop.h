/*
 * Requests forwarded to another host, over connections between hosts that are
 * kept. A host that does not accept one says so before it has done anything,
 * and the next one is asked.
 *
 * Knows nothing of the requests themselves: the owner supplies their bytes and
 * the hosts, and is called back with the response.
 */
#ifndef DAEMON_HOP_H
#define DAEMON_HOP_H

#include "../decide/links.h"
#include "../decide/member.h"
#include "../wire/hc.h"

struct hop;
struct hop_call;

/* A host that may be asked. */
struct hop_host {
	char address[MEMBER_ADDRESS_MAX]; /* of its listener for such requests
					   */
	bool near;			  /* in the data centre of this host */
	bool hears; /* it has said that it receives data from the workers */
};

struct hop_options {
	uv_loop_t *loop;
	const char *source;	/* IP address that connections come from */
	clk_ms connect_timeout; /* ms */
	clk_ms peer_timeout;	/* of a host that acknowledges nothing, in ms */
	const char *id_header;	/* see struct hc_options */
	/* Lists the hosts that may be asked now, at most max; returns how many.
	 * request: the ctx of its struct hop_spec, or NULL. */
	size_t (*hosts)(void *ctx, const void *request, struct hop_host *hosts,
			size_t max);
	/* Whether a response says that its host has not accepted the request.
	 */
	bool (*is_rejection)(const struct h1_head *head);
	/* Whether it says that its host has failed to run the request: its
	 * links may be bad, too. */
	bool (*is_failure)(const struct h1_head *head);
	/* Returns a random number. */
	uint32_t (*random)(void *ctx);
	void *ctx;
};

enum hop_result {
	HOP_COMPLETE,	  /* the whole response was received */
	HOP_NOT_ACCEPTED, /* by no host: the request was not run */
	HOP_CUT,	  /* the response is incomplete: it may have run */
};

/* A request, and the callbacks for its response; see struct hc_request_spec. */
struct hop_spec {
	const char *head;
	size_t head_len;
	GBytes *body;
	const char *id;
	bool is_head;
	void (*on_head)(void *ctx, const struct h1_head *head);
	void (*on_data)(void *ctx, const char *ptr, size_t len);
	/* Called exactly once, unless the request is cancelled. */
	void (*on_end)(void *ctx, enum hop_result result);
	void *ctx;
};

struct hop *hop_create(const struct hop_options *options);
/* Whether there is a host that can be asked now. */
bool hop_is_possible(struct hop *hop);
/* Forwards a request, whose bytes are copied; returns NULL if there is no host
 * that can be asked. No callback runs before this returns. */
struct hop_call *hop_start(struct hop *hop, const struct hop_spec *spec);
/* Cancels a request; none of its callbacks runs after this. */
void hop_cancel(struct hop_call *call);
/* Returns the address of the host that was asked last. */
const char *hop_address(const struct hop_call *call);
/* Closes the connections to hosts that may not be asked any more. */
void hop_tick(struct hop *hop);

#endif
