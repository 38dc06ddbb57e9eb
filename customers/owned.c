#include <math.h>

#include "common/metrics.h"
#include "customers/internal.h"
#include "peers/payload.h"

/* The side of the owner, and frames. */

enum frame_kind {
    FRAME_ASK,
    FRAME_ANSWER,
};

/* Upper bound of counts and times in frames, against overflows. */
#define MAX_TOKENS 1000000
#define MAX_TIME_MS 60000.0

static void
start_bucket(struct ggw_allotments *p, struct ggw_allotments_customer *c,
             const struct ggw_customer_rule *rule)
{
    ggw_ms now = ggw_allotments_now(p);

    if (!c->owned) {
        c->owned = true;
        ggw_allotment_bucket_init(&c->bucket, rule->rate, rule->burst,
                                  p->has_majority ? p->since : now, now);
    }
    ggw_allotment_bucket_set(&c->bucket, rule->rate, rule->burst,
                             ggw_allotments_share(p), now);
}

void
ggw_allotments_grant(struct ggw_allotments *p,
                     const struct ggw_allotment_ask *ask,
                     struct ggw_allotment_reply *reply)
{
    const struct ggw_customer_rule *rule =
        ggw_allotments_rule(p, ask->team, ask->customer);
    struct ggw_allotments_customer *c;
    struct ggw_allotment_answer answer;

    *reply = (struct ggw_allotment_reply){
        .team = ask->team,
        .customer = ask->customer,
        .origin = ask->origin,
        .asked_at = ask->asked_at,
        .owner = p->self,
    };
    if (rule == NULL || p->members == NULL) {
        return; /* this gateway is behind; the other one asks again */
    }
    if (rule->rate <= 0) {
        reply->granted = ask->needed + ask->ahead;
        return;
    }
    c = ggw_allotments_customer(p, ask->team, ask->customer);
    start_bucket(p, c, rule);
    ggw_allotment_bucket_put(&c->bucket, ask->returned, ggw_allotments_now(p));
    answer = ggw_allotment_bucket_take(&c->bucket, ask->needed, ask->ahead,
                                       ggw_allotments_now(p));
    reply->granted = answer.granted;
    /* Without a majority nothing proves that the rate is used up. */
    if (p->has_majority) {
        reply->refused = answer.refused;
        reply->retry_after = answer.retry_after;
        reply->step = answer.step;
    }
}

static void
send_frame(struct ggw_allotments *p, const char *peer,
           struct ggw_payload_writer *w)
{
    GBytes *payload = ggw_payload_end(w);

    ggw_count("ggw_allotment_frames_total");
    ggw_kernel_send(p->base.kernel, "peers", &p->base,
                    ggw_peer_send_new(peer, GGW_PEER_ALLOTMENT, 0, payload));
    g_bytes_unref(payload);
}

void
ggw_allotments_send_ask(struct ggw_allotments *p, const char *peer,
                        const struct ggw_allotment_ask *ask)
{
    struct ggw_payload_writer w;

    ggw_payload_begin(&w, 9);
    ggw_payload_put_uint(&w, FRAME_ASK);
    ggw_payload_put_string(&w, ask->team);
    ggw_payload_put_string(&w, ask->customer);
    ggw_payload_put_string(&w, ask->origin);
    ggw_payload_put_bool(&w, ask->forwarded);
    ggw_payload_put_double(&w, ask->asked_at);
    ggw_payload_put_uint(&w, ask->needed);
    ggw_payload_put_uint(&w, ask->ahead);
    ggw_payload_put_uint(&w, ask->returned);
    send_frame(p, peer, &w);
}

static void
send_reply(struct ggw_allotments *p, const char *peer,
           const struct ggw_allotment_reply *reply)
{
    struct ggw_payload_writer w;

    ggw_payload_begin(&w, 10);
    ggw_payload_put_uint(&w, FRAME_ANSWER);
    ggw_payload_put_string(&w, reply->team);
    ggw_payload_put_string(&w, reply->customer);
    ggw_payload_put_string(&w, reply->origin);
    ggw_payload_put_double(&w, reply->asked_at);
    ggw_payload_put_uint(&w, reply->granted);
    ggw_payload_put_uint(&w, reply->refused);
    ggw_payload_put_double(&w, reply->retry_after);
    ggw_payload_put_double(&w, reply->step);
    ggw_payload_put_string(&w, reply->owner);
    send_frame(p, peer, &w);
}

static unsigned
read_tokens(struct ggw_payload_reader *r)
{
    uint64_t tokens = ggw_payload_uint(r);

    return (unsigned)MIN(tokens, MAX_TOKENS);
}

static ggw_ms
read_time(struct ggw_payload_reader *r)
{
    ggw_ms time = ggw_payload_double(r);

    return CLAMP(time, 0, MAX_TIME_MS);
}

/*
 * Answers an ask. One for a customer that another gateway counts is passed on
 * once, since the views of two gateways may differ for a moment.
 */
static void
on_ask(struct ggw_allotments *p, const char *peer,
       struct ggw_payload_reader *r)
{
    struct ggw_allotment_ask ask;
    struct ggw_allotment_reply reply;
    const char *owner;

    ask.team = ggw_payload_string(r);
    ask.customer = ggw_payload_string(r);
    ask.origin = ggw_payload_string(r);
    ask.forwarded = ggw_payload_bool(r);
    ask.asked_at = ggw_payload_double(r);
    ask.needed = read_tokens(r);
    ask.ahead = read_tokens(r);
    ask.returned = read_tokens(r);
    if (!r->ok) {
        ggw_count("ggw_allotment_frames_malformed_total");
        return;
    }
    if (ggw_allotments_rule(p, ask.team, ask.customer) != NULL) {
        owner = ggw_allotments_owner(
            p, ggw_allotments_customer(p, ask.team, ask.customer));
        if (!ask.forwarded && owner != NULL &&
            g_strcmp0(owner, p->self) != 0 &&
            g_strcmp0(owner, ask.origin) != 0) {
            ask.forwarded = true;
            ggw_allotments_send_ask(p, owner, &ask);
            return;
        }
    }
    ggw_allotments_grant(p, &ask, &reply);
    send_reply(p, peer, &reply);
}

static void
on_answer(struct ggw_allotments *p, struct ggw_payload_reader *r)
{
    struct ggw_allotment_reply reply;

    reply.team = ggw_payload_string(r);
    reply.customer = ggw_payload_string(r);
    reply.origin = ggw_payload_string(r);
    reply.asked_at = ggw_payload_double(r);
    reply.granted = read_tokens(r);
    reply.refused = read_tokens(r);
    reply.retry_after = read_time(r);
    reply.step = read_time(r);
    reply.owner = ggw_payload_string(r);
    if (!r->ok) {
        ggw_count("ggw_allotment_frames_malformed_total");
    }
    else if (g_strcmp0(reply.origin, p->self) == 0) {
        ggw_allotments_on_reply(p, &reply);
    }
    else {
        /* Passed on the way back of an ask that was passed on. */
        send_reply(p, reply.origin, &reply);
    }
}

void
ggw_allotments_on_frame(struct ggw_allotments *p,
                        const struct ggw_peer_received *frame)
{
    gsize len;
    gconstpointer data = g_bytes_get_data(frame->payload, &len);
    struct ggw_payload_reader r;
    uint64_t kind;

    ggw_payload_open(&r, data, len);
    kind = ggw_payload_uint(&r);
    if (!r.ok) {
        ggw_count("ggw_allotment_frames_malformed_total");
    }
    else if (kind == FRAME_ASK) {
        on_ask(p, frame->peer, &r);
    }
    else if (kind == FRAME_ANSWER) {
        on_answer(p, &r);
    }
    ggw_payload_close(&r);
}
