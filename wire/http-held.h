/*
 * Counts what the connections of h2o's server hold in the process's budget, and
 * ends those that are evicted. h2o has no call for that: its read callback gets
 * an error or, if it is not reading, its socket is shut down.
 */
#ifndef WIRE_HTTP_HELD_H
#define WIRE_HTTP_HELD_H

#include <h2o.h>
#include <uv.h>

struct http_held;
struct http_held_conn;

struct http_held *http_held_create(uv_loop_t *loop);
/* A connection was accepted. */
void http_held_add(struct http_held *held, h2o_socket_t *sock, uv_tcp_t *tcp);
/* A request has arrived completely on a connection; to be followed by
 * http_held_end. */
struct http_held_conn *http_held_begin(struct http_held *held,
				       h2o_socket_t *sock);
/* Sets the bytes of the request's response that wait to be passed to h2o. */
void http_held_set_output(struct http_held_conn *conn, size_t bytes);
void http_held_end(struct http_held_conn *conn);

#endif
