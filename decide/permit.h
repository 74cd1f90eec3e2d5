/*
 * Permits: how all hosts together keep to the request rate that a worker names.
 *
 * One of the hosts, chosen by rendezvous hash, is the worker's issuer. The
 * others ask it for permits, each of which allows one request, begins at a time
 * that the issuer sets and expires soon after. Permits begin no faster than the
 * rate, so that the bound holds wherever the callers are. A host that is turned
 * down learns when to ask again; the hosts return one after the other.
 *
 * If the issuer changes, the former one may go on for a while, unaware: a new
 * one begins at a part of the rate. A host that is cut off from others issues
 * only the part of the rate that its side has of all hosts.
 */
#ifndef DECIDE_PERMIT_H
#define DECIDE_PERMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"

/* The highest rate that counts as a limit, in requests a second. */
#define PERMIT_RATE_MAX 10000.0
/* How long a permit is valid after it has begun. */
#define PERMIT_VALID_MS 700
#define PERMIT_QUEUE_MAX 64 /* permits that a host holds for one worker */

/* An issuer's answer. */
struct permit_grant {
	unsigned count; /* permits; 0: turned down */
	double wait;	/* ms until the first one begins */
	double gap;	/* ms between the beginnings of two */
	clk_ms retry;	/* ms until it is worth asking again */
};

/* The permits for one worker, at its issuer. */
struct permit_issuer {
	clk_ms since;	/* when this host became the issuer */
	double issued;	/* permits a second, at the last question */
	double next;	/* when the next permit begins, in clk_ms */
	double invited; /* the permit that the last host that was turned down
			 * is to come back for begins then */
};

/* The permits for one worker that a host holds. */
struct permit_holder {
	double rate;	/* that the worker names, in requests a second */
	unsigned count; /* permits held */
	double begin[PERMIT_QUEUE_MAX]; /* of each, in ascending order */
	unsigned owed;	   /* requests that were sent without a permit */
	unsigned used;	   /* permits, since the last question */
	uint32_t question; /* number of the last one */
	clk_ms asked_at;   /* 0: no question is open */
	clk_ms ask_after;
};

void permit_issuer_init(struct permit_issuer *issuer, clk_ms now);
/* Issues up to wanted permits. rate: in requests a second; reach: the share of
 * all hosts that this one is in contact with, itself included. */
struct permit_grant permit_issue(struct permit_issuer *issuer, double rate,
				 double reach, unsigned wanted, clk_ms now);

void permit_holder_init(struct permit_holder *holder, double rate);
/* Whether a request may be sent now. */
bool permit_ready(const struct permit_holder *holder, clk_ms now);
/* A request was sent. One without a permit is owed. */
void permit_use(struct permit_holder *holder, clk_ms now);
/* Whether it is worth asking the issuer for permits. */
bool permit_may_ask(const struct permit_holder *holder, clk_ms now);
/* Begins a question; returns how many permits to ask for. */
unsigned permit_ask(struct permit_holder *holder, clk_ms now);
/* Adds the permits of an answer; returns whether it is the answer to the open
 * question. */
bool permit_on_grant(struct permit_holder *holder, uint32_t question,
		     const struct permit_grant *grant, clk_ms now);
/* Counts the permits that are valid now or soon, and those that may come with
 * the answer to the open question. */
unsigned permit_expected(const struct permit_holder *holder, clk_ms now);
/* Returns after how many ms the next permit that is held begins, or the open
 * question is given up; -1: there is none. */
clk_ms permit_next(const struct permit_holder *holder, clk_ms now);
/* Returns after how many ms the issuer may have a permit. */
clk_ms permit_wait(const struct permit_holder *holder, clk_ms now);

#endif
