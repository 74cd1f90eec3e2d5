/* The retry budget of a pool. */
#include "retry.h"

#include <glib.h>

#define MAX_DOUBLINGS 8

void retry_budget_init(struct retry_budget *budget,
		       const struct retry_options *options)
{
	*budget = (struct retry_budget){
		.options = *options,
		.saved = options->burst,
	};
}

void retry_on_first(struct retry_budget *budget)
{
	budget->saved = MIN(budget->saved + budget->options.share,
			    budget->options.burst);
}

/* The mean back-off before attempt number attempts + 1. */
static clk_ms back_off(const struct retry_options *options, unsigned attempts)
{
	unsigned doublings = MIN(attempts, MAX_DOUBLINGS);

	return MIN(options->base << doublings, options->limit);
}

clk_ms retry_ask(struct retry_budget *budget, unsigned attempts,
		 uint32_t random, clk_ms now, clk_ms deadline)
{
	clk_ms mean = back_off(&budget->options, attempts ? attempts - 1 : 0);
	clk_ms wait = mean / 2 + mean * (clk_ms)random / 1000;

	if (attempts >= budget->options.most || budget->saved < 1 ||
	    (deadline != CLK_NEVER && now + wait >= deadline)) {
		budget->denied++;
		return -1;
	}
	budget->saved -= 1;
	budget->made++;
	return wait;
}
