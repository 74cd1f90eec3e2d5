/* How long a request waits at a host that has just started. */
#include "startup.h"

#include <glib.h>

/* Of the caller's time: the rest is left for another host, if this one does not
 * learn its configuration. */
#define TIME_LEFT_SHARE 0.25

clk_ms startup_wait(clk_ms since_start, clk_ms time_left, clk_ms expected)
{
	clk_ms wait = expected - since_start;

	if (time_left >= 0)
		wait = MIN(wait, (clk_ms)(TIME_LEFT_SHARE * (double)time_left));
	return MAX(wait, 0);
}
