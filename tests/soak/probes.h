#ifndef GGW_SOAK_PROBES_H
#define GGW_SOAK_PROBES_H

#include <glib.h>
#include <uv.h>

#include "tests/soak/world.h"

/*
 * Requests that show which configuration each gateway uses. They are sent to
 * each gateway on a connection of its own that is kept as long as the gateway
 * keeps it, without waiting for the responses to earlier ones.
 */

struct soak_probes;

/**
 * soak_probes_new() - start without requests
 * @version: number of the newest version that was written
 */
struct soak_probes *soak_probes_new(struct soak_world *w, GRand *rand,
                                    const int *version);

/* Starts or stops to send requests. */
void soak_probes_set_active(struct soak_probes *p, bool active);

#endif
