/* Counters of the metrics. */
#include "ctr.h"

static const char *const names[CTR_COUNT] = {
#define CTR_NAME(name, doc) #name,
	CTR_LIST(CTR_NAME)
#undef CTR_NAME
};

GString *ctr_print(const struct ctrs *ctrs)
{
	GString *text = g_string_new(NULL);

	for (int i = 0; i < CTR_COUNT; i++)
		g_string_append_printf(text, "%s %" G_GUINT64_FORMAT "\n",
				       names[i], ctrs->values[i]);
	return text;
}
