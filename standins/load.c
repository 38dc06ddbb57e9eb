/**
 * DOC: load generator, the stand-in for clients
 *
 * Sends several kinds of requests as a Poisson process, independently of the
 * responses (open loop), to the gateways listed by the entry page, and checks
 * every response body.
 */
#include <glib.h>
#include <math.h>

#include "common/fine_timer.h"
#include "standins/client/gateway_list.h"
#include "standins/control.h"
#include "standins/http_call.h"
#include "standins/load_stats.h"
#include "standins/pattern.h"

/*
 * Limit of addresses tried per request. A request that got no connection was
 * not sent, so it is sent to another address that may be live.
 */
#define MAX_ADDRESSES_TRIED 6

/*
 * A gateway's path starts with the team and the service; the path that a
 * backend server receives begins at the third slash.
 */
#define ROUTE_PREFIX_SLASHES 3

/**
 * struct kind - a kind of request
 * @path: template that may contain {id} and {size}
 * @weight: share of the arrivals, relative to the other kinds
 * @max_size: upper bound of the random {size} in bytes
 */
struct kind {
    char *name, *method, *path;
    double weight;
    uint64_t max_size;
    struct load_stats *stats;
};

/**
 * struct request - a request in flight
 * @id: request id, and order id of an order
 * @size: length of the requested body in bytes
 * @scheduled: arrival time, or the time of sending of a direct request,
 *             monotonic in ms; latency counts from it
 * @addresses_tried: addresses to which connecting failed
 * @address: gateway that the latest attempt was sent to
 * @direct: second request of a pair, sent straight to a backend server
 * @gateway_latency: latency of the first request of the pair in ms
 */
struct request {
    struct http_call call;
    struct kind *kind;
    char *id, *path;
    uint64_t size;
    ggw_ms scheduled;
    unsigned addresses_tried, retries;
    char *address;
    bool direct;
    ggw_ms gateway_latency;
};

static struct {
    uv_loop_t loop;
    struct control control;
    struct ggw_fine_timers *timers;
    struct http_calls calls;
    GRand *rand;
    GPtrArray *kinds; /* struct kind */
    struct gateway_list *gateways;
    GHashTable *map;    /* address from the entry page to one to use instead */
    GHashTable *orders; /* order id to struct load_order_result */
    struct load_stats *direct; /* of direct requests */
    GArray *added_latency; /* double, latency in ms that the gateway adds */
    struct ggw_fine_timer arrival, entry_timer;
    struct http_call entry;
    bool entry_busy;
    unsigned entry_failures;
    ggw_ms keep_ms, start, end;
    uint64_t next_id, in_flight, violations;
    bool arrivals_ended;
} load;

static struct {
    gchar **gateways, **kinds, **maps, **direct, **counts;
    gchar *control, *team, *domain, *burst, *prefix;
    gdouble rate, keep_ms, burst_every, burst_len, burst_factor;
    gint duration_ms, timeout_ms, retries, seed;
} opt = {
    .control = "127.0.0.1:0",
    .team = "nile-strand",
    .domain = "",
    .prefix = "load_",
    .rate = 100,
    .timeout_ms = 5000,
    .seed = 1,
    .burst_factor = 1,
};

static void request_send(struct request *r);
static void entry_request(struct ggw_fine_timer *timer);

static ggw_ms
now_ms(void)
{
    return ggw_clock_now(ggw_clock_system());
}

static void
timer_start(struct ggw_fine_timer *timer, ggw_ms due, ggw_fine_timer_cb cb)
{
    ggw_fine_timer_start(load.timers, timer, due, cb);
}

/* Returns the address that --map gives for an address, or the address. */
static const char *
map_address(const char *address)
{
    const char *route = g_hash_table_lookup(load.map, address);

    return route != NULL ? route : address;
}

/* Stops using an address until the entry page next lists it. */
static void
remove_address(const char *address)
{
    gateway_list_remove(load.gateways, address);
    timer_start(&load.entry_timer, now_ms(), entry_request);
}

/* Replaces the addresses by those of an entry page, unless it has none. */
static bool
entry_parse(const GByteArray *body)
{
    ggw_ms keep = 0;
    bool ok = gateway_list_parse(load.gateways, (const char *)body->data,
                                 body->len, &keep);

    if (ok && opt.keep_ms <= 0) {
        load.keep_ms = keep;
    }
    return ok;
}

static void
entry_done(struct http_call *call)
{
    ggw_ms next_delay = 100;

    load.entry_busy = false;
    if (call->error == NULL && call->status == 200 &&
        entry_parse(call->body)) {
        next_delay = load.keep_ms > 0 ? load.keep_ms : 2000;
        load.entry_failures = 0;
    }
    else {
        load.entry_failures++;
    }
    if (!load.arrivals_ended) {
        timer_start(&load.entry_timer, now_ms() + next_delay, entry_request);
    }
}

static void
entry_request(struct ggw_fine_timer *timer)
{
    char *path;
    const char *address =
        load.entry_failures % 2 == 0
            ? gateway_list_next(load.gateways)
            : gateway_list_seed(load.gateways, load.entry_failures / 2);

    if (load.entry_busy || load.arrivals_ended) {
        return;
    }
    load.entry_busy = true;
    path = g_strdup_printf("/-/entry?team=%s&failure_domain=%s", opt.team,
                           opt.domain);
    load.entry.done = entry_done;
    http_call_start(&load.calls, &load.entry, map_address(address), "GET",
                    path, "", NULL, 1000);
    g_free(path);
}

static bool
is_order(const struct request *r)
{
    return strcmp(r->kind->method, "POST") == 0;
}

/* Returns whether the response body was made for this request. */
static bool
body_matches(const struct request *r)
{
    const GByteArray *body = r->call.body;
    char *text, *id;
    bool own;

    if (strstr(r->path, "/body/") != NULL) {
        uint64_t digest = pattern_digest(pattern_seed(r->id), r->size);

        return body->len == r->size && r->call.digest == digest &&
               XXH64(body->data, body->len, 0) == digest;
    }
    text = g_strndup((char *)body->data, body->len);
    id = g_strdup_printf(is_order(r) ? "\"order\":\"%s\"" : "\"id\":\"%s\"",
                         r->id);
    own = strstr(text, id) != NULL;
    g_free(id);
    g_free(text);
    return own;
}

static void
request_free(struct request *r)
{
    http_call_clear(&r->call);
    g_free(r->id);
    g_free(r->path);
    g_free(r->address);
    g_free(r);
    load.in_flight--;
}

/*
 * Sends the second request of a pair straight to a backend server, to measure
 * the latency that the gateway adds.
 */
static void
send_direct(struct request *r)
{
    struct request *d = g_new0(struct request, 1);
    const char *backend_path = r->path;

    for (int i = 0; backend_path != NULL && i < ROUTE_PREFIX_SLASHES; i++) {
        backend_path = strchr(backend_path + (i > 0 ? 1 : 0), '/');
    }
    d->kind = r->kind;
    d->id = g_strdup(r->id);
    d->path = g_strdup(backend_path != NULL ? backend_path : "/");
    d->size = r->size;
    d->direct = true;
    d->gateway_latency = now_ms() - r->scheduled;
    d->scheduled = now_ms();
    load.in_flight++;
    request_send(d);
}

static void
direct_done(struct request *r, bool served)
{
    double latency = now_ms() - r->scheduled, added_latency;

    if (served) {
        added_latency = r->gateway_latency - latency;
        ggw_histogram_add(&load.direct->latency, latency);
        g_array_append_val(load.added_latency, added_latency);
    }
    request_free(r);
}

/* Names a result that is neither served nor wrong, for the statistics. */
static void
format_result_name(const struct http_call *call, char *name, size_t len)
{
    if (call->error != NULL) {
        g_strlcpy(name, call->error, len);
    }
    else if (call->reason[0] != '\0') {
        g_snprintf(name, len, "refused_%s", call->reason);
    }
    else {
        g_snprintf(name, len, "status_%d", call->status);
    }
}

static bool
order_ran(const struct http_call *call)
{
    return call->error == NULL && strcmp(call->outcome, "done") == 0;
}

/* Records what the result of an attempt says about whether the order ran. */
static void
order_record_result(struct request *r)
{
    struct load_order_result *o = g_hash_table_lookup(load.orders, r->id);
    const struct http_call *call = &r->call;

    if (o == NULL) {
        o = g_new0(struct load_order_result, 1);
        g_hash_table_insert(load.orders, g_strdup(r->id), o);
    }
    if (order_ran(call)) {
        o->served = o->served || call->status == 200 || call->status == 409;
    }
    else if (call->sent && strcmp(call->outcome, "not-run") != 0) {
        o->may_have_run = true;
    }
}

/*
 * Returns whether to retry: an order is resent through another gateway
 * until a response confirms that it ran, at most --retries times.
 */
static bool
should_retry(const struct request *r)
{
    return is_order(r) && !order_ran(&r->call) &&
           r->retries < (unsigned)opt.retries;
}

static void
request_finish(struct request *r)
{
    struct load_stats *s = r->kind->stats;
    char name[64];

    load_stats_count_outcome(s, r->call.outcome);
    if (r->call.error == NULL && r->call.status == 200) {
        if (body_matches(r)) {
            s->served++;
            ggw_histogram_add(&s->latency, now_ms() - r->scheduled);
            if (opt.direct != NULL) {
                send_direct(r);
            }
        }
        else {
            s->wrong++;
            load.violations++;
        }
    }
    else {
        format_result_name(&r->call, name, sizeof(name));
        load_stats_count_result(s, name);
    }
    request_free(r);
}

static void
request_done(struct http_call *call)
{
    struct request *r = call->data;

    if (r->direct) {
        direct_done(r, call->error == NULL && call->status == 200);
        return;
    }
    if (call->error != NULL && !call->sent &&
        strcmp(call->error, "no-connection") == 0) {
        remove_address(r->address);
        if (++r->addresses_tried < MAX_ADDRESSES_TRIED) {
            request_send(r);
            return;
        }
    }
    if (is_order(r)) {
        order_record_result(r);
    }
    if (should_retry(r)) {
        r->retries++;
        r->kind->stats->retried++;
        request_send(r);
        return;
    }
    request_finish(r);
}

static void
request_send(struct request *r)
{
    const char *address;
    char *headers;

    if (r->direct) {
        address =
            opt.direct[g_rand_int(load.rand) % g_strv_length(opt.direct)];
    }
    else {
        g_free(r->address);
        r->address = g_strdup(gateway_list_next(load.gateways));
        address = map_address(r->address);
    }
    headers = g_strdup_printf(
        "X-Request-Id: %s\r\n%s%s%s", r->id, is_order(r) ? "X-Order-Id: " : "",
        is_order(r) ? r->id : "", is_order(r) ? "\r\n" : "");
    r->call.data = r;
    r->call.done = request_done;
    http_call_start(&load.calls, &r->call, address, r->kind->method, r->path,
                    headers, is_order(r) ? "{\"confirm\":true}" : NULL,
                    opt.timeout_ms);
    g_free(headers);
}

/* Returns the path of a kind with {id} and {size} replaced, to be freed. */
static char *
expand_path(const struct kind *k, const char *id, uint64_t size)
{
    GString *path = g_string_new(k->path);
    char number[32];

    g_snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT, size);
    g_string_replace(path, "{id}", id, 0);
    g_string_replace(path, "{size}", number, 0);
    return g_string_free(path, FALSE);
}

static void
request_new(struct kind *k, ggw_ms scheduled)
{
    struct request *r = g_new0(struct request, 1);

    r->kind = k;
    r->scheduled = scheduled;
    r->id = g_strdup_printf("%s-%d-%" G_GUINT64_FORMAT, k->name, opt.seed,
                            load.next_id++);
    r->size = k->max_size == 0 ? 0
                               : (uint64_t)g_rand_double_range(
                                     load.rand, 0, (double)k->max_size + 1);
    r->path = expand_path(k, r->id, r->size);
    k->stats->sent++;
    load.in_flight++;
    request_send(r);
}

/* Returns the number of the burst at a time, or -1 between bursts. */
static int
burst_number(ggw_ms at)
{
    ggw_ms t = at - load.start;

    if (opt.burst_every <= 0 || fmod(t, opt.burst_every) >= opt.burst_len) {
        return -1;
    }
    return (int)(t / opt.burst_every);
}

/*
 * Chooses a kind at random by weight. A burst consists of one kind only, so
 * that the load shifts between services.
 */
static struct kind *
pick_kind(int burst)
{
    double sum = 0, at;

    if (burst >= 0) {
        return g_ptr_array_index(load.kinds, (guint)burst % load.kinds->len);
    }
    for (guint i = 0; i < load.kinds->len; i++) {
        sum += ((struct kind *)g_ptr_array_index(load.kinds, i))->weight;
    }
    at = g_rand_double_range(load.rand, 0, sum);
    for (guint i = 0; i + 1 < load.kinds->len; i++) {
        struct kind *k = g_ptr_array_index(load.kinds, i);

        if (at < k->weight) {
            return k;
        }
        at -= k->weight;
    }
    return g_ptr_array_index(load.kinds, load.kinds->len - 1);
}

static void
arrival_cb(struct ggw_fine_timer *timer)
{
    ggw_ms scheduled = timer->due;
    int burst = burst_number(scheduled);
    double rate = opt.rate * (burst >= 0 ? opt.burst_factor : 1);

    if (load.arrivals_ended ||
        (opt.duration_ms > 0 && scheduled >= load.end)) {
        load.arrivals_ended = true;
        return;
    }
    timer_start(&load.arrival,
                scheduled - log(1 - g_rand_double(load.rand)) * 1e3 / rate,
                arrival_cb);
    request_new(pick_kind(burst), scheduled);
}

static void
signal_cb(uv_signal_t *handle, int number)
{
    load.arrivals_ended = true;
    ggw_fine_timer_stop(load.timers, &load.arrival);
}

static json_t *
control_get(const char *path)
{
    json_t *response;

    if (strcmp(path, "/-/counts") != 0) {
        return NULL;
    }
    response = json_object();
    for (guint i = 0; i < load.kinds->len; i++) {
        struct kind *k = g_ptr_array_index(load.kinds, i);

        json_object_set_new(response, k->name, load_stats_json(k->stats));
    }
    return response;
}

static const char *
control_set_rate(json_t *object)
{
    double rate = json_number_value(json_object_get(object, "rate"));

    if (rate <= 0) {
        return "only \"rate\", above 0, can be set";
    }
    opt.rate = rate;
    return NULL;
}

/* Adds a kind from "NAME,WEIGHT,METHOD,PATH[,MAX_SIZE]". */
static bool
kind_add(const char *spec)
{
    gchar **f = g_strsplit(spec, ",", -1);
    struct kind *k;

    if (g_strv_length(f) < 4) {
        g_strfreev(f);
        return false;
    }
    k = g_new0(struct kind, 1);
    k->name = g_strdup(f[0]);
    k->weight = g_ascii_strtod(f[1], NULL);
    k->method = g_strdup(f[2]);
    k->path = g_strdup(f[3]);
    k->max_size = f[4] != NULL ? g_ascii_strtoull(f[4], NULL, 10) : 0;
    k->stats = load_stats_new();
    g_ptr_array_add(load.kinds, k);
    g_strfreev(f);
    return true;
}

static const GOptionEntry option_entries[] = {
    {"gateway", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.gateways,
     "gateway whose entry page lists the addresses, repeatable", "IP:PORT"},
    {"team", 0, 0, G_OPTION_ARG_STRING, &opt.team, "team of the clients",
     "TEAM"},
    {"failure-domain", 0, 0, G_OPTION_ARG_STRING, &opt.domain,
     "failure domain of the clients", "DOMAIN"},
    {"kind", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.kinds,
     "kind of request, repeatable; PATH may contain {id} and {size}",
     "NAME,WEIGHT,METHOD,PATH[,MAX_SIZE]"},
    {"rate", 0, 0, G_OPTION_ARG_DOUBLE, &opt.rate, "mean arrivals per second",
     "N"},
    {"duration-ms", 0, 0, G_OPTION_ARG_INT, &opt.duration_ms,
     "duration of the arrivals; 0: until SIGTERM or SIGINT", "MS"},
    {"timeout-ms", 0, 0, G_OPTION_ARG_INT, &opt.timeout_ms,
     "timeout of each attempt", "MS"},
    {"retries", 0, 0, G_OPTION_ARG_INT, &opt.retries,
     "maximum retries of an order, through other gateways", "N"},
    {"keep-ms", 0, 0, G_OPTION_ARG_DOUBLE, &opt.keep_ms,
     "time between requests of the entry page, in place of its keep_ms", "MS"},
    {"burst", 0, 0, G_OPTION_ARG_STRING, &opt.burst,
     "every EVERY ms, for LEN ms, multiply the rate by FACTOR and send one"
     " kind only",
     "EVERY,LEN,FACTOR"},
    {"map", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.maps,
     "connect to the second address in place of the first, repeatable",
     "IP:PORT=IP:PORT"},
    {"direct", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.direct,
     "backend server, repeatable; each served request is repeated there"
     " directly, to measure the added latency",
     "IP:PORT"},
    {"counts", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.counts,
     "control page of a backend stand-in, repeatable; orders are checked"
     " against its counts",
     "IP:PORT"},
    {"control", 0, 0, G_OPTION_ARG_STRING, &opt.control,
     "address of the control page", "IP:PORT"},
    {"prefix", 0, 0, G_OPTION_ARG_STRING, &opt.prefix,
     "prefix of the names of printed figures", "TEXT"},
    {"seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "random seed", "N"},
    {NULL},
};

static const char *
check_flags(void)
{
    if (opt.gateways == NULL || opt.kinds == NULL) {
        return "--gateway and --kind are required";
    }
    if (opt.rate <= 0) {
        return "--rate must be above 0";
    }
    for (guint i = 0; opt.kinds[i] != NULL; i++) {
        if (!kind_add(opt.kinds[i])) {
            return "--kind must be NAME,WEIGHT,METHOD,PATH[,MAX_SIZE]";
        }
    }
    for (guint i = 0; opt.maps != NULL && opt.maps[i] != NULL; i++) {
        char *eq = strchr(opt.maps[i], '=');

        if (eq == NULL) {
            return "--map must be IP:PORT=IP:PORT";
        }
        *eq = '\0';
        g_hash_table_insert(load.map, opt.maps[i], eq + 1);
    }
    if (opt.burst != NULL && sscanf(opt.burst, "%lf,%lf,%lf", &opt.burst_every,
                                    &opt.burst_len, &opt.burst_factor) != 3) {
        return "--burst must be EVERY,LEN,FACTOR";
    }
    return NULL;
}

static bool
parse_flags(int *argc, char ***argv)
{
    GOptionContext *context = g_option_context_new(NULL);
    GError *error = NULL;
    const char *problem;

    g_option_context_add_main_entries(context, option_entries, NULL);
    problem = g_option_context_parse(context, argc, argv, &error)
                  ? check_flags()
                  : error->message;
    g_option_context_free(context);
    if (problem != NULL) {
        fprintf(stderr, "load: %s\n", problem);
    }
    g_clear_error(&error);
    return problem == NULL;
}

static gint
compare_doubles(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a, y = *(const double *)b;

    return x < y ? -1 : x > y;
}

/* Prints the latency of direct requests and the latency gateways add. */
static void
print_added_latency(void)
{
    guint n = load.added_latency->len;

    if (n == 0) {
        return;
    }
    g_array_sort(load.added_latency, compare_doubles);
    load_print_figure(opt.prefix, "direct", "p50",
                      ggw_histogram_quantile(&load.direct->latency, 0.5),
                      "ms");
    load_print_figure(opt.prefix, "direct", "p99",
                      ggw_histogram_quantile(&load.direct->latency, 0.99),
                      "ms");
    load_print_figure(opt.prefix, "added", "pairs", n, "pairs");
    load_print_figure(opt.prefix, "added", "p50",
                      g_array_index(load.added_latency, double, n / 2), "ms");
    load_print_figure(
        opt.prefix, "added", "p99",
        g_array_index(load.added_latency, double, (guint)(n * 0.99)), "ms");
}

static void
counts_done(struct http_call *call)
{
    if (call->error != NULL) {
        fprintf(stderr,
                "load: cannot read the counts of a backend stand-in: %s\n",
                call->error);
        load.violations++;
        return;
    }
    load_runs_add(call->data, (char *)call->body->data, call->body->len);
}

/* Checks all orders against the counts of the backend stand-ins. */
static void
check_orders(void)
{
    GHashTable *runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

    for (guint i = 0; opt.counts != NULL && opt.counts[i] != NULL; i++) {
        struct http_call call = {.done = counts_done, .data = runs};

        http_call_start(&load.calls, &call, opt.counts[i], "GET", "/-/counts",
                        "", NULL, 10000);
        while (call.request != NULL) {
            uv_run(&load.loop, UV_RUN_ONCE);
        }
        http_call_clear(&call);
    }
    if (opt.counts != NULL) {
        load.violations +=
            (uint64_t)load_orders_check(load.orders, runs, opt.prefix);
    }
    g_hash_table_unref(runs);
}

static void
init_load(void)
{
    uv_loop_init(&load.loop);
    load.timers = ggw_fine_timers_new(&load.loop);
    http_calls_init(&load.calls, &load.loop, load.timers);
    load.rand = g_rand_new_with_seed((guint32)opt.seed);
    load.kinds = g_ptr_array_new();
    load.map = g_hash_table_new(g_str_hash, g_str_equal);
    load.orders =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    load.direct = load_stats_new();
    load.added_latency = g_array_new(FALSE, FALSE, sizeof(double));
    load.control.get = control_get;
    load.control.set = control_set_rate;
}

/* Runs until the arrivals stop and every request has a result. */
static void
run(void)
{
    static uv_signal_t term, intr;

    signal(SIGPIPE, SIG_IGN);
    uv_signal_init(&load.loop, &term);
    uv_signal_init(&load.loop, &intr);
    uv_signal_start(&term, signal_cb, SIGTERM);
    uv_signal_start(&intr, signal_cb, SIGINT);
    entry_request(&load.entry_timer);
    while (gateway_list_len(load.gateways) == 0 && !load.arrivals_ended) {
        uv_run(&load.loop, UV_RUN_ONCE);
    }
    puts("ready");
    fflush(stdout);
    load.start = now_ms();
    load.end = load.start + opt.duration_ms;
    timer_start(&load.arrival, load.start, arrival_cb);
    while (!load.arrivals_ended || load.in_flight > 0) {
        uv_run(&load.loop, UV_RUN_ONCE);
    }
}

int
main(int argc, char **argv)
{
    init_load();
    if (!parse_flags(&argc, &argv)) {
        return 2;
    }
    g_rand_set_seed(load.rand, (guint32)opt.seed);
    load.gateways = gateway_list_new(opt.gateways, opt.domain);
    if (!control_start(&load.control, &load.loop, opt.control)) {
        return 1;
    }
    run();
    for (guint i = 0; i < load.kinds->len; i++) {
        struct kind *k = g_ptr_array_index(load.kinds, i);

        load_stats_print(k->stats, opt.prefix, k->name);
    }
    print_added_latency();
    check_orders();
    return load.violations == 0 ? 0 : 1;
}
