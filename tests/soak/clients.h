#ifndef GGW_SOAK_CLIENTS_H
#define GGW_SOAK_CLIENTS_H

#include <glib.h>
#include <uv.h>

#include "tests/soak/world.h"

/*
 * Clients of the soak: they ask the directory for gateways, keep the answer
 * for its time or three times as long, keep connections open until the
 * gateway closes them, and repeat requests as the platform's clients do.
 */

struct soak_clients;

/**
 * soak_clients_new() - start them; they ask the directory, but send nothing
 */
struct soak_clients *soak_clients_new(struct soak_world *w, GRand *rand);

/* Requests a second from now on, over all clients. */
void soak_clients_set_rate(struct soak_clients *c, double per_s);

/* Requests that have no end yet. */
int soak_clients_open(const struct soak_clients *c);

#endif
