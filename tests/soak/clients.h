#ifndef GGW_SOAK_CLIENTS_H
#define GGW_SOAK_CLIENTS_H

#include <glib.h>
#include <uv.h>

#include "tests/soak/world.h"

/*
 * Clients of the soak. They look gateways up in the directory, cache the
 * response for its TTL or three times as long, reuse connections until the
 * gateway closes them, and retry requests as the platform's clients do.
 */

struct soak_clients;
struct soak_wire;

/* Whether headers and body are those that a server generates for @a. */
bool soak_response_is_genuine(const struct soak_wire *w,
                              const struct soak_attempt *a);

/**
 * soak_clients_new() - start the directory lookups; the request rate is 0
 */
struct soak_clients *soak_clients_new(struct soak_world *w, GRand *rand);

/* Sets the request rate of all clients together, in requests per second. */
void soak_clients_set_rate(struct soak_clients *c, double per_s);

/* Number of requests that have not ended yet. */
int soak_clients_pending(const struct soak_clients *c);

#endif
