#!/bin/sh
# Checks that decide/ does no I/O: its sources include no headers for sockets,
# event loops or clocks, and its objects call no such function and draw no
# random numbers.
set -eu
cd "$(dirname "$0")/.."
BUILD=${B:-build}
if grep -nE '#include <(uv|h2o|sys/|netinet|time\.h|unistd|fcntl|rpc/|popt|log4c|json-c)' \
	decide/*.[ch]; then
	echo "decide/ includes a header for I/O or clocks" >&2
	exit 1
fi
for object in "$BUILD"/decide/*.o; do
	if nm -u "$object" | grep -wE 'socket|connect|send|sendto|recv|read|write|open|time|clock_gettime|gettimeofday|g_get_real_time|g_get_monotonic_time|random|rand|g_random_int|getrandom|uv_.*|h2o_.*'; then
		echo "$object does I/O, reads a clock or draws random numbers" >&2
		exit 1
	fi
done
echo "decide/ does no I/O"
