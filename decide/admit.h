/*
 * Admission: a bounded queue per pool that is fair between accounts.
 *
 * Within a priority the account with the least service, by estimated tokens
 * over its weight, goes first. Batch work waits until nothing else does. A
 * request that can't make its deadline is refused when it comes.
 */
#ifndef DECIDE_ADMIT_H
#define DECIDE_ADMIT_H

#include <glib.h>
#include <stdbool.h>

#include "clk.h"

/* One request that waits for an upstream with room. */
struct admit_ticket {
	const char *account; /* the owner keeps the text */
	double weight;	     /* of the account, over 0 */
	int priority;	     /* 0 goes first */
	bool batch;	     /* yields to all that is not */
	int tokens;	     /* estimated */
	clk_ms deadline;
	double virtual_start; /* virtual time; set by the queue */
	void *owner;	      /* the dispatcher's */
	bool queued;
};

/* What a pool can do now, from the router. */
struct admit_pool {
	int slots;
	int capacity;	   /* free places */
	double service_ms; /* mean time of a call */
};

struct admit_queue {
	GQueue tickets;		  /* in the order of service */
	GHashTable *finish_times; /* account -> double *: virtual finish time */
	double virtual_time;
	guint max_tickets; /* tickets */
};

struct admit_queue *admit_queue_create(guint most);
void admit_queue_free(struct admit_queue *queue);
/* Tells whether a ticket could be served by its deadline; if not, come_back
 * is set to the ms after which it would be worth asking again. */
bool admit_check(const struct admit_queue *queue,
		 const struct admit_ticket *ticket,
		 const struct admit_pool *pool, clk_ms now, clk_ms *come_back);
void admit_push(struct admit_queue *queue, struct admit_ticket *ticket);
/* Returns the next ticket and leaves it there, or NULL. */
struct admit_ticket *admit_peek(const struct admit_queue *queue);
/* Takes the next ticket, or NULL. */
struct admit_ticket *admit_pop(struct admit_queue *queue);
void admit_remove(struct admit_queue *queue, struct admit_ticket *ticket);

#endif
