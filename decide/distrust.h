#ifndef GGW_DECIDE_DISTRUST_H
#define GGW_DECIDE_DISTRUST_H

#include <stdbool.h>

#include "kernel/clock.h"

/**
 * DOC: How long a server is distrusted that has mixed up responses
 *
 * While it is, each request to it gets a connection of its own, on which no
 * earlier response can get into a later one. The code does no I/O and reads no
 * clock.
 */

/**
 * ggw_distrust_until() - end of the distrust after a suspect response
 * @until: end of the distrust so far, monotonic ms; 0 if there was none
 * @now: time of the suspect response, monotonic ms
 *
 * Return: monotonic ms; never before @until.
 */
ggw_ms ggw_distrust_until(ggw_ms until, ggw_ms now);

/**
 * ggw_is_distrusted() - whether a server is distrusted
 * @until: result of the last ggw_distrust_until(); 0 if there was none
 * @now: monotonic ms
 */
bool ggw_is_distrusted(ggw_ms until, ggw_ms now);

#endif
