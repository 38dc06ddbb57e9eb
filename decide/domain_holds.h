#ifndef GGW_DECIDE_DOMAIN_HOLDS_H
#define GGW_DECIDE_DOMAIN_HOLDS_H

#include <glib.h>
#include <stdbool.h>

#include "kernel/clock.h"

/**
 * DOC: Failure domains after the store has returned from an older copy
 *
 * The store then shows which failure domains were out of service some seconds
 * ago, until the operator has written the rows again. What was in force is
 * kept until a row is written or removed anew, or until the operator has had
 * time to do so; then the rows of the store count.
 */

/* Time in ms in which the operator writes rows again. */
#define GGW_DOMAIN_HOLD_MS 2000.0

/**
 * struct ggw_domain_holds - changes that have not taken effect
 * @held: maps the name of a failure domain to its struct ggw_domain_hold
 */
struct ggw_domain_holds {
    GHashTable *held;
};

/* Initializes without any, and frees all. */
void ggw_domain_holds_init(struct ggw_domain_holds *h);
void ggw_domain_holds_clear(struct ggw_domain_holds *h);

/**
 * ggw_domain_holds_note() - decide about a change of a failure domain
 * @out: the store says that it is out of service
 * @in_force: it is out of service
 * @returned: the change was found when all rows were read after a return
 * @now: monotonic ms
 *
 * Return: whether the change takes effect now; otherwise it does so later, see
 * ggw_domain_holds_take().
 */
bool ggw_domain_holds_note(struct ggw_domain_holds *h, const char *domain,
                           bool out, bool in_force, bool returned, ggw_ms now);

/**
 * ggw_domain_holds_take() - take a change that has been held long enough
 * @out: set as for ggw_domain_holds_note()
 * @now: monotonic ms
 *
 * Return: the name of the failure domain, to be freed with g_free(); NULL when
 * there is none.
 */
char *ggw_domain_holds_take(struct ggw_domain_holds *h, bool *out, ggw_ms now);

#endif
