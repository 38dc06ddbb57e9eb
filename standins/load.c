/*
 * Stand-in for clients: open-loop arrivals of several kinds of requests to
 * the gateways that the entry page names, with checks of every body.
 */
#include <glib.h>
#include <math.h>

#include "common/fine_timer.h"
#include "standins/control.h"
#include "standins/http_call.h"
#include "standins/load_stats.h"
#include "standins/pattern.h"

/* A request that found no connection was not sent; it tries other addresses
 * as long as there may be a live one. */
#define MAX_ADDRESSES_TRIED 6

/* Tells a route of a team and service from the path that a backend server
 * sees: the rest begins at the third "/". */
#define SLASHES_BEFORE_REST 3

struct kind {
    char *name, *method, *path;
    double weight;
    uint64_t max_size;
    struct load_stats *stats;
};

struct request {
    struct http_call call;
    struct kind *kind;
    char *id, *path;
    uint64_t size;
    ggw_ms scheduled;
    unsigned addresses_tried, retries;
    char *address;
    bool direct; /* the second of a pair, straight to a backend server */
    ggw_ms gateway_latency;
};

static struct {
    uv_loop_t loop;
    struct control control;
    struct ggw_fine_timers *timers;
    struct http_calls calls;
    GRand *rand;
    GPtrArray *kinds;     /* struct kind */
    GPtrArray *addresses; /* char *, the own failure domain first */
    guint near_len;       /* how many of them are in the own domain */
    guint next_address;
    GHashTable *map; /* address to the address that a route listens on */
    GHashTable *orders;
    struct load_stats *direct;
    GArray *added; /* double, ms */
    struct ggw_fine_timer arrival, entry_timer;
    struct http_call entry;
    bool entry_busy;
    unsigned entry_fails;
    ggw_ms keep_ms, start, end;
    uint64_t next_id, in_flight, bad;
    bool ended;
} world;

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
static void entry_ask(struct ggw_fine_timer *timer);

static ggw_ms
now_ms(void)
{
    return ggw_clock_now(ggw_clock_system());
}

static void
timer_start(struct ggw_fine_timer *timer, ggw_ms due, ggw_fine_timer_cb cb)
{
    ggw_fine_timer_start(world.timers, timer, due, cb);
}

/* Clients use the addresses of their own failure domain while there are any,
 * in turn. */
static const char *
next_address(void)
{
    guint n = world.near_len > 0 ? world.near_len : world.addresses->len;
    const char *address;

    if (n == 0) {
        return opt
            .gateways[world.next_address++ % g_strv_length(opt.gateways)];
    }
    address = g_ptr_array_index(world.addresses, world.next_address++ % n);
    return address;
}

static const char *
mapped(const char *address)
{
    const char *route = g_hash_table_lookup(world.map, address);

    return route != NULL ? route : address;
}

/* Stops using an address until the entry page names it again. */
static void
forget_address(const char *address)
{
    for (guint i = 0; i < world.addresses->len; i++) {
        if (strcmp(g_ptr_array_index(world.addresses, i), address) == 0) {
            g_ptr_array_remove_index(world.addresses, i);
            world.near_len -= i < world.near_len ? 1 : 0;
            break;
        }
    }
    timer_start(&world.entry_timer, now_ms(), entry_ask);
}

static void
add_address(const json_t *item)
{
    const char *address = json_string_value(item), *domain = NULL;

    if (json_is_object(item)) {
        address = json_string_value(json_object_get(item, "address"));
        domain = json_string_value(json_object_get(item, "failure_domain"));
    }
    if (address == NULL) {
        return;
    }
    if (domain != NULL && strcmp(domain, opt.domain) == 0) {
        g_ptr_array_insert(world.addresses, (gint)world.near_len++,
                           g_strdup(address));
        return;
    }
    g_ptr_array_add(world.addresses, g_strdup(address));
}

static bool
entry_parse(const GByteArray *body)
{
    json_t *answer = json_loadb((char *)body->data, body->len, 0, NULL);
    json_t *list = json_object_get(answer, "gateways");
    size_t i;
    json_t *item;
    bool ok = json_array_size(list) > 0;

    if (ok) {
        g_ptr_array_set_size(world.addresses, 0);
        world.near_len = 0;
        json_array_foreach(list, i, item)
        {
            add_address(item);
        }
        if (opt.keep_ms <= 0) {
            world.keep_ms =
                json_number_value(json_object_get(answer, "keep_ms"));
        }
    }
    json_decref(answer);
    return ok;
}

static void
entry_done(struct http_call *call)
{
    ggw_ms again = 100;

    world.entry_busy = false;
    if (call->error == NULL && call->status == 200 &&
        entry_parse(call->body)) {
        again = world.keep_ms > 0 ? world.keep_ms : 2000;
        world.entry_fails = 0;
    }
    else {
        world.entry_fails++;
    }
    if (!world.ended) {
        timer_start(&world.entry_timer, now_ms() + again, entry_ask);
    }
}

static void
entry_ask(struct ggw_fine_timer *timer)
{
    char *path;
    const char *address = world.entry_fails % 2 == 0
                              ? next_address()
                              : opt.gateways[world.entry_fails / 2 %
                                             g_strv_length(opt.gateways)];

    if (world.entry_busy || world.ended) {
        return;
    }
    world.entry_busy = true;
    path = g_strdup_printf("/-/entry?team=%s&failure_domain=%s", opt.team,
                           opt.domain);
    world.entry.done = entry_done;
    http_call_start(&world.calls, &world.entry, mapped(address), "GET", path,
                    "", NULL, 1000);
    g_free(path);
}

static bool
is_order(const struct request *r)
{
    return strcmp(r->kind->method, "POST") == 0;
}

/* Whether the body belongs to this request and no other. */
static bool
body_is_own(const struct request *r)
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
    world.in_flight--;
}

/* Sends the second request of a pair straight to a backend server. */
static void
send_direct(struct request *r)
{
    struct request *d = g_new0(struct request, 1);
    const char *rest = r->path;

    for (int i = 0; i < SLASHES_BEFORE_REST; i++) {
        rest = strchr(rest + (i > 0 ? 1 : 0), '/');
    }
    d->kind = r->kind;
    d->id = g_strdup(r->id);
    d->path = g_strdup(rest);
    d->size = r->size;
    d->direct = true;
    d->gateway_latency = now_ms() - r->scheduled;
    d->scheduled = now_ms();
    world.in_flight++;
    request_send(d);
}

static void
direct_done(struct request *r, bool served)
{
    double latency = now_ms() - r->scheduled, added;

    if (served) {
        added = r->gateway_latency - latency;
        ggw_histogram_add(&world.direct->latency, latency);
        g_array_append_val(world.added, added);
    }
    request_free(r);
}

/* Name of a result that is neither served nor wrong. */
static void
result_name(const struct http_call *call, char *name, size_t len)
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

static void
order_learn(struct request *r)
{
    struct load_order *o = g_hash_table_lookup(world.orders, r->id);
    const struct http_call *call = &r->call;

    if (o == NULL) {
        o = g_new0(struct load_order, 1);
        g_hash_table_insert(world.orders, g_strdup(r->id), o);
    }
    if (order_ran(call)) {
        o->served = o->served || call->status == 200 || call->status == 409;
    }
    else if (call->sent && strcmp(call->outcome, "not-run") != 0) {
        o->maybe = true;
    }
}

/* An order is tried again through another gateway until it has run. */
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

    load_stats_outcome(s, r->call.outcome);
    if (r->call.error == NULL && r->call.status == 200) {
        if (body_is_own(r)) {
            s->served++;
            ggw_histogram_add(&s->latency, now_ms() - r->scheduled);
            if (opt.direct != NULL) {
                send_direct(r);
            }
        }
        else {
            s->wrong++;
            world.bad++;
        }
    }
    else {
        result_name(&r->call, name, sizeof(name));
        load_stats_result(s, name);
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
        forget_address(r->address);
        if (++r->addresses_tried < MAX_ADDRESSES_TRIED) {
            request_send(r);
            return;
        }
    }
    if (is_order(r)) {
        order_learn(r);
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
            opt.direct[g_rand_int(world.rand) % g_strv_length(opt.direct)];
    }
    else {
        g_free(r->address);
        r->address = g_strdup(next_address());
        address = mapped(r->address);
    }
    headers = g_strdup_printf(
        "X-Request-Id: %s\r\n%s%s%s", r->id, is_order(r) ? "X-Order-Id: " : "",
        is_order(r) ? r->id : "", is_order(r) ? "\r\n" : "");
    r->call.data = r;
    r->call.done = request_done;
    http_call_start(&world.calls, &r->call, address, r->kind->method, r->path,
                    headers, is_order(r) ? "{\"confirm\":true}" : NULL,
                    opt.timeout_ms);
    g_free(headers);
}

/* Replaces {id} and {size} in the path of a kind. */
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
                            world.next_id++);
    r->size = k->max_size == 0 ? 0
                               : (uint64_t)g_rand_double_range(
                                     world.rand, 0, (double)k->max_size + 1);
    r->path = expand_path(k, r->id, r->size);
    k->stats->sent++;
    world.in_flight++;
    request_send(r);
}

/* Number of the current burst, or -1 between bursts. */
static int
burst_number(ggw_ms at)
{
    ggw_ms t = at - world.start;

    if (opt.burst_every <= 0 || fmod(t, opt.burst_every) >= opt.burst_len) {
        return -1;
    }
    return (int)(t / opt.burst_every);
}

/* Each burst is of one kind only, so the load shifts between services. */
static struct kind *
pick_kind(int burst)
{
    double sum = 0, at;

    if (burst >= 0) {
        return g_ptr_array_index(world.kinds, (guint)burst % world.kinds->len);
    }
    for (guint i = 0; i < world.kinds->len; i++) {
        sum += ((struct kind *)g_ptr_array_index(world.kinds, i))->weight;
    }
    at = g_rand_double_range(world.rand, 0, sum);
    for (guint i = 0; i + 1 < world.kinds->len; i++) {
        struct kind *k = g_ptr_array_index(world.kinds, i);

        if (at < k->weight) {
            return k;
        }
        at -= k->weight;
    }
    return g_ptr_array_index(world.kinds, world.kinds->len - 1);
}

static void
arrival_cb(struct ggw_fine_timer *timer)
{
    ggw_ms scheduled = timer->due;
    int burst = burst_number(scheduled);
    double rate = opt.rate * (burst >= 0 ? opt.burst_factor : 1);

    if (world.ended || (opt.duration_ms > 0 && scheduled >= world.end)) {
        world.ended = true;
        return;
    }
    timer_start(&world.arrival,
                scheduled - log(1 - g_rand_double(world.rand)) * 1e3 / rate,
                arrival_cb);
    request_new(pick_kind(burst), scheduled);
}

static void
signal_cb(uv_signal_t *handle, int number)
{
    world.ended = true;
    ggw_fine_timer_stop(world.timers, &world.arrival);
}

static json_t *
control_get(const char *path)
{
    json_t *answer;

    if (strcmp(path, "/-/counts") != 0) {
        return NULL;
    }
    answer = json_object();
    for (guint i = 0; i < world.kinds->len; i++) {
        struct kind *k = g_ptr_array_index(world.kinds, i);

        json_object_set_new(answer, k->name, load_stats_json(k->stats));
    }
    return answer;
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

/* "NAME,WEIGHT,METHOD,PATH[,MAX_SIZE]" */
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
    g_ptr_array_add(world.kinds, k);
    g_strfreev(f);
    return true;
}

static const GOptionEntry entries[] = {
    {"gateway", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.gateways,
     "where to ask for addresses, repeated", "IP:PORT"},
    {"team", 0, 0, G_OPTION_ARG_STRING, &opt.team, "team", "TEAM"},
    {"failure-domain", 0, 0, G_OPTION_ARG_STRING, &opt.domain,
     "failure domain of the clients", "DOMAIN"},
    {"kind", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.kinds,
     "kind of request, repeated; PATH may hold {id} and {size}",
     "NAME,WEIGHT,METHOD,PATH[,MAX_SIZE]"},
    {"rate", 0, 0, G_OPTION_ARG_DOUBLE, &opt.rate, "requests per second", "N"},
    {"duration-ms", 0, 0, G_OPTION_ARG_INT, &opt.duration_ms,
     "time of arrivals; 0 until SIGTERM", "MS"},
    {"timeout-ms", 0, 0, G_OPTION_ARG_INT, &opt.timeout_ms,
     "longest wait for one response", "MS"},
    {"retries", 0, 0, G_OPTION_ARG_INT, &opt.retries,
     "most tries of an order again, through other gateways", "N"},
    {"keep-ms", 0, 0, G_OPTION_ARG_DOUBLE, &opt.keep_ms,
     "keep time of addresses, in place of the entry page's", "MS"},
    {"burst", 0, 0, G_OPTION_ARG_STRING, &opt.burst,
     "every EVERY ms, for LEN ms, the rate times FACTOR and one kind only",
     "EVERY,LEN,FACTOR"},
    {"map", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.maps,
     "use another address in place of a gateway's, repeated",
     "IP:PORT=IP:PORT"},
    {"direct", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.direct,
     "backend server; pairs each served request with a direct one", "IP:PORT"},
    {"counts", 0, 0, G_OPTION_ARG_STRING_ARRAY, &opt.counts,
     "control page of backend servers; orders are checked against it",
     "IP:PORT"},
    {"control", 0, 0, G_OPTION_ARG_STRING, &opt.control, "control page",
     "IP:PORT"},
    {"prefix", 0, 0, G_OPTION_ARG_STRING, &opt.prefix, "prefix of the figures",
     "TEXT"},
    {"seed", 0, 0, G_OPTION_ARG_INT, &opt.seed, "random seed", "N"},
    {NULL},
};

static const char *
check_flags(void)
{
    if (opt.gateways == NULL || opt.kinds == NULL) {
        return "--gateway and --kind are needed";
    }
    if (opt.rate <= 0) {
        return "--rate is not above 0";
    }
    for (guint i = 0; opt.kinds[i] != NULL; i++) {
        if (!kind_add(opt.kinds[i])) {
            return "a kind is NAME,WEIGHT,METHOD,PATH[,MAX_SIZE]";
        }
    }
    for (guint i = 0; opt.maps != NULL && opt.maps[i] != NULL; i++) {
        char *eq = strchr(opt.maps[i], '=');

        if (eq == NULL) {
            return "--map needs IP:PORT=IP:PORT";
        }
        *eq = '\0';
        g_hash_table_insert(world.map, opt.maps[i], eq + 1);
    }
    if (opt.burst != NULL && sscanf(opt.burst, "%lf,%lf,%lf", &opt.burst_every,
                                    &opt.burst_len, &opt.burst_factor) != 3) {
        return "--burst needs three numbers";
    }
    return NULL;
}

static bool
parse_flags(int *argc, char ***argv)
{
    GOptionContext *context = g_option_context_new(NULL);
    GError *error = NULL;
    const char *wrong;

    g_option_context_add_main_entries(context, entries, NULL);
    wrong = g_option_context_parse(context, argc, argv, &error)
                ? check_flags()
                : error->message;
    g_option_context_free(context);
    if (wrong != NULL) {
        fprintf(stderr, "load: %s\n", wrong);
    }
    g_clear_error(&error);
    return wrong == NULL;
}

static gint
compare_doubles(gconstpointer a, gconstpointer b)
{
    double x = *(const double *)a, y = *(const double *)b;

    return x < y ? -1 : x > y;
}

static void
print_added(void)
{
    guint n = world.added->len;

    if (n == 0) {
        return;
    }
    g_array_sort(world.added, compare_doubles);
    load_line(opt.prefix, "direct", "p50",
              ggw_histogram_quantile(&world.direct->latency, 0.5), "ms");
    load_line(opt.prefix, "direct", "p99",
              ggw_histogram_quantile(&world.direct->latency, 0.99), "ms");
    load_line(opt.prefix, "added", "pairs", n, "pairs");
    load_line(opt.prefix, "added", "p50",
              g_array_index(world.added, double, n / 2), "ms");
    load_line(opt.prefix, "added", "p99",
              g_array_index(world.added, double, (guint)(n * 0.99)), "ms");
}

static void
counts_done(struct http_call *call)
{
    if (call->error != NULL) {
        fprintf(stderr, "load: no counts of backend servers: %s\n",
                call->error);
        world.bad++;
        return;
    }
    load_runs_add(call->data, (char *)call->body->data, call->body->len);
}

static void
check_orders(void)
{
    GHashTable *runs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

    for (guint i = 0; opt.counts != NULL && opt.counts[i] != NULL; i++) {
        struct http_call call = {.done = counts_done, .data = runs};

        http_call_start(&world.calls, &call, opt.counts[i], "GET", "/-/counts",
                        "", NULL, 10000);
        while (call.request != NULL) {
            uv_run(&world.loop, UV_RUN_ONCE);
        }
        http_call_clear(&call);
    }
    if (opt.counts != NULL) {
        world.bad +=
            (uint64_t)load_orders_check(world.orders, runs, opt.prefix);
    }
    g_hash_table_unref(runs);
}

static void
init_world(void)
{
    uv_loop_init(&world.loop);
    world.timers = ggw_fine_timers_new(&world.loop);
    http_calls_init(&world.calls, &world.loop, world.timers);
    world.rand = g_rand_new_with_seed((guint32)opt.seed);
    world.kinds = g_ptr_array_new();
    world.addresses = g_ptr_array_new_with_free_func(g_free);
    world.map = g_hash_table_new(g_str_hash, g_str_equal);
    world.orders =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    world.direct = load_stats_new();
    world.added = g_array_new(FALSE, FALSE, sizeof(double));
    world.control.get = control_get;
    world.control.set = control_set_rate;
}

static void
run(void)
{
    static uv_signal_t term, intr;

    signal(SIGPIPE, SIG_IGN);
    uv_signal_init(&world.loop, &term);
    uv_signal_init(&world.loop, &intr);
    uv_signal_start(&term, signal_cb, SIGTERM);
    uv_signal_start(&intr, signal_cb, SIGINT);
    entry_ask(&world.entry_timer);
    while (world.addresses->len == 0 && !world.ended) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
    puts("ready");
    fflush(stdout);
    world.start = now_ms();
    world.end = world.start + opt.duration_ms;
    timer_start(&world.arrival, world.start, arrival_cb);
    while (!world.ended || world.in_flight > 0) {
        uv_run(&world.loop, UV_RUN_ONCE);
    }
}

int
main(int argc, char **argv)
{
    init_world();
    if (!parse_flags(&argc, &argv)) {
        return 2;
    }
    g_rand_set_seed(world.rand, (guint32)opt.seed);
    if (!control_start(&world.control, &world.loop, opt.control)) {
        return 1;
    }
    run();
    for (guint i = 0; i < world.kinds->len; i++) {
        struct kind *k = g_ptr_array_index(world.kinds, i);

        load_stats_print(k->stats, opt.prefix, k->name);
    }
    print_added();
    check_orders();
    return world.bad == 0 ? 0 : 1;
}
