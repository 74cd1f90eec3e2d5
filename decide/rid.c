/* Request ids and incarnations. */
#include "rid.h"

#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define RANDOM_DIGITS 8
#define HOST_MAX (RID_INCARNATION_MAX - RANDOM_DIGITS - 1)

/* Tells whether every byte is a letter, a digit, '-' or '_'. */
static bool plain_text(const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		if (!g_ascii_isalnum(text[i]) && text[i] != '-' &&
		    text[i] != '_')
			return false;
	return len > 0;
}

bool rid_host_ok(const char *text, size_t len)
{
	return len <= HOST_MAX && plain_text(text, len);
}

/* Tells whether text is "<host>~<8 hex digits>". */
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

/* Reads a hex number of at most 15 digits that fills the text. */
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
	size_t home_len;
	size_t nonce_len;

	if (len > RID_MAX)
		return false;
	dot = memchr(text, '.', len);
	if (!dot)
		return false;
	home_len = (size_t)(dot - text);
	if (home_len > RID_INCARNATION_MAX || !incarnation_ok(text, home_len))
		return false;
	dash = memchr(dot, '-', len - home_len);
	if (!dash || !hex_parse(dot + 1, (size_t)(dash - dot - 1), &rid->time))
		return false;
	nonce_len = len - (size_t)(dash + 1 - text);
	if (nonce_len > RID_NONCE_MAX || !plain_text(dash + 1, nonce_len))
		return false;
	memcpy(rid->primary, text, home_len);
	rid->primary[home_len] = '\0';
	return true;
}

void rid_prefix(char *buf, size_t size, const char *home, clk_ms time)
{
	snprintf(buf, size, "%s.%" PRIx64, home, (uint64_t)time);
}

void rid_incarnation(char *buf, size_t size, const char *host, unsigned random)
{
	snprintf(buf, size, "%.*s~%08x", HOST_MAX, host, random);
}
