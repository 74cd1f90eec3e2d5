/* Request ids and incarnations. */
#include "rid.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define RANDOM_DIGITS (RID_RANDOM_MAX - 1)
#define HOST_MAX (RID_INCARNATION_MAX - RID_RANDOM_MAX)

/* Returns whether text is not empty and consists of letters, digits, '-' and
 * '_'. */
static bool name_chars_ok(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isalnum(text[i]) && text[i] != '-' &&
		    text[i] != '_')
			return false;
	return len > 0;
}

bool rid_host_ok(const char *text, size_t len)
{
	return len <= HOST_MAX && name_chars_ok(text, len);
}

/* Returns whether text is "<host>~<8 hex digits>". */
static bool incarnation_ok(const char *text, size_t len)
{
	const char *tilde = memchr(text, '~', len);
	size_t host_len = tilde ? (size_t)(tilde - text) : 0;

	if (!tilde || !rid_host_ok(text, host_len) ||
	    len - host_len - 1 != RANDOM_DIGITS)
		return false;
	for (size_t i = host_len + 1; i < len; i++)
		if (!g_ascii_isxdigit(text[i]))
			return false;
	return true;
}

/* Parses text as a hex number of 1 to 15 digits. */
static bool hex_parse(const char *text, size_t len, clk_ms *value)
{
	*value = 0;
	for (size_t i = 0; i < len; i++) {
		int digit = g_ascii_xdigit_value(text[i]);

		if (digit < 0)
			return false;
		*value = *value * 16 + digit;
	}
	return len > 0 && len < 16;
}

bool rid_parse(const char *text, size_t len, struct rid *rid)
{
	const char *dot;
	const char *dash;
	size_t primary_len;
	size_t nonce_len;

	if (len > RID_MAX)
		return false;
	dot = memchr(text, '.', len);
	if (!dot)
		return false;
	primary_len = (size_t)(dot - text);
	if (primary_len > RID_INCARNATION_MAX ||
	    !incarnation_ok(text, primary_len))
		return false;
	dash = memchr(dot, '-', len - primary_len);
	if (!dash || !hex_parse(dot + 1, (size_t)(dash - dot - 1), &rid->time))
		return false;
	nonce_len = len - (size_t)(dash + 1 - text);
	if (nonce_len > RID_NONCE_MAX || !name_chars_ok(dash + 1, nonce_len))
		return false;
	memcpy(rid->primary, text, primary_len);
	rid->primary[primary_len] = '\0';
	return true;
}

void rid_prefix(char *buf, size_t size, const char *primary, clk_ms time)
{
	snprintf(buf, size, "%s.%" PRIx64, primary, (uint64_t)time);
}

void rid_incarnation(char *buf, size_t size, const char *host, unsigned random)
{
	snprintf(buf, size, "%.*s~%08x", HOST_MAX, host, random);
}
