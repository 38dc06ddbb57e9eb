#include "tests/soak/record.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Part of the requests after the recovery that must be served. */
#define RECOVERED_PART 0.9

/* A deadline may be passed on with this much more than the client's, ms. */
#define DEADLINE_SLACK_MS 500.0

/* Exceptions that the platform's pages allow. */
#define LOST_ALLOWED 3
#define REFUSED_BY_STATUS_ALLOWED 5
#define REFUSED_BY_STATUS_PART 500

struct version {
    int number;
    int service;
    ggw_ms sent;
    ggw_ms acked; /* INFINITY until then */
};

/* When requests for one service arrived, the repeats apart from the first. */
struct arrivals {
    GArray *first;   /* ggw_ms */
    GArray *repeats; /* ggw_ms */
};

/* The oldest version that a gateway may have had in force. */
struct known_version {
    int number;
    ggw_ms seen_at;
};

struct soak_record {
    GHashTable *attempts; /* id, struct soak_attempt */
    GPtrArray *order;     /* the same, as they were sent */
    GPtrArray *violations;
    ggw_ms disturbed_until[SOAK_GATEWAYS];
    ggw_ms store_disturbed_until;
    ggw_ms any_disturbed_until;
    struct known_version known[SOAK_GATEWAYS];
    GArray *versions;
    struct arrivals arrivals[SOAK_SERVICES];
    GHashTable *cold; /* server, GArray of ggw_ms */
    int lost;
    int refused_by_status;
};

static void
attempt_free(gpointer data)
{
    struct soak_attempt *a = data;

    g_free(a->id);
    g_free(a);
}

static void
array_free(gpointer data)
{
    g_array_unref(data);
}

struct soak_record *
soak_record_new(void)
{
    struct soak_record *r = g_new0(struct soak_record, 1);

    r->attempts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, attempt_free);
    r->order = g_ptr_array_new();
    r->violations = g_ptr_array_new_with_free_func(g_free);
    r->versions = g_array_new(FALSE, TRUE, sizeof(struct version));
    r->cold =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, array_free);
    for (int i = 0; i < SOAK_SERVICES; i++) {
        r->arrivals[i].first = g_array_new(FALSE, FALSE, sizeof(ggw_ms));
        r->arrivals[i].repeats = g_array_new(FALSE, FALSE, sizeof(ggw_ms));
    }
    for (int i = 0; i < SOAK_GATEWAYS; i++) {
        r->disturbed_until[i] = -INFINITY;
    }
    r->store_disturbed_until = -INFINITY;
    r->any_disturbed_until = -INFINITY;
    return r;
}

void
soak_record_free(struct soak_record *r)
{
    g_hash_table_unref(r->attempts);
    g_ptr_array_unref(r->order);
    g_ptr_array_unref(r->violations);
    g_array_unref(r->versions);
    g_hash_table_unref(r->cold);
    for (int i = 0; i < SOAK_SERVICES; i++) {
        g_array_unref(r->arrivals[i].first);
        g_array_unref(r->arrivals[i].repeats);
    }
    g_free(r);
}

const GPtrArray *
soak_record_violations(const struct soak_record *r)
{
    return r->violations;
}

void
soak_record_violate(struct soak_record *r, ggw_ms now, const char *rule,
                    const char *format, ...)
{
    g_autofree char *what = NULL;
    va_list args;

    va_start(args, format);
    what = g_strdup_vprintf(format, args);
    va_end(args);
    g_ptr_array_add(r->violations,
                    g_strdup_printf("%.0f %s: %s", now, rule, what));
}

static void
prolong(ggw_ms *at, ggw_ms until)
{
    *at = MAX(*at, until);
}

void
soak_record_disturb(struct soak_record *r, int what, ggw_ms until)
{
    if (what == SOAK_STORE) {
        prolong(&r->store_disturbed_until, until);
    }
    else if (what >= 0) {
        prolong(&r->disturbed_until[what], until);
    }
    prolong(&r->any_disturbed_until, until);
}

bool
soak_record_in_touch(const struct soak_record *r, int gateway, ggw_ms now)
{
    return now >= r->disturbed_until[gateway] + SOAK_STABLE_MS &&
           now >= r->store_disturbed_until + SOAK_STABLE_MS;
}

void
soak_record_restarted(struct soak_record *r, int gateway)
{
    r->known[gateway] = (struct known_version){0};
}

struct soak_attempt *
soak_record_sent(struct soak_record *r, const char *id, enum soak_kind kind,
                 int gateway, ggw_ms deadline, ggw_ms now)
{
    struct soak_attempt *a = g_new0(struct soak_attempt, 1);

    a->id = g_strdup(id);
    a->kind = kind;
    a->gateway = gateway;
    a->sent = now;
    a->deadline = deadline;
    g_hash_table_insert(r->attempts, a->id, a);
    g_ptr_array_add(r->order, a);
    return a;
}

void
soak_record_version(struct soak_record *r, int version, int service,
                    ggw_ms sent)
{
    struct version v = {version, service, sent, INFINITY};

    g_array_append_val(r->versions, v);
}

void
soak_record_version_acked(struct soak_record *r, int version, ggw_ms now)
{
    for (guint i = 0; i < r->versions->len; i++) {
        struct version *v = &g_array_index(r->versions, struct version, i);

        if (v->number == version) {
            v->acked = now;
        }
    }
}

/* The newest version that must be in force at @now. */
static int
required_version(const struct soak_record *r, ggw_ms now)
{
    int newest = 0;

    for (guint i = 0; i < r->versions->len; i++) {
        const struct version *v =
            &g_array_index(r->versions, struct version, i);

        if (v->acked + SOAK_CONFIG_MS < now) {
            newest = MAX(newest, v->number);
        }
    }
    return newest;
}

/* The oldest version from @least on that has @service; 0 for none. */
static int
version_with(const struct soak_record *r, int service, int least, ggw_ms now)
{
    for (guint i = 0; i < r->versions->len; i++) {
        const struct version *v =
            &g_array_index(r->versions, struct version, i);

        if (v->service == service && v->number >= least && v->sent <= now) {
            return v->number;
        }
    }
    return 0;
}

static void
check_moved(struct soak_record *r, const struct soak_attempt *a, int service,
            ggw_ms now)
{
    struct known_version *known = &r->known[a->gateway];
    int required = required_version(r, a->sent);
    int version;

    if (version_with(r, service, 0, now) == 0) {
        soak_record_violate(r, now, "ROUTE",
                            "%s reached service %d, which no version names",
                            a->id, service);
        return;
    }
    if (soak_record_in_touch(r, a->gateway, a->sent) &&
        version_with(r, service, required, now) == 0) {
        soak_record_violate(r, now, "CONFIG",
                            "%s sent at %.0f reached service %d, although "
                            "version %d was in force",
                            a->id, a->sent, service, required);
    }
    if (a->sent <= known->seen_at + SOAK_REVERT_SLOW * SOAK_REVERT_MS) {
        return;
    }
    version = version_with(r, service, known->number, now);
    if (version == 0) {
        soak_record_violate(r, now, "CONFIG",
                            "gateway %d went back behind version %d with %s",
                            a->gateway, known->number, a->id);
    }
    else if (version > known->number) {
        *known = (struct known_version){version, now};
    }
}

static void
check_cold(struct soak_record *r, const struct soak_arrival *arrival,
           ggw_ms now)
{
    GArray *times = g_hash_table_lookup(r->cold, arrival->server);
    int within = 0;

    if (times == NULL) {
        times = g_array_new(FALSE, FALSE, sizeof(ggw_ms));
        g_hash_table_insert(r->cold, g_strdup(arrival->server), times);
    }
    g_array_append_val(times, now);
    for (guint i = 0; i < times->len; i++) {
        within += g_array_index(times, ggw_ms, i) > now - 1000;
    }
    if (within > SOAK_COLD_PER_S * SOAK_COLD_EXCESS + SOAK_COLD_SLACK) {
        soak_record_violate(r, now, "FAILBACK",
                            "cold server %s got %d requests in a second",
                            arrival->server, within);
    }
}

static void
check_path(struct soak_record *r, const struct soak_attempt *a,
           const struct soak_arrival *arrival, ggw_ms now)
{
    if (arrival->path_kind != (int)a->kind) {
        soak_record_violate(r, now, "UNASKED", "%s arrived with another path",
                            a->id);
    }
    else if (a->kind == SOAK_MOVED) {
        check_moved(r, a, arrival->service, now);
    }
    else if (arrival->service != (int)a->kind) {
        soak_record_violate(r, now, "ROUTE", "%s reached service %d", a->id,
                            arrival->service);
    }
}

struct soak_attempt *
soak_record_arrived(struct soak_record *r, const struct soak_arrival *arrival,
                    ggw_ms now)
{
    struct soak_attempt *a =
        arrival->id != NULL ? g_hash_table_lookup(r->attempts, arrival->id)
                            : NULL;
    struct arrivals *times = &r->arrivals[arrival->service];

    if (a == NULL) {
        soak_record_violate(r, now, "UNASKED", "request %s at %s", arrival->id,
                            arrival->server);
        return NULL;
    }
    a->arrivals++;
    g_array_append_val(a->arrivals > 1 ? times->repeats : times->first, now);
    check_path(r, a, arrival, now);
    if (arrival->deadline < 0 ||
        arrival->deadline > a->deadline + DEADLINE_SLACK_MS) {
        soak_record_violate(r, now, "BUDGET",
                            "%s arrived with a deadline of %.0f ms", a->id,
                            arrival->deadline);
    }
    if (now > arrival->closed_at + arrival->closed_bound &&
        soak_record_in_touch(r, a->gateway, now)) {
        soak_record_violate(r, now, "DRAIN",
                            "%s reached %s, closed since %.0f", a->id,
                            arrival->server, arrival->closed_at);
    }
    if (arrival->cold) {
        check_cold(r, arrival, now);
    }
    return a;
}

/* Statuses that say that a request has not run and never will. */
static bool
says_not_run(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

void
soak_record_ran(struct soak_record *r, struct soak_attempt *a, ggw_ms now)
{
    a->runs++;
    if (a->kind != SOAK_ORDER) {
        return;
    }
    if (a->runs > 1) {
        soak_record_violate(r, now, "TWICE", "%s ran %d times", a->id,
                            a->runs);
    }
    if (a->ended && says_not_run(a->status)) {
        soak_record_violate(r, now, "REFUSED", "%s runs after status %d",
                            a->id, a->status);
    }
}

void
soak_record_answered(struct soak_record *r, struct soak_attempt *a, int status,
                     bool genuine, ggw_ms now)
{
    a->ended = true;
    a->status = status;
    a->served = status / 100 == 2;
    if (a->served && (!genuine || !a->whole)) {
        soak_record_violate(r, now, "MIXED",
                            "%s got %d that no server has sent", a->id,
                            status);
    }
    if (a->kind == SOAK_ORDER && a->runs > 0 && says_not_run(status)) {
        soak_record_violate(r, now, "REFUSED", "%s got %d although it ran",
                            a->id, status);
    }
    if (status == 401 || status == 403 || status == 404) {
        soak_record_violate(r, now, "DENIED", "%s got %d from gateway %d",
                            a->id, status, a->gateway);
    }
    else if (status / 100 == 3 ||
             (status / 100 == 4 && !says_not_run(status))) {
        r->refused_by_status++;
    }
}

void
soak_record_cut(struct soak_record *r, struct soak_attempt *a, bool leaving,
                ggw_ms now)
{
    a->ended = true;
    if (a->arrivals == 0) {
        return;
    }
    if (leaving && a->sent >= r->any_disturbed_until + SOAK_STABLE_MS) {
        soak_record_violate(r, now, "LOST",
                            "%s sent at %.0f was cut by gateway %d, which "
                            "was stopping",
                            a->id, a->sent, a->gateway);
    }
    else if (!leaving && soak_record_in_touch(r, a->gateway, now)) {
        r->lost++;
    }
}

void
soak_record_timed_out(struct soak_record *r, struct soak_attempt *a)
{
    a->ended = true;
}

static int
count_within(const GArray *times, ggw_ms from, ggw_ms until)
{
    int n = 0;

    for (guint i = 0; i < times->len; i++) {
        ggw_ms t = g_array_index(times, ggw_ms, i);

        n += t >= from && t < until;
    }
    return n;
}

static void
check_repeats(struct soak_record *r, int service, ggw_ms now)
{
    const struct arrivals *a = &r->arrivals[service];

    for (guint i = 0; i < a->repeats->len; i++) {
        ggw_ms from = g_array_index(a->repeats, ggw_ms, i);
        int repeats =
            count_within(a->repeats, from, from + SOAK_RETRY_WINDOW_MS);
        int asked =
            MAX(count_within(a->first, from, from + SOAK_RETRY_WINDOW_MS),
                count_within(a->first, from - SOAK_RETRY_WINDOW_MS, from));

        if (repeats > SOAK_RETRY_RATIO * asked + SOAK_RETRY_SLACK) {
            soak_record_violate(r, now, "BUDGET",
                                "service %d got %d repeats of %d requests "
                                "in the window from %.0f",
                                service, repeats, asked, from);
            return;
        }
    }
}

static void
check_recovery(struct soak_record *r, ggw_ms from, ggw_ms now)
{
    int sent = 0;
    int served = 0;

    for (guint i = 0; i < r->order->len; i++) {
        const struct soak_attempt *a = g_ptr_array_index(r->order, i);

        sent += a->sent >= from;
        served += a->sent >= from && a->served;
    }
    if (sent == 0 || served < RECOVERED_PART * sent) {
        soak_record_violate(r, now, "RECOVER",
                            "%d of %d requests served after %.0f", served,
                            sent, from);
    }
}

void
soak_record_finish(struct soak_record *r, ggw_ms recovered_from, ggw_ms now)
{
    if (r->lost > LOST_ALLOWED) {
        soak_record_violate(r, now, "LOST", "%d requests were cut", r->lost);
    }
    if (r->refused_by_status >
        REFUSED_BY_STATUS_ALLOWED +
            (int)r->order->len / REFUSED_BY_STATUS_PART) {
        soak_record_violate(r, now, "DENIED", "%d proper requests got 4xx",
                            r->refused_by_status);
    }
    for (int i = 0; i < SOAK_SERVICES; i++) {
        check_repeats(r, i, now);
    }
    check_recovery(r, recovered_from, now);
}

char *
soak_record_summary(const struct soak_record *r)
{
    int served = 0;
    int refused = 0;
    int failed = 0;
    int repeats = 0;

    for (guint i = 0; i < r->order->len; i++) {
        const struct soak_attempt *a = g_ptr_array_index(r->order, i);

        served += a->served;
        refused += !a->served && says_not_run(a->status);
        failed += !a->served && !says_not_run(a->status);
        repeats += MAX(a->arrivals - 1, 0);
    }
    return g_strdup_printf("requests=%u served=%d refused=%d failed=%d "
                           "repeats=%d lost=%d violations=%u",
                           r->order->len, served, refused, failed, repeats,
                           r->lost, r->violations->len);
}
