/*
 * Counts the connections of h2o's server, and what they hold, in the process's
 * budget, and ends those that are evicted or displaced. h2o has no call for
 * that: its read callback gets an error or, if it is not reading, its socket is
 * shut down.
 */
#ifndef WIRE_HTTP_HELD_H
#define WIRE_HTTP_HELD_H

#include <h2o.h>
#include <stdbool.h>
#include <uv.h>

struct http_held;
struct http_held_conn;

/* listener: fn is its callback for arriving connections. */
struct http_held *http_held_create(uv_loop_t *loop, uv_stream_t *listener,
				   uv_connection_cb fn);
/* The listener is closed. */
void http_held_stop(struct http_held *held);
/* Returns false if a new connection has to wait in the listener's queue; fn is
 * called again then. */
bool http_held_may_accept(struct http_held *held);
/* Counts an accepted connection; returns NULL if there is no place for it: it
 * was sent a refusal. */
struct http_held_conn *http_held_accept(struct http_held *held, uv_tcp_t *tcp);
/* A connection that was counted is passed to h2o. */
void http_held_add(struct http_held_conn *conn, h2o_socket_t *sock);
/* A request has arrived completely on a connection; to be followed by
 * http_held_end. */
struct http_held_conn *http_held_begin(struct http_held *held,
				       h2o_socket_t *sock);
/* Sets the bytes of the request's response that wait to be passed to h2o. */
void http_held_set_output(struct http_held_conn *conn, size_t bytes);
void http_held_end(struct http_held_conn *conn);

#endif
