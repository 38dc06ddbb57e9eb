#ifndef GGW_DECIDE_BACKOFF_H
#define GGW_DECIDE_BACKOFF_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/clock.h"

/**
 * DOC: Servers that have asked for no new requests
 *
 * A server says in its responses that it leaves, or that it wants a pause. A
 * leave lasts until the next lifetime of the server, whatever lists of servers
 * say; a pause lasts until its end. The code reads no clock.
 */

/* Longest pause that a server can ask for, ms. */
#define GGW_BACKOFF_MAX_PAUSE 60000.0

/**
 * struct ggw_backoff_notice - what a response says about further requests
 * @leaving: the server takes no more requests in this lifetime
 * @pause: ms for which the server wants no requests; 0 for none
 * @malformed: a header that says so could not be read, or only in part
 */
struct ggw_backoff_notice {
    bool leaving;
    ggw_ms pause;
    bool malformed;
};

/**
 * enum ggw_backoff_state - what a server wants
 * @GGW_BACKOFF_NONE: requests
 * @GGW_BACKOFF_PAUSED: no requests until the end of its pause
 * @GGW_BACKOFF_LEAVING: no requests in this lifetime
 */
enum ggw_backoff_state {
    GGW_BACKOFF_NONE,
    GGW_BACKOFF_PAUSED,
    GGW_BACKOFF_LEAVING,
};

struct ggw_backoffs;

/* Allocates an empty set. */
struct ggw_backoffs *ggw_backoffs_new(void);
void ggw_backoffs_free(struct ggw_backoffs *b);

/**
 * ggw_backoffs_leave() - note that a server leaves
 * @incarnation: of the server in the last list; 0: not known
 * @now: monotonic ms
 *
 * Return: false if this was known.
 */
bool ggw_backoffs_leave(struct ggw_backoffs *b, const char *server,
                        uint64_t incarnation, ggw_ms now);

/**
 * ggw_backoffs_pause() - note that a server wants a pause
 * @pause: ms from now, at most GGW_BACKOFF_MAX_PAUSE
 *
 * A pause that ends earlier than the current one changes nothing.
 *
 * Return: false if nothing changed.
 */
bool ggw_backoffs_pause(struct ggw_backoffs *b, const char *server,
                        uint64_t incarnation, ggw_ms pause, ggw_ms now);

/**
 * ggw_backoffs_listed() - note that a list of servers contains a server
 * @incarnation: of the server in the list; 0: not known. A higher one than
 *               before is a new lifetime, which starts without a leave or
 *               pause.
 */
void ggw_backoffs_listed(struct ggw_backoffs *b, const char *server,
                         uint64_t incarnation, ggw_ms now);

/**
 * ggw_backoffs_state() - get what a server wants
 */
enum ggw_backoff_state ggw_backoffs_state(const struct ggw_backoffs *b,
                                          const char *server, ggw_ms now);

/**
 * ggw_backoffs_until() - get the end of the pause of a server
 *
 * Return: monotonic ms; 0 without a pause.
 */
ggw_ms ggw_backoffs_until(const struct ggw_backoffs *b, const char *server);

/**
 * ggw_backoffs_next_end() - get the end of the pause that ends first
 *
 * Return: monotonic ms; INFINITY without a pause.
 */
ggw_ms ggw_backoffs_next_end(const struct ggw_backoffs *b, ggw_ms now);

/**
 * ggw_backoffs_expire() - forget servers
 *
 * Forgets those whose pause is over, and those that leave and have not been
 * listed for a long time.
 */
void ggw_backoffs_expire(struct ggw_backoffs *b, ggw_ms now);

#endif
