/*
 * Workers that say how many requests they can reject in a second for want of
 * room. The room is not known, and shrinks without a word: each host keeps to
 * what a worker has accepted from it lately, and tries one more now and then.
 * When a worker rejects what it had accepted before, all hosts are told, and
 * keep to what they have there at that moment: together that is the room. If
 * several are rejected in a second, nobody sends anything for as long.
 */
#include "fleet.h"

#include <math.h>

/* Requests beyond what was accepted come at random: so many standard deviations
 * fewer than what is borne, within these shares of it. */
#define TRIED_DEVIATIONS 1.6
#define TRIED_MIN_SHARE 0.05
#define TRIED_MAX_SHARE 0.5
#define HOSTS_SHARING 1.5   /* each rejection: from then on the least share */
#define REJECTED_PAUSES 1.5 /* and up to one more, after a rejected try */
#define PAUSE_MAX_MS 600000
#define WINDOW_MS CLK_SECOND /* in which a worker counts its rejections */
/* Of the rejections that are borne, until all hosts stop: others are on their
 * way then. */
#define STOP_SHARE 0.4
#define TOLD_SHARE 0.04 /* of them, in a message */
#define KEPT_SHARE 0.6	/* of its requests there, for a host that stops */
#define REFILL_MS 3000	/* after a stop, until a worker is full again */
#define RETURN_MS 500	/* in which hosts send again */

/* Returns how many requests beyond what was accepted all hosts together may
 * send to a worker in a second. */
static double tries_for(double rejections, unsigned hosts)
{
	/* Where several hosts share each rejection, their tries coincide. */
	if (rejections * HOSTS_SHARING < hosts)
		return TRIED_MIN_SHARE * rejections;
	return CLAMP(rejections - TRIED_DEVIATIONS * sqrt(rejections),
		     TRIED_MIN_SHARE * rejections,
		     TRIED_MAX_SHARE * rejections);
}

void fleet_brittle_on_response(struct fleet_worker *worker, double rejections,
			       unsigned hosts)
{
	struct fleet_brittle *brittle = &worker->brittle;

	if (rejections < 0) {
		*brittle = (struct fleet_brittle){ .is = false };
		return;
	}
	brittle->is = true;
	brittle->bears = rejections;
	brittle->pause = (clk_ms)MIN(
		CLK_SECOND * hosts / MAX(tries_for(rejections, hosts), 0.01),
		PAUSE_MAX_MS);
}

/* Counts rejections, of this host or another one. */
static void rejections_count(struct fleet_worker *worker, unsigned count,
			     double chance, clk_ms now)
{
	struct fleet_brittle *brittle = &worker->brittle;

	if (now - brittle->counted_from >= WINDOW_MS) {
		brittle->counted_from = now;
		brittle->counted = 0;
	}
	brittle->counted += count;
	if (brittle->counted < brittle->bears * STOP_SHARE)
		return;
	if (now >= worker->withheld_until) {
		/* There is less room than what is there now. Soon after a stop
		 * it was found out by filling the worker up again. */
		if (!brittle->stopped_at ||
		    now - brittle->stopped_at >= REFILL_MS)
			brittle->most =
				(unsigned)(brittle->most * KEPT_SHARE + chance);
		brittle->stopped_at = now;
	}
	/* Hosts come back one after the other. */
	fleet_withhold(worker, WINDOW_MS + (clk_ms)(chance * RETURN_MS), now);
}

/* Sets when to try one more. */
static void try_after(struct fleet_brittle *brittle, double pauses, clk_ms now)
{
	brittle->try_at = now + (clk_ms)((double)brittle->pause * pauses);
}

/* The worker has no room for more than it has now. */
static void limit_to(struct fleet_brittle *brittle, unsigned accepted,
		     double chance, clk_ms now)
{
	/* The hosts' first tries are spread over a pause. */
	if (!brittle->limited)
		try_after(brittle, chance, now);
	brittle->most =
		brittle->limited ? MIN(brittle->most, accepted) : accepted;
	brittle->limited = true;
}

unsigned fleet_brittle_on_rejection(struct fleet_worker *worker, bool tried,
				    double chance, clk_ms now)
{
	struct fleet_brittle *brittle = &worker->brittle;
	unsigned accepted = worker->inflight > 0 ? worker->inflight - 1 : 0;
	/* Where many are borne, the hosts are told of one in so many. */
	unsigned told = MAX((unsigned)(brittle->bears * TOLD_SHARE), 1);

	if (!brittle->is)
		return 0;
	if (tried && brittle->limited) {
		brittle->most -= brittle->most > 0;
		try_after(brittle, REJECTED_PAUSES + chance, now);
		return 0;
	}
	limit_to(brittle, accepted, chance, now);
	rejections_count(worker, 1, chance, now);
	return chance * told < 1 ? told : 0;
}

void fleet_brittle_on_told(struct fleet_worker *worker, unsigned count,
			   double chance, clk_ms now)
{
	struct fleet_brittle *brittle = &worker->brittle;

	if (!brittle->is)
		return;
	limit_to(brittle, worker->inflight, chance, now);
	rejections_count(worker, count, chance, now);
}

bool fleet_brittle_on_send(struct fleet_worker *worker, clk_ms now)
{
	struct fleet_brittle *brittle = &worker->brittle;

	if (!brittle->limited || worker->inflight <= brittle->most)
		return false;
	brittle->most = worker->inflight;
	try_after(brittle, 1, now);
	return true;
}

bool fleet_brittle_is_full(const struct fleet_worker *worker, clk_ms now)
{
	const struct fleet_brittle *brittle = &worker->brittle;
	bool tries = now >= brittle->try_at;

	return brittle->limited && worker->inflight >= brittle->most + tries;
}
