/* What a process can do, by its build. */
#include "build.h"

#include <string.h>

/* The features, and the first build that has each of them. */
static const struct {
	unsigned since;
	const char *name;
} features[BUILD_FEATURES] = {
	[BUILD_GROUPS] = { 2, "groups" },
	[BUILD_PACKED] = { 2, "packed_replies" },
	[BUILD_PERMITS] = { 3, "permits" },
	[BUILD_ORIGINS] = { 4, "stream_versions" },
	[BUILD_ERAS] = { 4, "store_eras" },
	[BUILD_FORWARDS] = { 5, "forwarded_requests" },
	[BUILD_WRITERS] = { 5, "stored_streams" },
	[BUILD_FULL] = { 5, "full_workers" },
	[BUILD_LINKS] = { 6, "links_questions" },
	[BUILD_MARKS] = { 7, "process_marks" },
	[BUILD_SPEEDS] = { 9, "worker_speeds" },
	[BUILD_BALANCES] = { 10, "stored_balances" },
	[BUILD_ROLLOUT] = { 8, "rollouts" },
	[BUILD_STORED_ERAS] = { 11, "stored_eras" },
};

unsigned build_own(void)
{
	unsigned number = BUILD_FIRST;

	for (size_t i = 0; i < BUILD_FEATURES; i++)
		number = MAX(number, features[i].since);
	return number;
}

/* Returns the length of a build's mark if a text of len bytes ends in it, else
 * 0. */
static size_t mark_len(const char *text, size_t len, unsigned number)
{
	size_t at = len;

	for (; number > 0; number /= 10)
		if (at == 0 || text[--at] != (char)('0' + number % 10))
			return 0;
	return at > 0 && text[at - 1] == '+' ? len - at + 1 : 0;
}

unsigned build_number(const char *incarnation)
{
	size_t len = strlen(incarnation);
	unsigned number = BUILD_FIRST;
	size_t mark;

	while ((mark = mark_len(incarnation, len, number + 1)) > 0) {
		len -= mark;
		number++;
	}
	return number;
}

bool build_has(const char *incarnation, enum build_feature feature)
{
	return build_number(incarnation) >= features[feature].since;
}

char *build_lacks(unsigned number)
{
	GString *names = g_string_new(NULL);

	for (size_t i = 0; i < BUILD_FEATURES; i++)
		if (features[i].since > number)
			g_string_append_printf(names, "%s%s",
					       names->len > 0 ? "," : "",
					       features[i].name);
	if (names->len == 0)
		g_string_append(names, "none");
	return g_string_free(names, FALSE);
}

void build_incarnation(char *buf, const char *host, unsigned random)
{
	GString *marks = g_string_new(NULL);
	char name[RID_INCARNATION_MAX + 1];

	for (unsigned number = build_own(); number > BUILD_FIRST; number--)
		g_string_append_printf(marks, "+%u", number);
	/* The marks must fit after a name of any length. */
	g_strlcpy(name, host,
		  RID_INCARNATION_MAX - RID_RANDOM_MAX - marks->len + 1);
	rid_incarnation(buf, RID_INCARNATION_MAX + 1, name, random);
	g_strlcat(buf, marks->str, RID_INCARNATION_MAX + 1);
	g_string_free(marks, TRUE);
}
