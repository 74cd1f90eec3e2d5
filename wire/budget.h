/*
 * The process's budget: counts the bytes and connections that it holds for
 * others, evicts connections when they hold too much, and displaces some when
 * too many are open. See decide/hold.h for which.
 */
#ifndef WIRE_BUDGET_H
#define WIRE_BUDGET_H

#include <uv.h>

#include "../decide/hold.h"

/* One connection. */
struct budget_holder {
	struct hold_holder hold;
	const struct budget_ops *ops;
	void *ctx;
};

struct budget_ops {
	/* Returns the bytes that the client has taken since the last call. */
	size_t (*taken)(void *ctx);
	/* Gives up what may be given up; returns what was done. */
	const char *(*evict)(void *ctx);
	/* Closes the connection in favour of another one; returns what was
	 * done. NULL: it is kept, as it has unread input. */
	const char *(*displace)(void *ctx);
	/* Writes the client's address. */
	void (*peer)(void *ctx, char *buf, size_t size);
};

/* A listener whose connections are counted. */
struct budget_listener {
	struct hold_group group;
	uv_stream_t *stream;
	uv_connection_cb fn;
	bool waits; /* for a place for its next connection */
	GList link;
};

struct budget_options {
	uv_loop_t *loop;
	size_t limit;	     /* bytes, see budget_limit */
	int64_t memory_mb;   /* limit of the process, in MB */
	int64_t descriptors; /* the same, in number; 0: that of the system */
	/* Writes a log line. */
	void (*log)(bool is_warning, const char *event, const char *fields);
};

/* Begins to enforce a budget. */
void budget_start(const struct budget_options *options);
/* Returns the budget in bytes for settings in MB; budget_mb 0: the default, a
 * half of the memory limit. */
size_t budget_limit(int64_t budget_mb, int64_t memory_mb);
/* Returns how many connections the process may have open. */
size_t budget_connections_max(void);
/* ops NULL: the connection is never evicted. */
void budget_init(struct budget_holder *holder, const struct budget_ops *ops,
		 void *ctx);
void budget_set(struct budget_holder *holder, enum hold_purpose purpose,
		size_t bytes);
/* The connection begins a request, or has its response. */
void budget_on_progress(struct budget_holder *holder);
/* Bytes of a request have arrived, or the client has taken some. */
void budget_on_bytes(struct budget_holder *holder, size_t bytes);
void budget_remove(struct budget_holder *holder);
/* Adds a listener, of whose connections limit may have a request in flight. fn
 * is its callback for arriving connections. */
void budget_listener_add(struct budget_listener *listener, uv_stream_t *stream,
			 uv_connection_cb fn, size_t limit);
/* The listener is closed. */
void budget_listener_remove(struct budget_listener *listener);
/* Displaces connections, if there is no place for the one that has arrived.
 * Returns false if it has to wait in the listener's queue: fn is called again.
 * To be called where no owner of a connection is at work. */
bool budget_may_accept(struct budget_listener *listener);
/* Counts an accepted connection; returns false if there is no place. */
bool budget_join(struct budget_holder *holder,
		 struct budget_listener *listener);
/* Whether another request of a listener's connections may be in flight. */
bool budget_may_serve(const struct budget_listener *listener);
/* Counts a connection to be opened. Others are displaced by the next
 * budget_enforce. */
void budget_join_outgoing(struct budget_holder *holder);
/* Reserves the receive window of a connection and sets it on its socket, which
 * is not connected yet or whose window is smaller. */
void budget_set_window(struct budget_holder *holder, uv_os_fd_t fd);
/* The same for a listener: the window of connections that wait to be accepted.
 */
void budget_set_listener_window(uv_os_fd_t fd);
/* Evicts and displaces connections until the budget suffices. To be called
 * where no owner of a connection is at work. */
void budget_enforce(void);
/* Whether more is held than the budget, after evictions: what grows now can't
 * go on. */
bool budget_is_exceeded(void);
/* Appends the metrics as "name value" lines. */
void budget_print(GString *text);

#endif
