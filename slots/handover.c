#include <string.h>

#include "slots/internal.h"

/*
 * What a new owner learns from the others: grants in flight and which servers
 * are warm. The new owner asks, because the others may learn of the change
 * earlier or later than it does.
 */

enum sync_kind {
    SYNC_REQUEST,
    SYNC_ANSWER,
    SYNC_ANNOUNCE, /* the owner shall send SLOT_LOAD again */
};

/* About 60 bytes each, so that a frame stays below its limit. */
#define MAX_ENTRIES 400

static void
put_head(struct ggw_payload_writer *w, enum sync_kind kind,
         const struct ggw_slots_domain *d)
{
    ggw_payload_begin(w, 5);
    ggw_payload_put_uint(w, kind);
    ggw_payload_put_string(w, d->group->team);
    ggw_payload_put_string(w, d->group->service);
    ggw_payload_put_string(w, d->name);
}

static void
send_empty(struct ggw_slots *p, enum sync_kind kind,
           struct ggw_slots_domain *d, const char *peer)
{
    struct ggw_payload_writer w;

    put_head(&w, kind, d);
    ggw_payload_put_array(&w, 0);
    ggw_slots_to_peer(p, peer, GGW_PEER_SLOT_SYNC, 0, &w);
}

void
ggw_slots_request_sync(struct ggw_slots *p, struct ggw_slots_domain *d,
                       const char *peer)
{
    send_empty(p, SYNC_REQUEST, d, peer);
}

/*
 * A new owner's announcement is ignored by a gateway that has not yet learned
 * of the change, and is not repeated unless it changes.
 */
void
ggw_slots_request_announcement(struct ggw_slots *p, struct ggw_slots_domain *d)
{
    send_empty(p, SYNC_ANNOUNCE, d, d->owner);
}

/* Own grants of a domain; they count at @owner from now on. */
static void
collect_held(struct ggw_slots *p, const struct ggw_slots_domain *d,
             const char *owner, GArray *out)
{
    GHashTableIter iter;
    gpointer value;
    ggw_ms now = ggw_slots_now(p);

    g_hash_table_iter_init(&iter, p->held);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_slots_held *h = value;
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
    collect_held(p, d, owner, out);
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

    for (guint i = 0; i < states->len; i += MAX_ENTRIES) {
        guint n = MIN(states->len - i, MAX_ENTRIES);

        put_head(&w, SYNC_ANSWER, d);
        ggw_payload_put_array(&w, n);
        for (guint j = i; j < i + n; j++) {
            put_state(&w, &g_array_index(
                              states, struct ggw_ledger_handover_record, j));
        }
        ggw_slots_to_peer(p, peer, GGW_PEER_SLOT_SYNC, 0, &w);
    }
}

static void
adopt(struct ggw_slots *p, struct ggw_slots_domain *d,
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
        state.expires_in = ggw_payload_double(&r);
        if (*state.holder == '\0') {
            state.holder = NULL;
        }
        if (r.ok) {
            ggw_ledger_import(d->ledger, &state, ggw_slots_now(p));
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
        g_clear_pointer(&d->announced, g_bytes_unref);
    }
    else if (r.ok && d != NULL && d->ledger != NULL) {
        adopt(p, d, &list, n);
        ggw_slots_drain(p, d);
    }
    ggw_payload_close(&r);
}

void
ggw_slots_adopt_held(struct ggw_slots *p, struct ggw_slots_domain *d)
{
    g_autoptr(GArray) states =
        g_array_new(FALSE, TRUE, sizeof(struct ggw_ledger_handover_record));

    collect_held(p, d, p->self, states);
    for (guint i = 0; i < states->len; i++) {
        ggw_ledger_import(
            d->ledger,
            &g_array_index(states, struct ggw_ledger_handover_record, i),
            ggw_slots_now(p));
    }
}
