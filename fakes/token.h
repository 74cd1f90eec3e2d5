/* The text that the fake engine generates: a function of the prompt. */
#ifndef FAKES_TOKEN_H
#define FAKES_TOKEN_H

#include <stddef.h>

#define TOKEN_TEXT_MAX 32 /* bytes of one token's text */

/* Writes the text of token n generated for a prompt; returns its length. */
int token_text(const char *prompt, int n, char *buf, size_t size);

#endif
