#!/bin/sh
# Runs clang-tidy on all sources except generated code.
set -eu
cd "$(dirname "$0")/.."
CFLAGS="-std=gnu11 -D_GNU_SOURCE $(pkg-config --cflags libh2o libuv popt \
	log4c glib-2.0 check libtirpc json-c libxxhash |
	sed 's/-I/-isystem /g')"
export CFLAGS
ls decide/*.c platform/*.c daemon/*.c fakes/*.c wire/*.c sim/*.c tests/*.c | grep -v msg_xdr |
	xargs -P "$(nproc)" -I '{}' sh -c \
	'clang-tidy --quiet "{}" -- $CFLAGS 2>/dev/null'
