/* Command lines: options by popt, and processes that take a settings file. */
#ifndef WIRE_ARGS_H
#define WIRE_ARGS_H

#include <popt.h>
#include <stdbool.h>

/* Reads all options; if one can't be taken, prints which and why and returns
 * false. */
bool args_read(poptContext popt, const char *program);
/* Returns the settings file that the command line names; prints how to call
 * the program and returns NULL if it names none. */
const char *args_settings_file(int argc, const char **argv);

#endif
