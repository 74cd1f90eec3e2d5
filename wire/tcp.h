/*
 * One TCP connection on a libuv loop: bytes in, bytes out, its end.
 *
 * A dead peer is noticed by keep-alive probes and by a limit on how long
 * sent bytes may stay unacknowledged.
 */
#ifndef WIRE_TCP_H
#define WIRE_TCP_H

#include <glib.h>
#include <stdbool.h>
#include <uv.h>

#include "../decide/clk.h"

struct tcp;

/* What the owner of a connection is told. */
struct tcp_ops {
	/* More bytes stand in tcp->in. */
	void (*on_data)(void *ctx);
	/* Nothing more comes; clean: the peer ended it, without a reset. The
	 * owner calls tcp_close. */
	void (*on_end)(void *ctx, bool clean);
	/* All queued bytes are written; may be NULL. */
	void (*on_drain)(void *ctx);
};

struct tcp {
	uv_tcp_t handle;
	uv_connect_t connect;
	const struct tcp_ops *ops;
	void *ctx;
	GString *in;	/* received and not yet taken */
	size_t pending; /* bytes that are queued for writing */
	bool closing;
	bool shutdown_started;
	void (*on_connect)(void *ctx, bool ok);
};

/* Creates a connection that is not open yet. */
struct tcp *tcp_create(uv_loop_t *loop, const struct tcp_ops *ops, void *ctx);
/* Takes a connection from a listener; false if there is none. */
bool tcp_accept(struct tcp *tcp, uv_stream_t *listener);
/* Connects to "IP:port"; fn is called once, unless tcp_close comes first. */
bool tcp_connect(struct tcp *tcp, const char *address,
		 void (*fn)(void *ctx, bool ok));
/* Sets how long a silent or unreachable peer is borne, in ms. */
void tcp_set_peer_timeout(struct tcp *tcp, clk_ms limit);
void tcp_read_start(struct tcp *tcp);
void tcp_read_stop(struct tcp *tcp);
/* Writes; what the kernel does not take at once is copied and queued. */
void tcp_write(struct tcp *tcp, const char *ptr, size_t len);
/* Ends the sending side once all is written. */
void tcp_shutdown(struct tcp *tcp);
/* Closes and frees; none of the callbacks is called any more. */
void tcp_close(struct tcp *tcp);
/* Removes bytes from the start of tcp->in. */
void tcp_consume(struct tcp *tcp, size_t len);

/* Splits "IP:port"; false if it is not one. */
bool tcp_parse_address(const char *text, struct sockaddr_in *addr);
/* Listens on "IP:port"; fn is called for each connection that waits. */
bool tcp_listen(uv_loop_t *loop, uv_tcp_t *listener, const char *address,
		uv_connection_cb fn, GError **error);

#endif
