/*
 * How long a request waits at a host that has just started and is still reading
 * its configuration.
 *
 * The load pattern: all hosts restart at once, and the callers of the outage
 * return as soon as connections are accepted. A host knows its configuration
 * some 0.3 s later. A refusal in that time costs a caller one of its few
 * retries, and all of them return at the same moment.
 */
#ifndef DECIDE_STARTUP_H
#define DECIDE_STARTUP_H

#include "clk.h"

/* Returns for how many ms to keep a request that can't be routed yet; 0: it is
 * refused at once. since_start: of the host; time_left: until the caller's
 * deadline, < 0: not known; expected: the time from a start within which the
 * configuration is usually known, 0: no request is kept. All in ms. */
clk_ms startup_wait(clk_ms since_start, clk_ms time_left, clk_ms expected);

#endif
