/*
 * TCP connections on a libuv loop: buffered input, queued output, and the end
 * of the connection.
 *
 * A dead peer is detected by keep-alive probes and by TCP_USER_TIMEOUT, the
 * limit on how long sent bytes may stay unacknowledged.
 */
#ifndef WIRE_TCP_H
#define WIRE_TCP_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "budget.h"

struct tcp;

/* Callbacks to the owner of a connection. */
struct tcp_ops {
	/* Bytes were added to tcp->in. */
	void (*on_data)(void *ctx);
	/* No more input; clean: the peer closed its side without a reset. The
	 * owner must call tcp_close. */
	void (*on_end)(void *ctx, bool clean);
	/* All queued bytes were written; may be NULL. */
	void (*on_drain)(void *ctx);
	/* The bytes that are held for the connection are to be given up;
	 * returns what was done, for the log. NULL: it is never asked. */
	const char *(*on_evict)(void *ctx);
	/* Closes the connection in favour of another one and returns what was
	 * done, for the log; NULL: it is kept, as it has unread input. Required
	 * for accepted connections. */
	const char *(*on_displace)(void *ctx);
};

struct tcp {
	uv_tcp_t handle;
	uv_connect_t connect;
	const struct tcp_ops *ops;
	void *ctx;
	GString *in;	/* received and not yet consumed */
	size_t pending; /* bytes queued for writing */
	size_t queued;	/* the same, as allocated */
	GQueue outs;	/* struct tcp_out that are queued */
	/* What the bytes are held for; by default as for a client. */
	enum hold_purpose in_purpose;
	enum hold_purpose out_purpose;
	struct budget_holder holder;
	size_t queue_seen; /* bytes that were queued when last looked at */
	bool closing;
	bool shutdown_started;
	void (*on_connect)(void *ctx, int error);
};

/* Creates an unconnected connection object. */
struct tcp *tcp_create(uv_loop_t *loop, const struct tcp_ops *ops, void *ctx);
/* Accepts a connection from a listener that budget_may_accept has let through;
 * returns false if there is none, or no place for it: it is closed with the
 * object then. */
bool tcp_accept(struct tcp *tcp, struct budget_listener *listener);
/* Connects to "IP:port", from the IP address source unless it is NULL; fn is
 * called once, unless tcp_close is called first, with an error of libuv or 0.
 * Returns false if the attempt fails at once. */
bool tcp_connect(struct tcp *tcp, const char *address, const char *source,
		 void (*fn)(void *ctx, int error));
/* Sets after how long, in ms, an unresponsive peer counts as dead. */
void tcp_set_peer_timeout(struct tcp *tcp, clk_ms timeout);
void tcp_read_start(struct tcp *tcp);
void tcp_read_stop(struct tcp *tcp);
/* Writes bytes; those that the kernel does not accept at once are copied and
 * queued. */
void tcp_write(struct tcp *tcp, const char *ptr, size_t len);
/* Writes bytes that are referenced, not copied; their owner counts them in the
 * process's budget. */
void tcp_write_bytes(struct tcp *tcp, GBytes *bytes);
/* Closes the sending side once all queued bytes are written. */
void tcp_shutdown(struct tcp *tcp);
/* Closes and frees a connection; none of its callbacks runs after this. */
void tcp_close(struct tcp *tcp);
/* The same with a reset: what was written and not yet sent is dropped. */
void tcp_reset(struct tcp *tcp);
/* Returns the bytes that have arrived and were not read into tcp->in yet. */
size_t tcp_unread_bytes(const struct tcp *tcp);
/* Whether something has arrived that was not read yet: bytes, the end of the
 * input, or a reset. */
bool tcp_input_waits(const struct tcp *tcp);
/* Returns the bytes that the peer has not acknowledged yet, queued ones
 * included. */
size_t tcp_unsent_bytes(const struct tcp *tcp);
/* Returns how long ago, in ms, the kernel last sent bytes to the peer;
 * keep-alive probes do not count. CLK_NEVER: not known. */
clk_ms tcp_sent_ago(const struct tcp *tcp);
/* Whether the peer has closed its side or reset the connection, though bytes
 * before that may not be read yet. */
bool tcp_peer_closed(const struct tcp *tcp);
/* Removes bytes from the start of tcp->in. */
void tcp_consume(struct tcp *tcp, size_t len);
/* Drops all of tcp->in, and frees its buffer if it is large. */
void tcp_discard(struct tcp *tcp);
/* Counts tcp->in and what is queued in the process's budget. That is done after
 * every callback; owners that change tcp->in at other times call it. */
void tcp_account(struct tcp *tcp);
/* Notes whether the peer has taken queued bytes since the last look. */
void tcp_note_sent(struct tcp *tcp);

/* Parses "IP:port"; returns false if it is malformed. */
bool tcp_parse_address(const char *text, struct sockaddr_in *addr);
/* Listens on "IP:port"; fn is called for each incoming connection. */
bool tcp_listen(uv_loop_t *loop, uv_tcp_t *listener, const char *address,
		uv_connection_cb fn, GError **error);
/* Limits what the kernel receives on connections that wait to be accepted; to
 * be called before uv_listen. */
void tcp_limit_listener(const uv_tcp_t *listener);
/* Whether a connection has arrived that was not accepted yet. */
bool tcp_accept_is_due(const uv_tcp_t *listener);

#endif
