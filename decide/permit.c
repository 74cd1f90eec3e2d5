/* Permits: how all hosts together keep to the request rate that a worker names.
 */
#include "permit.h"

#include <glib.h>
#include <string.h>

/* Permits are issued that begin this soon; a request can wait so long. */
#define HORIZON_MS 250
/* A permit may begin so long ago: hosts ask late, and what is not asked for in
 * time would be lost. */
#define CREDIT_MS 500
/* A grant holds permits for this time at most, besides the credit. */
#define BATCH_MS 100
#define SETTLE_MS 2500	 /* until a former issuer has noticed that it is none */
#define SETTLE_SHARE 0.5 /* of the rate, meanwhile */
#define RETRY_MIN_MS 50
#define NO_CONTACT_MS 200 /* until an issuer knows which hosts it reaches */
/* Where many hosts ask for few permits, each asks this seldom. */
#define RETRY_MAX_MS 30000
/* Between two hosts that come back, of the time between two permits: not all
 * that were turned down still have a request when they are to come. */
#define INVITATION_SHARE 0.8
#define ANSWER_MS 300 /* without an answer, the question is asked again */
#define WANTED_MAX PERMIT_QUEUE_MAX

void permit_issuer_init(struct permit_issuer *issuer, clk_ms now)
{
	*issuer = (struct permit_issuer){ .since = now };
}

/* Returns the time between two permits, in ms; 0: none are issued. */
static double permit_gap(const struct permit_issuer *issuer, double rate,
			 double reach, clk_ms now)
{
	double share = now - issuer->since < SETTLE_MS ? SETTLE_SHARE : 1;
	double issued = rate * reach * share;

	return issued > 0 ? CLK_SECOND / issued : 0;
}

/* Returns when a host that is turned down is to ask again: the hosts come one
 * after the other, each when a permit can be issued. */
static clk_ms next_invitation(struct permit_issuer *issuer, double rate,
			      clk_ms now)
{
	double gap = INVITATION_SHARE * CLK_SECOND / rate;
	double latest = (double)(now + HORIZON_MS + RETRY_MAX_MS);
	double wait;

	issuer->invited = MAX(issuer->invited + gap, issuer->next);
	issuer->invited = MIN(issuer->invited, latest);
	wait = issuer->invited - (double)(now + HORIZON_MS);
	return CLAMP((clk_ms)wait, RETRY_MIN_MS, RETRY_MAX_MS);
}

struct permit_grant permit_issue(struct permit_issuer *issuer, double rate,
				 double reach, unsigned wanted, clk_ms now)
{
	double gap = permit_gap(issuer, rate, reach, now);
	double horizon = (double)(now + HORIZON_MS);
	struct permit_grant grant = {
		.gap = gap,
		.retry = reach > 0 ? RETRY_MAX_MS : NO_CONTACT_MS,
	};
	unsigned most;
	double late;

	if (gap == 0)
		return grant;
	/* A new issuer's first permit is a gap away: if each of many successive
	 * issuers began with a permit, the worker would get too many. */
	if (issuer->next == 0)
		issuer->next = (double)issuer->since + MIN(gap, SETTLE_MS);
	/* Hosts that were turned down did not come back, or were told to for
	 * another rate. */
	if (issuer->next < (double)(now - CREDIT_MS) ||
	    issuer->issued != rate * reach)
		issuer->invited = 0;
	issuer->issued = rate * reach;
	/* The rate may have risen since the last permit. */
	issuer->next =
		CLAMP(issuer->next, (double)(now - CREDIT_MS), horizon + gap);
	grant.wait = MAX(issuer->next - (double)now, 0);
	late = MAX((double)now - issuer->next, 0);
	most = MIN(wanted, (unsigned)MAX((BATCH_MS + late) / gap, 1));
	while (grant.count < most && issuer->next <= horizon) {
		grant.count++;
		issuer->next += gap;
	}
	grant.retry =
		grant.count ? 0 : next_invitation(issuer, rate * reach, now);
	return grant;
}

void permit_holder_init(struct permit_holder *holder, double rate)
{
	*holder = (struct permit_holder){ .rate = rate };
}

/* Returns the index of the first permit that has not expired. */
static unsigned first_valid(const struct permit_holder *holder, clk_ms now)
{
	unsigned first = 0;

	while (first < holder->count &&
	       holder->begin[first] + PERMIT_VALID_MS <= (double)now)
		first++;
	return first;
}

/* Drops the first permits. */
static void permits_drop(struct permit_holder *holder, unsigned count)
{
	holder->count -= count;
	memmove(holder->begin, holder->begin + count,
		holder->count * sizeof(holder->begin[0]));
}

bool permit_ready(const struct permit_holder *holder, clk_ms now)
{
	unsigned first = first_valid(holder, now);

	return first < holder->count && holder->begin[first] <= (double)now;
}

void permit_use(struct permit_holder *holder, clk_ms now)
{
	permits_drop(holder, first_valid(holder, now));
	holder->used++;
	if (holder->count > 0 && holder->begin[0] <= (double)now)
		permits_drop(holder, 1);
	else
		holder->owed++;
}

/* Whether the issuer may still answer the last question. */
static bool is_open(const struct permit_holder *holder, clk_ms now)
{
	return holder->asked_at && now - holder->asked_at < ANSWER_MS;
}

bool permit_may_ask(const struct permit_holder *holder, clk_ms now)
{
	return !is_open(holder, now) && now >= holder->ask_after &&
	       first_valid(holder, now) == holder->count;
}

unsigned permit_ask(struct permit_holder *holder, clk_ms now)
{
	/* One more than were used: where there is much to send, an answer soon
	 * holds enough for many requests. */
	unsigned wanted = MIN(holder->used + holder->owed + 1, WANTED_MAX);

	holder->used = 0;
	holder->asked_at = now;
	holder->question++;
	return wanted;
}

bool permit_on_grant(struct permit_holder *holder, uint32_t question,
		     const struct permit_grant *grant, clk_ms now)
{
	unsigned paid = MIN(grant->count, holder->owed);
	/* An answer may be read long after it has arrived, by a host that was
	 * held up: its permits are those of when the issuer wrote it. */
	clk_ms issued_at = MIN(now, holder->asked_at + ANSWER_MS);

	if (!holder->asked_at || question != holder->question)
		return false;
	holder->asked_at = 0;
	holder->ask_after = now + grant->retry;
	holder->owed -= paid;
	permits_drop(holder, first_valid(holder, now));
	for (unsigned i = paid;
	     i < grant->count && holder->count < PERMIT_QUEUE_MAX; i++)
		holder->begin[holder->count++] =
			(double)issued_at + grant->wait + i * grant->gap;
	return true;
}

unsigned permit_expected(const struct permit_holder *holder, clk_ms now)
{
	return holder->count - first_valid(holder, now) + is_open(holder, now);
}

clk_ms permit_wait(const struct permit_holder *holder, clk_ms now)
{
	return MAX(holder->ask_after - now, 0);
}

clk_ms permit_next(const struct permit_holder *holder, clk_ms now)
{
	unsigned first = first_valid(holder, now);

	if (first < holder->count)
		return MAX((clk_ms)(holder->begin[first] + 1) - now, 1);
	return is_open(holder, now) ? holder->asked_at + ANSWER_MS - now : -1;
}
