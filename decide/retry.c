/* The retry budget of a pool. */
#include "retry.h"

#include <glib.h>

#define MAX_DOUBLINGS 8
#define HEALTHY_AFTER_MS 1000 /* without a failure: the pool is healthy */
#define IDLE_MS 2000	      /* without a first attempt: the pool is idle */
#define SUCCESS_SHARE 0.5     /* retries added per success */

void retry_budget_init(struct retry_budget *budget,
		       const struct retry_options *options)
{
	*budget = (struct retry_budget){
		.options = *options,
		.tokens = options->burst,
	};
}

void retry_on_first_attempt(struct retry_budget *budget, clk_ms now)
{
	budget->last_first_attempt = now;
	budget->tokens = MIN(budget->tokens + budget->options.share,
			     budget->options.burst);
}

void retry_on_failure(struct retry_budget *budget, clk_ms now)
{
	budget->last_failure = now;
}

void retry_on_success(struct retry_budget *budget, clk_ms now)
{
	/* Calls that began before the pool failed may still succeed. */
	if (budget->last_failure &&
	    now - budget->last_failure < HEALTHY_AFTER_MS)
		return;
	budget->tokens =
		MIN(budget->tokens + SUCCESS_SHARE, budget->options.burst);
}

/* Returns the mean back-off after a number of earlier retries. */
static clk_ms mean_backoff(const struct retry_options *options,
			   unsigned retries)
{
	unsigned doublings = MIN(retries, MAX_DOUBLINGS);

	return MIN(options->backoff_base << doublings, options->backoff_max);
}

clk_ms retry_backoff(const struct retry_budget *budget, unsigned attempts,
		     uint32_t random)
{
	clk_ms mean =
		mean_backoff(&budget->options, attempts ? attempts - 1 : 0);

	return mean / 2 + mean * (clk_ms)random / 1000;
}

/* Allows one retry if there were no first attempts for a while. With no load
 * the retry cannot amplify it, and it detects that the pool is healthy
 * again. */
static void allow_idle_retry(struct retry_budget *budget, clk_ms now)
{
	if (now - budget->last_first_attempt < IDLE_MS)
		return;
	budget->last_first_attempt = now;
	budget->tokens = MAX(budget->tokens, 1);
}

bool retry_available(struct retry_budget *budget, clk_ms now)
{
	allow_idle_retry(budget, now);
	return budget->tokens >= 1;
}

void retry_spend(struct retry_budget *budget)
{
	budget->tokens -= 1;
	budget->granted++;
}

clk_ms retry_request(struct retry_budget *budget, unsigned attempts,
		     uint32_t random, clk_ms now, clk_ms deadline)
{
	clk_ms wait = retry_backoff(budget, attempts, random);

	if (!retry_available(budget, now) ||
	    attempts >= budget->options.max_attempts ||
	    (deadline != CLK_NEVER && now + wait >= deadline)) {
		budget->denied++;
		return -1;
	}
	retry_spend(budget);
	return wait;
}
