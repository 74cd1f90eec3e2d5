/*
 * Admission: a bounded queue per pool that is fair between accounts.
 *
 * Within a priority the account with the least service, in estimated tokens
 * divided by its weight, goes first. Batch requests are served only when no
 * others wait. A request that cannot meet its deadline is rejected on arrival.
 */
#ifndef DECIDE_ADMIT_H
#define DECIDE_ADMIT_H

#include <glib.h>
#include <stdbool.h>

#include "clk.h"

/* A request that waits for an upstream with capacity. */
struct admit_ticket {
	const char *account; /* string owned by the ticket's owner */
	double weight;	     /* of the account, above 0 */
	int priority;	     /* 0 goes first */
	bool batch;	     /* served after all non-batch tickets */
	int tokens;	     /* estimated */
	clk_ms deadline;
	double virtual_start; /* set by the queue */
	void *owner;	      /* for the dispatcher, not used by the queue */
	bool queued;
};

/* The current capacity of a pool, from the router. */
struct admit_pool {
	int slots;
	int capacity;	   /* calls that may begin now */
	double service_ms; /* mean duration of a call */
};

struct admit_queue {
	GQueue tickets;		  /* in order of service */
	GHashTable *finish_times; /* account -> double *, virtual time */
	double virtual_time;
	guint max_tickets;
};

struct admit_queue *admit_queue_create(guint max_tickets);
void admit_queue_free(struct admit_queue *queue);
/* Returns whether a ticket can be served by its deadline. If not, retry_after
 * is set to the ms after which a new attempt is worthwhile. */
bool admit_check(const struct admit_queue *queue,
		 const struct admit_ticket *ticket,
		 const struct admit_pool *pool, clk_ms now,
		 clk_ms *retry_after);
void admit_push(struct admit_queue *queue, struct admit_ticket *ticket);
/* Returns the next ticket without removing it, or NULL. */
struct admit_ticket *admit_peek(const struct admit_queue *queue);
/* Removes and returns the next ticket, or NULL. */
struct admit_ticket *admit_pop(struct admit_queue *queue);
void admit_remove(struct admit_queue *queue, struct admit_ticket *ticket);

#endif
