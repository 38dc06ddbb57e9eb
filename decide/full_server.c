#include "decide/full_server.h"

#include <glib.h>

/* A behaviour counts as seen after this many events on full servers. */
#define MIN_EVENTS 3.0

/*
 * Events on full servers must be this many times as frequent as on servers
 * with room, so that broken connections of another cause do not count.
 */
#define FREQUENCY_FACTOR 3.0

/* Prior of the frequency on servers with room: 1 event in 20 attempts. */
#define PRIOR_EVENTS 1.0
#define PRIOR_ATTEMPTS 20.0

/* With this many attempts, older ones lose half of their weight. */
#define MAX_ATTEMPTS 5000.0

/* A reset for lack of room comes within this fraction of the median. */
#define RESET_FRACTION 0.5

static void
halve(struct ggw_full_server *f)
{
    for (int i = 0; i < 2; i++) {
        f->attempts[i] /= 2;
        for (int j = 0; j <= GGW_FULL_HANGS; j++) {
            f->events[j][i] /= 2;
        }
    }
}

static bool
is_seen(const struct ggw_full_server *f, enum ggw_full_behaviour event)
{
    double usual = (f->events[event][0] + PRIOR_EVENTS) /
                   (f->attempts[0] + PRIOR_ATTEMPTS);

    return f->events[event][1] >= MIN_EVENTS &&
           f->events[event][1] >= FREQUENCY_FACTOR * usual * f->attempts[1];
}

static void
update(struct ggw_full_server *f)
{
    static const enum ggw_full_behaviour order[] = {
        GGW_FULL_RESETS, GGW_FULL_HANGS, GGW_FULL_ANSWERS};

    f->behaviour = GGW_FULL_UNKNOWN;
    for (size_t i = 0; i < G_N_ELEMENTS(order); i++) {
        if (is_seen(f, order[i])) {
            f->behaviour = order[i];
            return;
        }
    }
}

void
ggw_full_server_add_attempt(struct ggw_full_server *f, bool last_slot)
{
    f->attempts[last_slot ? 1 : 0] += 1;
    if (f->attempts[0] + f->attempts[1] >= MAX_ATTEMPTS) {
        halve(f);
    }
    if (f->behaviour != GGW_FULL_UNKNOWN) {
        update(f);
    }
}

void
ggw_full_server_add_event(struct ggw_full_server *f,
                          enum ggw_full_behaviour event, bool last_slot)
{
    if (event == GGW_FULL_UNKNOWN) {
        return;
    }
    f->events[event][last_slot ? 1 : 0] += 1;
    update(f);
}

enum ggw_full_behaviour
ggw_full_server_event(enum ggw_attempt_result result, ggw_ms latency,
                      ggw_ms median)
{
    switch (result) {
    case GGW_ATTEMPT_SHED:
        return GGW_FULL_ANSWERS;
    case GGW_ATTEMPT_BROKEN:
        return latency < RESET_FRACTION * median ? GGW_FULL_RESETS
                                                 : GGW_FULL_UNKNOWN;
    case GGW_ATTEMPT_SILENT:
        return GGW_FULL_HANGS;
    default:
        return GGW_FULL_UNKNOWN;
    }
}

bool
ggw_full_server_has_room(const struct ggw_full_load *load)
{
    int others = load->abandoned;
    int slots = load->slots;

    if (load->report_age <= GGW_FULL_REPORT_AGE) {
        others = MAX(others, load->foreign);
    }
    if (load->event_age <= GGW_FULL_DISTRUST) {
        slots--;
    }
    return load->in_flight + others < slots;
}
