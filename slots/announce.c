#include <string.h>

#include "decide/announce.h"
#include "slots/internal.h"

/* Announcements of the free slots and warm servers of owned domains. */

/*
 * Sets which servers are warm. Returns their names, not copied. One that takes
 * no requests is not among them, whatever its state: a gateway that gets no
 * answer uses the servers that were announced.
 */
static GPtrArray *
update_warm(struct ggw_slots_domain *d)
{
    struct ggw_slots_group *g = d->group;
    GPtrArray *warm = g_ptr_array_new();

    for (guint i = 0; i < g->servers->len; i++) {
        struct ggw_slots_server *s = g_ptr_array_index(g->servers, i);
        enum ggw_limit_state state;
        int in_flight;
        int limit;

        if (s->domain != d ||
            !ggw_ledger_server_limit(d->ledger, s->name, &in_flight, &limit,
                                     &state)) {
            continue;
        }
        s->warm = state == GGW_LIMIT_WARM && limit > 0 && !s->out;
        s->suspect = false;
        if (s->warm) {
            g_ptr_array_add(warm, s->name);
        }
    }
    return warm;
}

/* Returns whether @names has a name that @others lacks. */
static bool
has_other_name(GPtrArray *names, GPtrArray *others)
{
    for (guint i = 0; i < names->len; i++) {
        if (!g_ptr_array_find_with_equal_func(
                others, g_ptr_array_index(names, i), g_str_equal, NULL)) {
            return true;
        }
    }
    return false;
}

/*
 * A domain of all servers announces no free slots, because nothing can spill
 * to it.
 */
static int
round_free_slots(const struct ggw_slots_domain *d, ggw_ms now)
{
    if (strcmp(d->name, GGW_SLOTS_ALL_DOMAINS) == 0) {
        return 0;
    }
    return ggw_announce_round_slots(
        ggw_ledger_available_slots(d->ledger, now));
}

/*
 * Sends the announced state to one gateway, or to all if @peer is NULL. The
 * names are left out if the receivers have them already.
 */
static void
send_load(struct ggw_slots *p, const struct ggw_slots_domain *d,
          const char *peer, bool same_warm)
{
    const GPtrArray *warm = d->announced_warm;
    struct ggw_payload_writer w;

    ggw_payload_begin(&w, 6);
    ggw_payload_put_string(&w, d->group->team);
    ggw_payload_put_string(&w, d->group->service);
    ggw_payload_put_string(&w, d->name);
    ggw_payload_put_uint(&w, (uint64_t)d->announced_free_slots);
    ggw_payload_put_bool(&w, same_warm);
    ggw_payload_put_array(&w, same_warm ? 0 : warm->len);
    for (guint i = 0; i < warm->len && !same_warm; i++) {
        ggw_payload_put_string(&w, g_ptr_array_index(warm, i));
    }
    ggw_slots_send_frame(p, peer, GGW_PEER_SLOT_LOAD, 0, &w);
}

static GPtrArray *
copy_names(const GPtrArray *names)
{
    GPtrArray *copy = g_ptr_array_new_with_free_func(g_free);

    for (guint i = 0; i < names->len; i++) {
        g_ptr_array_add(copy, g_strdup(g_ptr_array_index(names, i)));
    }
    return copy;
}

void
ggw_slots_announce(struct ggw_slots *p, struct ggw_slots_domain *d, ggw_ms now)
{
    g_autoptr(GPtrArray) warm = update_warm(d);
    struct ggw_announce_state state = {
        .announced = d->announced_warm != NULL,
        .announced_at = d->announced_at,
        .announced_free_slots = d->announced_free_slots,
        .free_slots = round_free_slots(d, now),
    };
    bool same_warm;

    if (state.announced) {
        state.warm_added = has_other_name(warm, d->announced_warm);
        state.warm_removed = has_other_name(d->announced_warm, warm);
    }
    if (!ggw_announce_due(&state, now)) {
        return;
    }
    same_warm = state.announced && !state.warm_added && !state.warm_removed;
    g_clear_pointer(&d->announced_warm, g_ptr_array_unref);
    d->announced_warm = copy_names(warm);
    d->announced_free_slots = state.free_slots;
    d->announced_at = now;
    send_load(p, d, NULL, same_warm);
}

void
ggw_slots_announce_to(struct ggw_slots *p, const struct ggw_slots_domain *d,
                      const char *peer)
{
    if (d->ledger != NULL && d->announced_warm != NULL) {
        send_load(p, d, peer, false);
    }
}
