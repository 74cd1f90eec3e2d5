/*
 * When the leader orders workers of one kind in one data centre, and how many.
 *
 * A rise is ordered at once; workers are released only after a delay, so that
 * their replacements come first. Where none are available, orders are repeated
 * for one data centre of the pool at a time: mostly the shortage is everywhere,
 * and one accepted order ends it for all.
 */
#ifndef DECIDE_ORDER_H
#define DECIDE_ORDER_H

#include <stdbool.h>

#include "clk.h"

enum order_result {
	ORDER_ACCEPTED,
	ORDER_NO_CAPACITY, /* no such workers are available now */
	ORDER_NOT_DONE,
	ORDER_UNKNOWN, /* no response: it may have been done */
};

/* Availability of one kind of worker in a pool. */
struct order_supply {
	clk_ms refused_at;	 /* last order without capacity; 0: none since
				  * one was accepted that had been refused */
	clk_ms retries_until;	 /* time of the last retry that is planned */
	unsigned accepted_again; /* shortages that have ended */
};

/* The orders of one kind of worker in one data centre. */
struct order {
	bool spot;
	int accepted;  /* count of the last accepted order; -1: none known */
	int requested; /* count of the last call */
	bool pending;
	clk_ms sent_at;
	int ready_max;		 /* most workers ready since the last call */
	bool unavailable;	 /* the last order found none */
	unsigned unavailable_in; /* accepted_again at that time */
	clk_ms retry_at;
	clk_ms excess_since; /* more are ordered than wanted; 0: not so */
};

void order_init(struct order *order, bool spot);
/* Whether no such workers are available, as far as is known. */
bool order_unavailable(const struct order *order,
		       const struct order_supply *supply);
/* Whether none are available and it is too soon to try again. */
bool order_blocked(const struct order *order, const struct order_supply *supply,
		   clk_ms now);
/* Whether workers of this kind were refused recently somewhere. */
bool order_scarce(const struct order_supply *supply, clk_ms now);
/* Returns the number to order for a wanted number, given the ready ones. */
int order_count(struct order *order, int want, int ready, clk_ms now);
/* Whether to send an order of count now; boot: ms until new workers are
 * ready. */
bool order_due(struct order *order, const struct order_supply *supply,
	       int count, int ready, clk_ms boot, clk_ms now);
void order_on_sent(struct order *order, int count, clk_ms now);
void order_on_result(struct order *order, struct order_supply *supply,
		     enum order_result result, clk_ms now);

#endif
