#include <string.h>

#include "common/metrics.h"
#include "slots/internal.h"

/*
 * Handover of a domain to a new owner, which learns the grants in flight and
 * the warm servers from the other gateways. The new owner requests them,
 * because the other gateways may notice the change of owner earlier or later
 * than it does.
 */

enum sync_kind {
    SYNC_REQUEST,
    SYNC_ANSWER,
    SYNC_ANNOUNCE, /* requests that the owner send SLOT_LOAD again */
};

/* An entry takes about 60 bytes; this keeps a frame below its size limit. */
#define MAX_FRAME_ENTRIES 400

static void
put_header(struct ggw_payload_writer *w, enum sync_kind kind,
           const struct ggw_slots_domain *d)
{
    ggw_payload_begin(w, 5);
    ggw_payload_put_uint(w, kind);
    ggw_payload_put_string(w, d->group->team);
    ggw_payload_put_string(w, d->group->service);
    ggw_payload_put_string(w, d->name);
}

static void
send_empty_sync(struct ggw_slots *p, enum sync_kind kind,
                struct ggw_slots_domain *d, const char *peer)
{
    struct ggw_payload_writer w;

    put_header(&w, kind, d);
    ggw_payload_put_array(&w, 0);
    ggw_slots_send_frame(p, peer, GGW_PEER_SLOT_SYNC, 0, &w);
}

void
ggw_slots_request_sync(struct ggw_slots *p, struct ggw_slots_domain *d,
                       const char *peer)
{
    send_empty_sync(p, SYNC_REQUEST, d, peer);
}

/*
 * A gateway that does not yet know of a new owner ignores its announcement,
 * and the owner does not repeat an announcement that has not changed.
 */
void
ggw_slots_request_announcement(struct ggw_slots *p, struct ggw_slots_domain *d)
{
    send_empty_sync(p, SYNC_ANNOUNCE, d, d->owner);
}

/*
 * Appends the grants of a domain that this gateway holds to @out. @owner
 * counts those that no owner counted before.
 */
static void
collect_held_grants(struct ggw_slots *p, const struct ggw_slots_domain *d,
                    const char *owner, GArray *out)
{
    GHashTableIter iter;
    gpointer value;
    ggw_ms now = ggw_slots_now(p);

    g_hash_table_iter_init(&iter, p->held_grants);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_slots_held_grant *h = value;
        struct ggw_ledger_handover_record state = {
            .server = h->server,
            .holder = p->self,
            .id = h->id,
            .expires_in = MAX(h->expires - now, 0),
        };

        if (h->group != d->group || strcmp(h->domain, d->name) != 0) {
            continue;
        }
        if (h->owner == NULL) {
            h->owner = g_strdup(owner);
        }
        g_array_append_val(out, state);
    }
}

static GArray *
collect_states(struct ggw_slots *p, struct ggw_slots_domain *d,
               const char *owner)
{
    GArray *out;

    if (d->ledger != NULL) {
        return ggw_ledger_export(d->ledger, ggw_slots_now(p));
    }
    out = g_array_new(FALSE, TRUE, sizeof(struct ggw_ledger_handover_record));
    for (guint i = 0; i < d->group->servers->len; i++) {
        const struct ggw_slots_server *s =
            g_ptr_array_index(d->group->servers, i);
        struct ggw_ledger_handover_record state = {
            .server = s->name,
            .incarnation = s->incarnation,
            .warm = s->warm && !s->suspect,
        };

        if (s->domain == d && state.warm) {
            g_array_append_val(out, state);
        }
    }
    collect_held_grants(p, d, owner, out);
    return out;
}

static void
put_state(struct ggw_payload_writer *w,
          const struct ggw_ledger_handover_record *s)
{
    ggw_payload_put_array(w, 6);
    ggw_payload_put_string(w, s->server);
    ggw_payload_put_uint(w, s->incarnation);
    ggw_payload_put_bool(w, s->warm);
    ggw_payload_put_string(w, s->holder != NULL ? s->holder : "");
    ggw_payload_put_uint(w, s->id);
    ggw_payload_put_double(w, s->expires_in);
}

void
ggw_slots_send_sync(struct ggw_slots *p, struct ggw_slots_domain *d,
                    const char *peer)
{
    g_autoptr(GArray) states = collect_states(p, d, peer);
    struct ggw_payload_writer w;

    for (guint i = 0; i < states->len; i += MAX_FRAME_ENTRIES) {
        guint n = MIN(states->len - i, MAX_FRAME_ENTRIES);

        put_header(&w, SYNC_ANSWER, d);
        ggw_payload_put_array(&w, n);
        for (guint j = i; j < i + n; j++) {
            put_state(&w, &g_array_index(
                              states, struct ggw_ledger_handover_record, j));
        }
        ggw_slots_send_frame(p, peer, GGW_PEER_SLOT_SYNC, 0, &w);
    }
}

static void
import_states(struct ggw_slots *p, struct ggw_slots_domain *d,
              struct ggw_payload_reader *list, uint32_t n)
{
    for (uint32_t i = 0; i < n && list->ok; i++) {
        struct ggw_payload_reader r;
        struct ggw_ledger_handover_record state = {0};

        ggw_payload_array(list, &r);
        state.server = ggw_payload_string(&r);
        state.incarnation = ggw_payload_uint(&r);
        state.warm = ggw_payload_bool(&r);
        state.holder = ggw_payload_string(&r);
        state.id = ggw_payload_uint(&r);
        state.expires_in = ggw_slots_read_time(&r);
        if (*state.holder == '\0') {
            state.holder = NULL;
        }
        if (r.ok) {
            ggw_ledger_import(d->ledger, &state, ggw_slots_now(p));
        }
        else {
            ggw_count("ggw_slots_frames_malformed_total");
        }
    }
}

void
ggw_slots_on_sync(struct ggw_slots *p, const struct ggw_peer_received *frame)
{
    gsize len;
    gconstpointer data = g_bytes_get_data(frame->payload, &len);
    struct ggw_payload_reader r;
    struct ggw_payload_reader list;
    struct ggw_slots_domain *d;
    uint64_t kind;
    uint32_t n;

    ggw_payload_open(&r, data, len);
    kind = ggw_payload_uint(&r);
    d = ggw_slots_read_domain(p, &r);
    n = ggw_payload_array(&r, &list);
    if (r.ok && d != NULL && kind == SYNC_REQUEST) {
        ggw_slots_send_sync(p, d, frame->peer);
    }
    else if (r.ok && d != NULL && kind == SYNC_ANNOUNCE) {
        ggw_slots_announce_to(p, d, frame->peer);
    }
    else if (r.ok && d != NULL && d->ledger != NULL) {
        import_states(p, d, &list, n);
        ggw_slots_flush_ledger(p, d);
    }
    ggw_payload_close(&r);
}

void
ggw_slots_import_held_grants(struct ggw_slots *p, struct ggw_slots_domain *d)
{
    g_autoptr(GArray) states =
        g_array_new(FALSE, TRUE, sizeof(struct ggw_ledger_handover_record));

    collect_held_grants(p, d, p->self, states);
    for (guint i = 0; i < states->len; i++) {
        ggw_ledger_import(
            d->ledger,
            &g_array_index(states, struct ggw_ledger_handover_record, i),
            ggw_slots_now(p));
    }
}
