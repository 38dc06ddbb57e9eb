#ifndef GGW_STANDINS_BAD_VERSION_H
#define GGW_STANDINS_BAD_VERSION_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <string.h>

#include "kernel/clock.h"

/**
 * DOC: faults of a bad version of a backend server
 *
 * A version of the software fails a part of its requests or runs them slowly:
 * always, only some time after it was started, only under load, or only on one
 * route.
 */

/**
 * struct bad_version - how a version is bad
 * @fail_percent: percentage of the requests that run and get status 500
 * @slow: factor on the service time; 0: as usual
 * @from: monotonic time in ms from which on the version is bad
 * @busy: requests that must run on the server at the time, this one included
 * @prefix: prefix of the paths that are affected; NULL: all
 */
struct bad_version {
    double fail_percent;
    double slow;
    ggw_ms from;
    int busy;
    char *prefix;
};

static inline void
bad_version_clear(struct bad_version *v)
{
    g_free(v->prefix);
    *v = (struct bad_version){0};
}

/*
 * Applies an object with the members "fail_percent", "slow", "after_ms",
 * "busy" and "prefix", all optional; null ends the faults.
 */
static inline void
bad_version_set(struct bad_version *v, const json_t *value, ggw_ms now)
{
    bad_version_clear(v);
    v->fail_percent =
        json_number_value(json_object_get(value, "fail_percent"));
    v->slow = json_number_value(json_object_get(value, "slow"));
    v->from = now + json_number_value(json_object_get(value, "after_ms"));
    v->busy = (int)json_number_value(json_object_get(value, "busy"));
    v->prefix = g_strdup(json_string_value(json_object_get(value, "prefix")));
}

/* Returns whether the faults affect a request that starts now. */
static inline bool
bad_version_affects(const struct bad_version *v, const char *path, int busy,
                    ggw_ms now)
{
    return now >= v->from && busy >= v->busy &&
           (v->prefix == NULL || g_str_has_prefix(path, v->prefix));
}

/* Returns whether a request that the faults affect fails. */
static inline bool
bad_version_fails(const struct bad_version *v, GRand *rand)
{
    return v->fail_percent > 0 &&
           g_rand_double_range(rand, 0, 100) < v->fail_percent;
}

#endif
