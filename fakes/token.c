/* The text that the fake engine generates. */
#include "token.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

int token_text(const char *prompt, int n, char *buf, size_t size)
{
	XXH64_hash_t hash = XXH64(prompt, strlen(prompt), (XXH64_hash_t)n + 1);

	return snprintf(buf, size, "w%04x ", (unsigned)(hash & 0xffff));
}
