#include <math.h>

#include "common/metrics.h"
#include "customers/internal.h"

/* The side of the gateway that has the requests. */

/* Retry-After of a request that no owner answered in time, in ms. */
#define UNANSWERED_RETRY_MS 500.0

/* Greatest number of requests of one customer that wait for tokens. */
#define MAX_WAITING 10000.0

static void
answer(struct ggw_allotments *p, struct ggw_allotments_customer *c,
       const struct ggw_allotment_waiter *w, bool permitted,
       ggw_ms retry_after)
{
    struct ggw_message *m = ggw_allotment_result_new(permitted, retry_after);
    struct ggw_allotment_result *result = (struct ggw_allotment_result *)m;
    ggw_ms now = ggw_allotments_now(p);
    uint64_t *metric = permitted ? c->permitted : c->refused;

    result->tokens = ggw_allotment_holder_tokens(&c->holder, now);
    result->grant_age =
        c->holder.granted_at > 0 ? now - c->holder.granted_at : -1;
    result->owner = g_strdup(c->owner);
    *(permitted ? &c->permitted_total : &c->refused_total) += 1;
    if (metric != NULL) {
        (*metric)++;
    }
    m->tag = w->tag;
    ggw_kernel_send_id(p->base.kernel, w->from, &p->base, m);
}

static void
answer_first(struct ggw_allotments *p, struct ggw_allotments_customer *c,
             bool permitted, ggw_ms retry_after)
{
    struct ggw_allotment_waiter *w = g_queue_pop_head(&c->waiting);

    p->waiting--;
    ggw_histogram_add(ggw_metric_histogram("ggw_allotment_wait_ms"),
                      ggw_allotments_now(p) - w->since);
    answer(p, c, w, permitted, retry_after);
    g_free(w);
}

static bool
is_limited(const struct ggw_allotments *p,
           const struct ggw_allotments_customer *c)
{
    const struct ggw_customer_rule *rule =
        ggw_allotments_rule(p, c->team, c->name);

    return rule != NULL && rule->rate > 0;
}

/* Permits those that wait, as far as there are tokens. */
static void
permit_waiting(struct ggw_allotments *p, struct ggw_allotments_customer *c)
{
    bool limited = is_limited(p, c);

    while (!g_queue_is_empty(&c->waiting) &&
           (!limited ||
            ggw_allotment_holder_use(&c->holder, ggw_allotments_now(p)))) {
        answer_first(p, c, true, 0);
    }
}

void
ggw_allotments_on_reply(struct ggw_allotments *p,
                        const struct ggw_allotment_reply *reply)
{
    struct ggw_allotments_customer *c =
        ggw_allotments_find(p, reply->team, reply->customer);

    if (c == NULL) {
        return; /* no request has asked for it for long */
    }
    ggw_allotment_holder_answered(&c->holder, reply->granted, reply->asked_at,
                                  reply->refused > 0 || reply->granted == 0,
                                  ggw_allotments_now(p));
    permit_waiting(p, c);
    for (unsigned i = 0; i < reply->refused; i++) {
        if (g_queue_is_empty(&c->waiting)) {
            break;
        }
        answer_first(p, c, false, reply->retry_after + i * reply->step);
    }
}

/* Asks this gateway itself. Tokens are not taken ahead of need. */
static void
ask_self(struct ggw_allotments *p, struct ggw_allotments_customer *c,
         struct ggw_allotment_ask *ask)
{
    struct ggw_allotment_reply reply;

    ask->ahead = 0;
    ggw_allotments_grant(p, ask, &reply);
    ggw_allotments_on_reply(p, &reply);
    if (p->has_majority) {
        c->holder.next_ask = 0;
    }
}

void
ggw_allotments_ask(struct ggw_allotments *p, struct ggw_allotments_customer *c)
{
    ggw_ms now = ggw_allotments_now(p);
    const char *owner = ggw_allotments_owner(p, c);
    struct ggw_allotment_ask ask = {
        .team = c->team,
        .customer = c->name,
        .origin = p->self,
        .asked_at = now,
        .needed = c->waiting.length,
    };

    if (owner == NULL || !is_limited(p, c)) {
        return;
    }
    if (g_strcmp0(owner, p->self) == 0 && ask.needed == 0) {
        return;
    }
    if (!ggw_allotment_holder_ask(&c->holder, ask.needed, &ask.ahead, now)) {
        return;
    }
    ask.returned = c->holder.expired;
    c->holder.expired = 0;
    if (g_strcmp0(owner, p->self) == 0) {
        ask_self(p, c, &ask);
    }
    else {
        ggw_allotments_send_ask(p, owner, &ask);
    }
}

/*
 * Requests that may wait at a time: as many as the customer may send in the
 * longest wait. Further ones could get no token in time, and clients that
 * leave must not fill the memory.
 */
static unsigned
max_waiting(const struct ggw_allotments *p,
            const struct ggw_allotments_customer *c)
{
    const struct ggw_customer_rule *rule =
        ggw_allotments_rule(p, c->team, c->name);
    double tokens = rule->rate * GGW_ALLOTMENT_MAX_WAIT / 1000 + rule->burst;

    return (unsigned)CLAMP(tokens, 1, MAX_WAITING);
}

void
ggw_allotments_request(struct ggw_allotments *p,
                       const struct ggw_allotment_request *m)
{
    struct ggw_allotments_customer *c =
        ggw_allotments_customer(p, m->team, m->customer);
    ggw_ms now = ggw_allotments_now(p);
    struct ggw_allotment_waiter w = {
        .from = m->base.from,
        .tag = m->base.tag,
        .since = now,
        .until = MIN(m->deadline, now + GGW_ALLOTMENT_MAX_WAIT),
    };

    c->used_at = now;
    ggw_allotment_holder_count(&c->holder, now);
    if (!is_limited(p, c) || (g_queue_is_empty(&c->waiting) &&
                              ggw_allotment_holder_use(&c->holder, now))) {
        answer(p, c, &w, true, 0);
    }
    else if (c->waiting.length >= max_waiting(p, c)) {
        answer(p, c, &w, false, UNANSWERED_RETRY_MS);
    }
    else {
        p->waiting++;
        g_queue_push_tail(&c->waiting, g_memdup2(&w, sizeof(w)));
    }
    ggw_allotments_ask(p, c);
}

void
ggw_allotments_return(struct ggw_allotments *p,
                      const struct ggw_allotment_return *m)
{
    struct ggw_allotments_customer *c =
        ggw_allotments_customer(p, m->team, m->customer);

    ggw_allotment_holder_return(&c->holder, m->used_at, ggw_allotments_now(p));
    permit_waiting(p, c);
}

static void
refuse_late(struct ggw_allotments *p, struct ggw_allotments_customer *c,
            ggw_ms now)
{
    const struct ggw_allotment_waiter *w;

    while ((w = g_queue_peek_head(&c->waiting)) != NULL && now >= w->until) {
        ggw_count("ggw_allotment_unanswered_total");
        answer_first(p, c, false, UNANSWERED_RETRY_MS);
    }
}

void
ggw_allotments_run(struct ggw_allotments *p)
{
    GHashTableIter iter;
    gpointer value;

    if (p->waiting == 0) {
        return;
    }
    g_hash_table_iter_init(&iter, p->customers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_allotments_customer *c = value;

        if (!g_queue_is_empty(&c->waiting)) {
            permit_waiting(p, c);
            refuse_late(p, c, ggw_allotments_now(p));
            ggw_allotments_ask(p, c);
        }
    }
}
