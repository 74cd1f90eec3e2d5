#!/bin/sh
# Checks the formatting of the sources; --fix reformats them.
set -eu
cd "$(dirname "$0")/.."
FILES=$(ls decide/*.[ch] platform/*.[ch] daemon/*.[ch] fakes/*.[ch] wire/*.[ch] sim/*.[ch] tests/*.[ch] |
	grep -v 'wire/msg')
if [ "${1:-}" = --fix ]; then
	clang-format -i $FILES
else
	clang-format --dry-run -Werror $FILES
fi
