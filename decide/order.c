/* When to order workers of one kind in one data centre. */
#include "order.h"

#define PERIOD_MS 500		  /* between two calls */
#define REPEAT_MS 2000		  /* before an unmet order is sent again */
#define RETRY_MS 1500		  /* between orders where none are available */
#define SCARCE_MS 6000		  /* after an order without capacity */
#define SPOT_RELEASE_MS 4000	  /* before surplus reclaimable workers go */
#define ON_DEMAND_RELEASE_MS 1000 /* on-demand ones, which cost more */

void order_init(struct order *order, bool spot)
{
	*order = (struct order){ .spot = spot, .accepted = -1 };
}

bool order_unavailable(const struct order *order,
		       const struct order_supply *supply)
{
	return order->unavailable &&
	       order->unavailable_in == supply->accepted_again;
}

bool order_blocked(const struct order *order, const struct order_supply *supply,
		   clk_ms now)
{
	return order_unavailable(order, supply) && now < order->retry_at;
}

bool order_scarce(const struct order_supply *supply, clk_ms now)
{
	return supply->refused_at && now - supply->refused_at < SCARCE_MS;
}

int order_count(struct order *order, int want, int ready, clk_ms now)
{
	int present = order->accepted > ready && !order->unavailable
			      ? order->accepted
			      : ready;

	if (want >= present) {
		order->excess_since = 0;
		return want;
	}
	if (!order->excess_since)
		order->excess_since = now;
	if (now - order->excess_since <
	    (order->spot ? SPOT_RELEASE_MS : ON_DEMAND_RELEASE_MS))
		return present;
	return want;
}

/* Whether an accepted order has to be repeated: workers were lost since, or did
 * not come in time. */
static bool is_unmet(const struct order *order, int count, int ready,
		     clk_ms boot, clk_ms now)
{
	clk_ms wait =
		ready < order->ready_max || boot < REPEAT_MS ? REPEAT_MS : boot;

	return ready < count && now - order->sent_at >= wait;
}

bool order_due(struct order *order, const struct order_supply *supply,
	       int count, int ready, clk_ms boot, clk_ms now)
{
	if (ready > order->ready_max)
		order->ready_max = ready;
	if (order->pending || now - order->sent_at < PERIOD_MS ||
	    order_blocked(order, supply, now))
		return false;
	/* Without a known order, the workers that are ready are those that were
	 * provided or ordered before. */
	return count != (order->accepted < 0 ? ready : order->accepted) ||
	       is_unmet(order, count, ready, boot, now);
}

void order_on_sent(struct order *order, int count, clk_ms now)
{
	order->pending = true;
	order->requested = count;
	order->sent_at = now;
	order->ready_max = 0;
}

/* Plans the next try after those of the pool's other data centres. */
static void plan_retry(struct order *order, struct order_supply *supply,
		       clk_ms now)
{
	clk_ms last = supply->retries_until > now ? supply->retries_until : now;

	order->retry_at = last + RETRY_MS;
	supply->retries_until = order->retry_at;
	order->unavailable = true;
	order->unavailable_in = supply->accepted_again;
	supply->refused_at = now;
}

void order_on_result(struct order *order, struct order_supply *supply,
		     enum order_result result, clk_ms now)
{
	order->pending = false;
	switch (result) {
	case ORDER_ACCEPTED:
		if (order_unavailable(order, supply)) {
			supply->accepted_again++;
			supply->refused_at = 0;
			supply->retries_until = 0;
		}
		order->unavailable = false;
		order->accepted = order->requested;
		return;
	case ORDER_NO_CAPACITY:
		order->accepted = -1;
		plan_retry(order, supply, now);
		return;
	case ORDER_NOT_DONE:
		return;
	case ORDER_UNKNOWN:
		order->accepted = -1;
		return;
	}
}
