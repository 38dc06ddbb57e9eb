#include "bench/policy/sim.h"

#include <math.h>

static int
compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct event *x = a, *y = b;

    if (x->at < y->at || x->at > y->at) {
        return x->at < y->at ? -1 : 1;
    }
    return x->order < y->order ? -1 : x->order > y->order;
}

void
sim_schedule(struct sim *s, ggw_ms delay, handler handle, struct request *r,
             int a, int b)
{
    struct event e = {s->now + delay, s->order++, handle, r, a, b};

    g_sequence_insert_sorted(s->events, g_memdup2(&e, sizeof(e)),
                             compare_events, NULL);
}

bool
sim_run_next_event(struct sim *s)
{
    GSequenceIter *first = g_sequence_get_begin_iter(s->events);
    struct event *e;

    if (g_sequence_iter_is_end(first)) {
        return false;
    }
    e = g_sequence_get(first);
    s->now = e->at;
    e->handle(s, e->r, e->a, e->b);
    g_sequence_remove(first); /* frees e */
    return true;
}

ggw_ms
sim_exponential(struct sim *s, ggw_ms mean)
{
    return -log(1 - g_rand_double(s->rand)) * mean;
}

ggw_ms
sim_network_delay(const struct sim *s, int domain, int other)
{
    return domain == other ? s->run.d->local_delay
                           : s->run.d->cross_domain_delay;
}

ggw_ms
sim_delay_to_server(const struct sim *s, const struct request *r)
{
    const struct deployment *d = s->run.d;

    return sim_network_delay(s, d->gateway_domain[r->gateway],
                             d->server_domain[r->server]);
}
