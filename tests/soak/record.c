#include "tests/soak/record.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/* Ratio of the requests after the recovery that must be served. */
#define MIN_SERVED_RATIO 0.9

/*
 * Of at least MIN_ADDED_SENT requests on an added route, this share of the
 * ratio on the first routes must be served.
 */
#define MIN_ADDED_SENT 20
#define MIN_ADDED_RATIO 0.25

/* The forwarded deadline may exceed the client's by this much, ms. */
#define DEADLINE_SLACK_MS 500.0

/*
 * The platform's documentation allows this many lost requests, and this many
 * rejected ones plus one for each REQUESTS_PER_REJECTED requests.
 */
#define MAX_LOST 3
#define REJECTED_ALLOWED 5
#define REQUESTS_PER_REJECTED 500

struct version {
    int number;
    int service;
    ggw_ms sent;
    ggw_ms acked; /* by the store; INFINITY until then */
};

/* Arrival times at one service, first arrivals apart from repeats. */
struct arrivals {
    GArray *first;   /* ggw_ms */
    GArray *repeats; /* ggw_ms */
};

/*
 * A lower limit of the version that a gateway has applied, derived from the
 * services that its requests reached; @seen_at is when it was last raised.
 */
struct known_version {
    int number;
    ggw_ms seen_at;
};

/*
 * What a server has said to a gateway: when the gateway passed on that it
 * leaves, and the pause that it asked for; INFINITY if it has not.
 */
struct said {
    ggw_ms leaving_at;
    ggw_ms pause_from;
    ggw_ms pause_until;
    int arrivals; /* in the pause */
};

struct soak_record {
    GHashTable *attempts; /* id -> struct soak_attempt */
    GPtrArray *order;     /* the same attempts in the order of sending */
    GPtrArray *violations;
    ggw_ms fault_until[SOAK_GATEWAYS];
    ggw_ms store_fault_until;
    ggw_ms history_fault_until;
    ggw_ms any_fault_until;
    struct known_version known[SOAK_GATEWAYS];
    GArray *versions;
    struct arrivals arrivals[SOAK_SERVICES];
    GHashTable *cold;                /* server -> GArray of ggw_ms */
    GHashTable *said[SOAK_GATEWAYS]; /* server -> struct said */
    int lost;     /* disconnected although the gateway was stable */
    int rejected; /* responses with 3xx or 4xx */
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
        r->said[i] =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        r->fault_until[i] = -INFINITY;
    }
    r->store_fault_until = -INFINITY;
    r->history_fault_until = -INFINITY;
    r->any_fault_until = -INFINITY;
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
    for (int i = 0; i < SOAK_GATEWAYS; i++) {
        g_hash_table_unref(r->said[i]);
    }
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
soak_record_add_violation(struct soak_record *r, ggw_ms now, const char *rule,
                          const char *format, ...)
{
    g_autofree char *text = NULL;
    va_list args;

    va_start(args, format);
    text = g_strdup_vprintf(format, args);
    va_end(args);
    g_ptr_array_add(r->violations,
                    g_strdup_printf("%.0f %s: %s", now, rule, text));
}

static void
extend_until(ggw_ms *at, ggw_ms until)
{
    *at = MAX(*at, until);
}

void
soak_record_add_fault(struct soak_record *r, int scope, ggw_ms until)
{
    if (scope == SOAK_SCOPE_STORE) {
        extend_until(&r->store_fault_until, until);
    }
    else if (scope == SOAK_SCOPE_HISTORY) {
        extend_until(&r->history_fault_until, until);
    }
    else if (scope >= 0) {
        extend_until(&r->fault_until[scope], until);
        g_hash_table_remove_all(r->said[scope]);
    }
    extend_until(&r->any_fault_until, until);
}

bool
soak_record_is_stable(const struct soak_record *r, int gateway, ggw_ms now)
{
    return now >= r->fault_until[gateway] + SOAK_STABLE_MS &&
           now >= r->store_fault_until + SOAK_STABLE_MS;
}

void
soak_record_gateway_restarted(struct soak_record *r, int gateway)
{
    r->known[gateway] = (struct known_version){0};
    g_hash_table_remove_all(r->said[gateway]);
}

static struct said *
ensure_said(struct soak_record *r, const char *server, int gateway)
{
    struct said *s = g_hash_table_lookup(r->said[gateway], server);

    if (s == NULL) {
        s = g_new(struct said, 1);
        *s = (struct said){INFINITY, INFINITY, INFINITY, 0};
        g_hash_table_insert(r->said[gateway], g_strdup(server), s);
    }
    return s;
}

void
soak_record_paused(struct soak_record *r, const char *server, int gateway,
                   ggw_ms pause, ggw_ms now)
{
    struct said *s = ensure_said(r, server, gateway);

    if (isinf(s->pause_until) || now > s->pause_until) {
        s->pause_from = now + SOAK_PAUSE_LAG_MS;
        s->pause_until = now + pause;
        s->arrivals = 0;
    }
    s->pause_until = MAX(s->pause_until, now + pause);
}

/* Forgets that responses on their way to clients say that a server leaves. */
static void
void_leaves(struct soak_record *r, const char *server)
{
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, r->attempts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct soak_attempt *a = value;

        if (!a->ended && g_strcmp0(a->leaving, server) == 0) {
            a->leaving = NULL;
        }
    }
}

void
soak_record_server_restarted(struct soak_record *r, const char *server)
{
    for (int i = 0; i < SOAK_GATEWAYS; i++) {
        g_hash_table_remove(r->said[i], server);
    }
    void_leaves(r, server);
}

/* Checks that a gateway respects what a server has said to it. */
static void
check_said(struct soak_record *r, const struct soak_attempt *a,
           const char *server, ggw_ms now)
{
    struct said *s = g_hash_table_lookup(r->said[a->gateway], server);

    if (s == NULL) {
        return;
    }
    if (a->sent > s->leaving_at + SOAK_DRAIN_MS) {
        soak_record_add_violation(
            r, now, "DRAIN",
            "attempt %s sent at %.0f reached %s, which gateway %d knew to "
            "leave since %.0f",
            a->id, a->sent, server, a->gateway, s->leaving_at);
    }
    if (now < s->pause_from || now > s->pause_until ||
        now < r->any_fault_until + SOAK_STABLE_MS) {
        return;
    }
    if (++s->arrivals == SOAK_PAUSE_ARRIVALS + 1) {
        soak_record_add_violation(
            r, now, "BUDGET",
            "%d requests of gateway %d reached %s in a pause from %.0f",
            s->arrivals, a->gateway, server, s->pause_from);
    }
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

/* By how much an unstable store extends bounds at @now, ms. */
static ggw_ms
outer_ms(const struct soak_record *r, ggw_ms now)
{
    return now < r->history_fault_until + SOAK_STABLE_MS ? SOAK_OUTER_MS : 0;
}

/* The newest version that the gateways must have applied at @now. */
static int
required_version(const struct soak_record *r, ggw_ms now)
{
    ggw_ms bound = SOAK_CONFIG_MS + outer_ms(r, now);
    int newest = 0;

    for (guint i = 0; i < r->versions->len; i++) {
        const struct version *v =
            &g_array_index(r->versions, struct version, i);

        if (v->acked + bound < now) {
            newest = MAX(newest, v->number);
        }
    }
    return newest;
}

/**
 * struct handling - how a gateway has handled a request
 * @kind: SOAK_MOVED or SOAK_ADDED
 * @service: the service that the request has reached; -1: no route matched
 * @route: of SOAK_ADDED
 */
struct handling {
    enum soak_kind kind;
    int service;
    int route;
};

static bool
version_allows(const struct version *v, const struct handling *h)
{
    bool has_route =
        v->number >= h->route && v->number < h->route + SOAK_ADDED_VERSIONS;

    if (h->kind == SOAK_ADDED) {
        return has_route == (h->service >= 0);
    }
    return v->service == h->service;
}

/*
 * The oldest version not older than @least that allows to handle a request as
 * in @h, of those sent until @now; 0 if there is none.
 */
static int
find_version(const struct soak_record *r, const struct handling *h, int least,
             ggw_ms now)
{
    for (guint i = 0; i < r->versions->len; i++) {
        const struct version *v =
            &g_array_index(r->versions, struct version, i);

        if (v->number >= least && v->sent <= now && version_allows(v, h)) {
            return v->number;
        }
    }
    return 0;
}

/* Checks that a gateway applies new versions in time and never goes back. */
static void
check_version(struct soak_record *r, const struct soak_attempt *a,
              const struct handling *h, ggw_ms now)
{
    struct known_version *known = &r->known[a->gateway];
    int required = required_version(r, a->sent);
    int version;

    if (h->service >= 0 && find_version(r, h, 0, now) == 0) {
        soak_record_add_violation(r, now, "ROUTE",
                                  "attempt %s reached service %d, to which no "
                                  "version routes it",
                                  a->id, h->service);
        return;
    }
    if (soak_record_is_stable(r, a->gateway, a->sent) &&
        find_version(r, h, required, now) == 0) {
        soak_record_add_violation(
            r, now, "CONFIG",
            "attempt %s of kind %d and route %d, sent at %.0f to gateway %d, "
            "reached service %d, although version %d had to be applied",
            a->id, (int)h->kind, h->route, a->sent, a->gateway, h->service,
            required);
    }
    if (a->sent <= known->seen_at + SOAK_REVERT_MS) {
        return;
    }
    version = find_version(r, h, known->number, now);
    if (version == 0) {
        soak_record_add_violation(
            r, now, "CONFIG",
            "gateway %d went back to a version before %d with "
            "attempt %s",
            a->gateway, known->number, a->id);
    }
    else if (version > known->number && h->service >= 0) {
        *known = (struct known_version){version, now};
    }
}

static void
check_cold_rate(struct soak_record *r, const struct soak_arrival *arrival,
                ggw_ms now)
{
    GArray *times = g_hash_table_lookup(r->cold, arrival->server);
    int recent = 0;

    if (times == NULL) {
        times = g_array_new(FALSE, FALSE, sizeof(ggw_ms));
        g_hash_table_insert(r->cold, g_strdup(arrival->server), times);
    }
    g_array_append_val(times, now);
    for (guint i = 0; i < times->len; i++) {
        recent += g_array_index(times, ggw_ms, i) > now - 1000;
    }
    if (recent > SOAK_COLD_PER_S * SOAK_COLD_MARGIN_FACTOR + SOAK_COLD_SLACK) {
        soak_record_add_violation(
            r, now, "FAILBACK",
            "cold server %s got %d requests within a second", arrival->server,
            recent);
    }
}

static void
check_route(struct soak_record *r, const struct soak_attempt *a,
            const struct soak_arrival *arrival, ggw_ms now)
{
    struct handling h = {a->kind, arrival->service, a->route};

    if (arrival->path_kind != (int)a->kind ||
        (a->kind == SOAK_ADDED && arrival->route != a->route)) {
        soak_record_add_violation(
            r, now, "UNASKED", "attempt %s arrived with another path", a->id);
    }
    else if (a->kind == SOAK_MOVED ||
             (a->kind == SOAK_ADDED &&
              arrival->service == a->route % SOAK_SERVICES)) {
        check_version(r, a, &h, now);
    }
    else if (arrival->service != (int)a->kind) {
        soak_record_add_violation(r, now, "ROUTE",
                                  "attempt %s reached service %d", a->id,
                                  arrival->service);
    }
}

/* The bound of a drain; it holds only if its ack is of a stable store. */
static ggw_ms
drain_bound(const struct soak_record *r, const struct soak_arrival *arrival,
            ggw_ms now)
{
    if (arrival->drain_bound == SOAK_EVACUATE_MS) {
        return arrival->drain_bound + outer_ms(r, now);
    }
    return outer_ms(r, now) > 0 ? INFINITY : arrival->drain_bound;
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
        soak_record_add_violation(r, now, "UNASKED",
                                  "no client sent attempt %s, received by %s",
                                  arrival->id, arrival->server);
        return NULL;
    }
    a->arrivals++;
    g_array_append_val(a->arrivals > 1 ? times->repeats : times->first, now);
    check_route(r, a, arrival, now);
    check_said(r, a, arrival->server, now);
    if (arrival->deadline < 0 ||
        arrival->deadline > a->deadline + DEADLINE_SLACK_MS) {
        soak_record_add_violation(
            r, now, "BUDGET", "attempt %s arrived with a deadline of %.0f ms",
            a->id, arrival->deadline);
    }
    if (now > arrival->drain_acked_at + drain_bound(r, arrival, now) &&
        soak_record_is_stable(r, a->gateway, now)) {
        soak_record_add_violation(
            r, now, "DRAIN",
            "attempt %s of gateway %d reached %s, draining since %.0f", a->id,
            a->gateway, arrival->server, arrival->drain_acked_at);
    }
    if (arrival->cold) {
        check_cold_rate(r, arrival, now);
    }
    return a;
}

/* Whether a status states that the request has not run and never will. */
static bool
is_not_run_status(int status)
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
        soak_record_add_violation(r, now, "TWICE", "attempt %s ran %d times",
                                  a->id, a->runs);
    }
    if (a->ended && is_not_run_status(a->status)) {
        soak_record_add_violation(
            r, now, "REFUSED", "attempt %s ran after its client got status %d",
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
    if (a->served && a->leaving != NULL) {
        struct said *s = ensure_said(r, a->leaving, a->gateway);

        s->leaving_at = MIN(s->leaving_at, now);
    }
    if (a->served && (!genuine || !a->response_sent)) {
        soak_record_add_violation(
            r, now, "MIXED",
            "attempt %s (kind %d) got a response with status %d that no "
            "server sent",
            a->id, (int)a->kind, status);
    }
    if (a->kind == SOAK_ORDER && a->runs > 0 && is_not_run_status(status)) {
        soak_record_add_violation(r, now, "REFUSED",
                                  "attempt %s got status %d although it ran",
                                  a->id, status);
    }
    if (status == 404 && a->kind == SOAK_ADDED) {
        check_version(r, a, &(struct handling){a->kind, -1, a->route}, now);
    }
    else if (status == 401 || status == 403 || status == 404) {
        soak_record_add_violation(r, now, "DENIED",
                                  "attempt %s got status %d from gateway %d",
                                  a->id, status, a->gateway);
    }
    else if (status / 100 == 3 ||
             (status / 100 == 4 && !is_not_run_status(status))) {
        r->rejected++;
    }
}

void
soak_record_named(struct soak_record *r, const struct soak_attempt *a,
                  const char *id, int status, ggw_ms now)
{
    if (id != NULL && strcmp(id, a->id) != 0) {
        soak_record_add_violation(
            r, now, "MIXED",
            "attempt %s got a response with status %d to attempt %s", a->id,
            status, id);
    }
}

void
soak_record_stray(struct soak_record *r, int gateway,
                  const struct soak_attempt *a, ggw_ms now)
{
    soak_record_add_violation(
        r, now, "MIXED", "gateway %d sent bytes that are no response%s",
        gateway, a != NULL ? "" : ", and no request waited");
}

void
soak_record_memory(struct soak_record *r, int gateway, size_t bytes,
                   ggw_ms now)
{
    soak_record_add_violation(r, now, "MEMORY", "gateway %d uses %zu bytes",
                              gateway, bytes);
}

void
soak_record_disconnected(struct soak_record *r, struct soak_attempt *a,
                         bool stopping, ggw_ms now)
{
    a->ended = true;
    if (a->arrivals == 0 || a->server_broke_off) {
        return;
    }
    if (stopping && a->sent >= r->any_fault_until + SOAK_STABLE_MS) {
        soak_record_add_violation(
            r, now, "LOST",
            "attempt %s sent at %.0f was disconnected by gateway %d "
            "during its shutdown",
            a->id, a->sent, a->gateway);
    }
    else if (!stopping && soak_record_is_stable(r, a->gateway, now)) {
        r->lost++;
    }
}

void
soak_record_timed_out(struct soak_record *r, struct soak_attempt *a)
{
    a->ended = true;
}

static int
count_between(const GArray *times, ggw_ms from, ggw_ms until)
{
    int n = 0;

    for (guint i = 0; i < times->len; i++) {
        ggw_ms t = g_array_index(times, ggw_ms, i);

        n += t >= from && t < until;
    }
    return n;
}

/*
 * Limits the repeats in each window that starts with one. The limit follows
 * the requests in that window or in the one before it, whichever are more.
 */
static void
check_retry_budget(struct soak_record *r, int service, ggw_ms now)
{
    const struct arrivals *a = &r->arrivals[service];

    for (guint i = 0; i < a->repeats->len; i++) {
        ggw_ms from = g_array_index(a->repeats, ggw_ms, i);
        int repeats =
            count_between(a->repeats, from, from + SOAK_RETRY_WINDOW_MS);
        int requests =
            MAX(count_between(a->first, from, from + SOAK_RETRY_WINDOW_MS),
                count_between(a->first, from - SOAK_RETRY_WINDOW_MS, from));

        if (repeats > SOAK_RETRY_RATIO * requests + SOAK_RETRY_SLACK) {
            soak_record_add_violation(
                r, now, "BUDGET",
                "service %d got %d repeats of %d requests "
                "in the retry window from %.0f",
                service, repeats, requests, from);
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

        sent += a->sent >= from && a->kind != SOAK_ADDED;
        served += a->sent >= from && a->kind != SOAK_ADDED && a->served;
    }
    if (sent == 0 || served < MIN_SERVED_RATIO * sent) {
        soak_record_add_violation(r, now, "RECOVER",
                                  "%d of %d requests served after %.0f",
                                  served, sent, from);
    }
}

/* Counts requests on a route sent since @from, and those that are served. */
static void
count_served(const struct soak_record *r, enum soak_kind kind, int route,
             ggw_ms from, int *sent, int *served)
{
    *sent = 0;
    *served = 0;
    for (guint i = 0; i < r->order->len; i++) {
        const struct soak_attempt *a = g_ptr_array_index(r->order, i);
        bool counts = a->kind == kind && a->route == route && a->sent >= from;

        *sent += counts;
        *served += counts && a->served;
    }
}

/* Checks that the route added last is served as well as the first ones. */
static void
check_added_served(struct soak_record *r, ggw_ms from, ggw_ms now)
{
    int route = required_version(r, now);
    int sent[2];
    int served[2];

    count_served(r, SOAK_STATUS, 0, from, &sent[0], &served[0]);
    count_served(r, SOAK_ADDED, route, from, &sent[1], &served[1]);
    if (sent[1] >= MIN_ADDED_SENT && sent[0] > 0 &&
        served[1] * sent[0] < MIN_ADDED_RATIO * served[0] * sent[1]) {
        soak_record_add_violation(
            r, now, "CONFIG",
            "%d of %d requests served on the route added by version %d",
            served[1], sent[1], route);
    }
}

void
soak_record_finish(struct soak_record *r, ggw_ms recovered_from, ggw_ms now)
{
    if (r->lost > MAX_LOST) {
        soak_record_add_violation(r, now, "LOST",
                                  "%d requests were disconnected", r->lost);
    }
    if (r->rejected >
        REJECTED_ALLOWED + (int)r->order->len / REQUESTS_PER_REJECTED) {
        soak_record_add_violation(
            r, now, "DENIED", "%d valid requests got 3xx or 4xx", r->rejected);
    }
    for (int i = 0; i < SOAK_SERVICES; i++) {
        check_retry_budget(r, i, now);
    }
    check_recovery(r, recovered_from, now);
    check_added_served(r, recovered_from, now);
}

char *
soak_record_summary(const struct soak_record *r)
{
    int served = 0;
    int refused = 0;
    int failed = 0;
    int repeats = 0;
    int forms[SOAK_SENT_FORMS] = {0};

    for (guint i = 0; i < r->order->len; i++) {
        const struct soak_attempt *a = g_ptr_array_index(r->order, i);

        forms[a->sent_form]++;
        served += a->served;
        refused += !a->served && is_not_run_status(a->status);
        failed += !a->served && !is_not_run_status(a->status);
        repeats += MAX(a->arrivals - 1, 0);
    }
    return g_strdup_printf(
        "requests=%u served=%d refused=%d failed=%d "
        "repeats=%d lost=%d unframed=%d copies=%d "
        "earlier_copies=%d endless=%d malformed=%d "
        "violations=%u",
        r->order->len, served, refused, failed, repeats, r->lost,
        forms[SOAK_SENT_UNFRAMED], forms[SOAK_SENT_COPY],
        forms[SOAK_SENT_EARLIER_COPY], forms[SOAK_SENT_ENDLESS],
        forms[SOAK_SENT_MALFORMED], r->violations->len);
}
