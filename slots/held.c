#include <math.h>
#include <string.h>

#include "slots/internal.h"

/*
 * Grants in use by "proxy", and the state of servers and other gateways that
 * is derived from their results and answers.
 */

void
ggw_slots_held_grant_free(gpointer data)
{
    struct ggw_slots_held_grant *h = data;

    g_free(h->server);
    g_free(h->domain);
    g_free(h->owner);
    g_free(h);
}

uint64_t
ggw_slots_add_held_grant(struct ggw_slots *p, uint64_t id,
                         const struct ggw_slots_pending *pd,
                         struct ggw_slots_server *s, const char *owner)
{
    struct ggw_slots_held_grant *h = g_new0(struct ggw_slots_held_grant, 1);

    h->id = id;
    h->group = pd->group;
    h->server = g_strdup(s->name);
    h->incarnation = s->incarnation;
    h->domain = g_strdup(s->domain->name);
    h->owner = g_strdup(owner);
    h->from = pd->request->base.from;
    h->tag = pd->request->base.tag;
    h->expires = pd->request->deadline + GGW_LEDGER_EXPIRY_MARGIN;
    h->since_pause = s->unproven;
    g_hash_table_insert(p->held_grants, &h->id, h);
    s->own_in_flight++;
    return id;
}

static void
write_release(struct ggw_payload_writer *w, const struct ggw_slots_group *g,
              const char *domain, const char *server,
              enum ggw_attempt_result result, ggw_ms latency,
              const struct ggw_load_report *report)
{
    ggw_payload_begin(w, 16);
    ggw_payload_put_string(w, g->team);
    ggw_payload_put_string(w, g->service);
    ggw_payload_put_string(w, domain);
    ggw_payload_put_string(w, server);
    ggw_payload_put_uint(w, (uint64_t)result);
    ggw_payload_put_double(w, latency);
    ggw_payload_put_bool(w, report->present);
    ggw_payload_put_uint(w, (uint64_t)MAX(report->slots, 0));
    ggw_payload_put_uint(w, (uint64_t)MAX(report->busy, 0));
    ggw_payload_put_uint(w, (uint64_t)MAX(report->queue, 0));
    ggw_payload_put_bool(w, report->cold);
    ggw_payload_put_bool(w, report->draining);
    ggw_payload_put_uint(w, report->incarnation);
    ggw_payload_put_uint(w, (uint64_t)MAX(report->slow_percent, 0));
    ggw_payload_put_double(w, report->cold_left);
    ggw_payload_put_bool(w, report->cold_unknown);
}

void
ggw_slots_release_unused(struct ggw_slots *p, const char *owner, uint64_t id,
                         const struct ggw_slots_domain *d, const char *server)
{
    static const struct ggw_load_report none;
    struct ggw_payload_writer w;

    write_release(&w, d->group, d->name, server, GGW_ATTEMPT_UNUSED, 0, &none);
    ggw_slots_send_frame(p, owner, GGW_PEER_SLOT_RELEASE, id, &w);
}

static void
update_server(struct ggw_slots *p, struct ggw_slots_server *s,
              const struct ggw_slots_held_grant *h,
              const struct ggw_slot_release *r)
{
    s->own_in_flight = MAX(s->own_in_flight - 1, 0);
    if (r->result == GGW_ATTEMPT_OK && h->since_pause) {
        s->unproven = false;
    }
    if (r->result == GGW_ATTEMPT_UNUSED) {
        return;
    }
    if (r->report.present) {
        s->reported = true;
        s->load = r->report.busy + r->report.queue;
        s->reported_at = ggw_slots_now(p);
    }
    if (ggw_attempt_failed(r->result) ||
        (r->report.present && (r->report.cold || r->report.draining))) {
        s->suspect = true;
    }
}

/*
 * Sends the release to the owner of the domain and, if the owner has changed,
 * also to the gateway that granted the slot.
 */
static void
send_release(struct ggw_slots *p, const struct ggw_slots_held_grant *h,
             struct ggw_slots_domain *d, const struct ggw_slot_release *r)
{
    struct ggw_payload_writer w;

    if (d->ledger != NULL) {
        ggw_ledger_release(d->ledger, p->self, h->id, h->server, r->result,
                           r->latency, &r->report, ggw_slots_now(p));
        ggw_slots_flush_ledger(p, d);
    }
    else if (d->owner != NULL) {
        write_release(&w, h->group, h->domain, h->server, r->result,
                      r->latency, &r->report);
        ggw_slots_send_frame(p, d->owner, GGW_PEER_SLOT_RELEASE, h->id, &w);
    }
    if (h->owner != NULL && strcmp(h->owner, p->self) != 0 &&
        g_strcmp0(h->owner, d->owner) != 0) {
        write_release(&w, h->group, h->domain, h->server, r->result,
                      r->latency, &r->report);
        ggw_slots_send_frame(p, h->owner, GGW_PEER_SLOT_RELEASE, h->id, &w);
    }
}

void
ggw_slots_release(struct ggw_slots *p, const struct ggw_slot_release *r)
{
    struct ggw_slots_held_grant *h =
        g_hash_table_lookup(p->held_grants, &r->grant);
    struct ggw_slots_server *s;
    struct ggw_slots_domain *d;

    if (h == NULL) {
        return;
    }
    g_hash_table_steal(p->held_grants, &r->grant);
    s = ggw_slots_find_server(h->group, h->server);
    d = ggw_slots_find_domain(h->group, h->domain);
    if (s != NULL) {
        update_server(p, s, h, r);
    }
    if (d != NULL) {
        send_release(p, h, d, r);
    }
    ggw_slots_held_grant_free(h);
    if (p->local_queue_len > 0) {
        ggw_slots_schedule_wake(p, ggw_slots_now(p));
    }
}

struct ggw_slots_peer *
ggw_slots_get_peer(struct ggw_slots *p, const char *name)
{
    struct ggw_slots_peer *peer = g_hash_table_lookup(p->peers, name);

    if (peer == NULL) {
        peer = g_new0(struct ggw_slots_peer, 1);
        g_hash_table_insert(p->peers, g_strdup(name), peer);
    }
    return peer;
}

/* Sends a gateway that answers again the grants that it does not count. */
static void
report_missed_grants(struct ggw_slots *p, const char *name)
{
    struct ggw_slots_iter iter;
    struct ggw_slots_domain *d;

    ggw_slots_iter_init(&iter, p);
    while ((d = ggw_slots_iter_next(&iter)) != NULL) {
        if (g_strcmp0(d->owner, name) == 0) {
            ggw_slots_send_sync(p, d, name);
        }
    }
}

void
ggw_slots_peer_heard(struct ggw_slots *p, const char *name, ggw_ms rtt)
{
    struct ggw_slots_peer *peer = ggw_slots_get_peer(p, name);

    peer->heard_at = ggw_slots_now(p);
    if (rtt >= 0) {
        /* A pause of either gateway looks like a long round trip. */
        peer->rtt = peer->rtt == 0 ? rtt : MIN(rtt, peer->rtt * 1.25 + 0.1);
    }
    if (peer->silent || peer->missed_grants) {
        peer->silent = false;
        peer->missed_grants = false;
        report_missed_grants(p, name);
    }
}
