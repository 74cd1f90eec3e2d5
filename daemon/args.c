/* The command line of the processes that take one settings file. */
#include "args.h"

#include <popt.h>
#include <stdio.h>

const char *args_settings_file(int argc, const char **argv)
{
	struct poptOption options[] = { POPT_AUTOHELP POPT_TABLEEND };
	poptContext popt = poptGetContext(NULL, argc, argv, options, 0);
	const char *path = NULL;

	poptSetOtherOptionHelp(popt, "SETTINGS-FILE");
	if (poptGetNextOpt(popt) >= -1)
		path = poptGetArg(popt);
	if (!path)
		poptPrintUsage(popt, stderr, 0);
	return path;
}
