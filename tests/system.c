#include "tests/system.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "config/row.h"
#include "platform/txn.h"

/* Longest time in ms for a gateway to become ready, long enough for a
 * sanitizer build on a busy machine. */
#define START_LIMIT_MS 20000

static const char *const cairo_domains[] = {"cairo-a", "cairo-b", "cairo-c",
                                            NULL};
static const char *const cairo_services[] = {"strand-status", "repair-orders",
                                             "archive", NULL};

const struct system_options system_cairo = {
    .team = "nile-strand",
    .settings = "examples/cairo/nile-strand.json",
    .domains = cairo_domains,
    .services = cairo_services,
    .servers = 6,
};

static char *
build_path(const char *program)
{
    const char *build = g_getenv("GGW_BUILD");

    return g_strdup_printf("%s/%s", build != NULL ? build : "build/asan",
                           program);
}

static void
add_args(GPtrArray *argv, const char *const *args)
{
    for (int i = 0; args != NULL && args[i] != NULL; i++) {
        g_ptr_array_add(argv, g_strdup(args[i]));
    }
}

static void
add_flag(GPtrArray *argv, const char *flag, const char *value)
{
    g_ptr_array_add(argv, g_strdup(flag));
    g_ptr_array_add(argv, g_strdup(value));
}

static GPtrArray *
argv_new(const char *program)
{
    GPtrArray *argv = g_ptr_array_new_with_free_func(g_free);

    g_ptr_array_add(argv, build_path(program));
    return argv;
}

/* Runs in a child before exec: the kernel kills it when the test process
 * terminates, also when that crashes. */
static void
kill_with_parent(void *data)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

/* Runs in a child before exec: sends its standard error to its standard
 * output. */
static void
set_up_verb_process(void *data)
{
    kill_with_parent(data);
    dup2(STDOUT_FILENO, STDERR_FILENO);
}

/* Starts a process, with @setup called in the child before exec; takes
 * ownership of @argv. */
static void
process_start(struct system_process *p, GPtrArray *argv,
              GSpawnChildSetupFunc setup)
{
    GError *error = NULL;

    g_ptr_array_add(argv, NULL);
    if (!g_spawn_async_with_pipes(NULL, (char **)argv->pdata, NULL,
                                  G_SPAWN_DO_NOT_REAP_CHILD, setup, NULL,
                                  &p->pid, NULL, &p->out, NULL, &error)) {
        g_error("%s", error->message);
    }
    p->running = true;
    g_ptr_array_unref(argv);
}

static int
process_wait(struct system_process *p)
{
    int status = 0;

    waitpid(p->pid, &status, 0);
    close(p->out);
    p->running = false;
    return status;
}

/* Sends a signal to a running process and waits until it has terminated; false
 * when it had already terminated by itself. */
static bool
process_stop(struct system_process *p, int signum)
{
    int status;

    if (!p->running) {
        return true;
    }
    if (waitpid(p->pid, &status, WNOHANG) != 0) {
        fprintf(stderr, "process %d terminated early, status %#x\n", p->pid,
                status);
        return false;
    }
    kill(p->pid, signum);
    process_wait(p);
    return true;
}

/* Reads a line of a process's standard output, without the newline; false at
 * the end of the output. */
static bool
read_line(struct system_process *p, GString *line)
{
    char c;

    g_string_truncate(line, 0);
    while (read(p->out, &c, 1) == 1) {
        if (c == '\n') {
            return true;
        }
        g_string_append_c(line, c);
    }
    return false;
}

double
system_wall_ms(void)
{
    return (double)g_get_real_time() / 1e3;
}

static struct system_server *
find_server(struct system *s, const char *name)
{
    for (guint i = 0; i < s->servers->len; i++) {
        struct system_server *server = g_ptr_array_index(s->servers, i);

        if (strcmp(server->name, name) == 0) {
            return server;
        }
    }
    return NULL;
}

/* Adds a service's backend servers, with flags for the process that runs
 * them. */
static void
add_servers(struct system *s, const char *service, GPtrArray *argv)
{
    guint domains_len = g_strv_length((char **)s->options.domains);

    for (int i = 0; i < s->options.servers; i++) {
        struct system_server *server = g_new0(struct system_server, 1);

        server->name = g_strdup_printf("%s-%d", service, i);
        server->service = service;
        server->domain = s->options.domains[(guint)i % domains_len];
        g_ptr_array_add(s->servers, server);
        add_flag(argv, "--server", server->name);
    }
}

/* Starts the process of a service's backend servers and reads their addresses
 * from its output. */
static void
start_backend(struct system *s, const char *service)
{
    struct system_backend *b = g_new0(struct system_backend, 1);
    GPtrArray *argv = argv_new("standins/backend");
    GString *line = g_string_new(NULL);

    b->service = service;
    g_ptr_array_add(s->backends, b);
    add_servers(s, service, argv);
    add_args(argv, s->options.backend_flags);
    process_start(&b->process, argv, kill_with_parent);
    while (strcmp(line->str, "ready") != 0) {
        g_auto(GStrv) words = NULL;

        if (!read_line(&b->process, line)) {
            g_error("backend process of service %s: ended before it was ready",
                    service);
        }
        words = g_strsplit(line->str, " ", 3);
        if (strcmp(words[0], "server") == 0) {
            find_server(s, words[1])->address = g_strdup(words[2]);
        }
        else if (strcmp(words[0], "control") == 0) {
            b->control = g_strdup(words[1]);
        }
    }
    g_string_free(line, TRUE);
}

/* Starts the relay with a route to each backend server. */
static void
start_relay(struct system *s)
{
    GPtrArray *argv = argv_new("standins/relay");
    GString *line = g_string_new(NULL);

    for (guint i = 0; i < s->servers->len; i++) {
        const struct system_server *v = g_ptr_array_index(s->servers, i);
        g_autofree char *spec =
            g_strdup_printf("%s,0,%s,0", v->name, v->address);

        add_flag(argv, "--route", spec);
    }
    process_start(&s->relay, argv, kill_with_parent);
    while (strcmp(line->str, "ready") != 0) {
        g_auto(GStrv) words = NULL;

        if (!read_line(&s->relay, line)) {
            g_error("relay: ended before it was ready");
        }
        words = g_strsplit(line->str, " ", 3);
        if (strcmp(words[0], "route") == 0) {
            find_server(s, words[1])->route = g_strdup(words[2]);
        }
        else if (strcmp(words[0], "control") == 0) {
            s->relay_control = g_strdup(words[1]);
        }
    }
    g_string_free(line, TRUE);
}

/* Derives the loopback addresses of the gateways from the process id, so that
 * tests can run concurrently without address conflicts. */
static void
assign_gateway_addresses(struct system *s)
{
    guint domains_len = g_strv_length((char **)s->options.domains);
    int pid = getpid();

    for (int i = 0; i < SYSTEM_GATEWAYS; i++) {
        struct system_gateway *g = &s->gateways[i];
        g_autofree char *host = g_strdup_printf(
            "127.%d.%d.%d", 1 + pid / 250 % 250, 1 + pid % 250, i + 1);

        g->name = g_strdup_printf("gw%d", i + 1);
        g->domain = s->options.domains[(guint)i % domains_len];
        g->address = g_strconcat(host, ":8080", NULL);
        g->peer_address = g_strconcat(host, ":8090", NULL);
    }
}

static json_t *
vms_json(const struct system *s)
{
    json_t *vms = json_array();

    for (int i = 0; i < s->listed_gateways; i++) {
        const struct system_gateway *g = &s->gateways[i];

        json_array_append_new(
            vms, json_pack("{s:s, s:s, s:s, s:s, s:s, s:s}", "name", g->name,
                           "role", "gateway", "failure_domain", g->domain,
                           "address", g->address, "peer_address",
                           g->peer_address, "state", "live"));
    }
    for (guint i = 0; i < s->servers->len; i++) {
        const struct system_server *v = g_ptr_array_index(s->servers, i);

        json_array_append_new(
            vms,
            json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "name", v->name,
                      "role", "backend_server", "team", s->options.team,
                      "service", v->service, "failure_domain", v->domain,
                      "address", v->route != NULL ? v->route : v->address,
                      "state", v->leaving ? "leaving" : "live"));
    }
    return vms;
}

void
system_publish_vms(struct system *s)
{
    json_t *list = json_pack("{s:I, s:o}", "version", (json_int_t)++s->version,
                             "vms", vms_json(s));
    char *text = json_dumps(list, JSON_COMPACT);

    platform_process_put_object(&s->platform, "platform/vms.json", text);
    free(text);
    json_decref(list);
}

void
system_verb_start(struct system *s, struct system_process *verb,
                  const char *const *args)
{
    GPtrArray *argv = argv_new("greengageway");

    add_args(argv, args);
    add_flag(argv, "--team", s->options.team);
    if (strcmp(args[0], "status") != 0 && strcmp(args[0], "route") != 0) {
        /* Only "status" and "route" ask gateways alone. */
        add_flag(argv, "--platform", s->platform_address);
        add_flag(argv, "--who", "tester");
    }
    process_start(verb, argv, set_up_verb_process);
}

int
system_verb_finish(struct system_process *verb, char **out)
{
    GString *text = g_string_new(NULL);
    char buf[4096];
    ssize_t n;
    int status;

    while ((n = read(verb->out, buf, sizeof(buf))) > 0) {
        g_string_append_len(text, buf, n);
    }
    *out = g_string_free(text, FALSE);
    status = process_wait(verb);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int
system_verb(struct system *s, char **out, const char *const *args)
{
    struct system_process verb;
    g_autofree char *text = NULL;
    int status;

    system_verb_start(s, &verb, args);
    status = system_verb_finish(&verb, &text);
    if (out != NULL) {
        *out = g_steal_pointer(&text);
    }
    return status;
}

/* Writes a row of the platform's store; @key is "TABLE/KEY". */
static void
put_row(struct system *s, const char *key, const char *value)
{
    struct ggw_txn *put = ggw_txn_new(0);
    g_autofree char *body = NULL;
    struct reply *r;

    ggw_txn_put(put, key, value);
    body = ggw_txn_encode(put);
    put->base.ops->destroy(&put->base);
    r = client_request(s->platform_address, "POST", "/v1/rows-tx", NULL, body);
    if (r->status != 200) {
        g_error("platform rejected a row: %s", reply_text(r));
    }
    reply_free(r);
}

/* Writes the settings file, with the overrides of the options, as revision 1
 * of the team's settings. */
static void
write_settings(struct system *s)
{
    json_t *tree = json_load_file(s->options.settings, 0, NULL);
    g_autofree char *key = g_strconcat("config/", s->options.team, NULL);
    struct ggw_config_row row = {
        .revision = 1,
        .change = (char *)"start",
        .who = (char *)"tester",
        .when = (char *)"2026-01-01T00:00:00Z",
        .tree = tree,
    };
    g_autofree char *text = NULL;
    const char *name;
    json_t *service;

    json_object_foreach(json_object_get(tree, "services"), name, service)
    {
        if (s->options.cold_ms > 0) {
            json_object_set_new(service, "cold_ms",
                                json_integer(s->options.cold_ms));
        }
    }
    text = ggw_config_row_serialize(&row);
    put_row(s, key, text);
    json_decref(tree);
}

void
system_start_gateway(struct system *s, int i)
{
    struct system_gateway *g = &s->gateways[i];
    GPtrArray *argv = argv_new("greengageway");
    GString *seeds = g_string_new(NULL);

    for (int j = 0; j < s->listed_gateways; j++) {
        if (j != i) {
            g_string_append_printf(seeds, "%s%s", seeds->len > 0 ? "," : "",
                                   s->gateways[j].peer_address);
        }
    }
    g_ptr_array_add(argv, g_strdup("gateway"));
    add_flag(argv, "--name", g->name);
    add_flag(argv, "--listen", g->address);
    add_flag(argv, "--advertise", g->address);
    add_flag(argv, "--peer-listen", g->peer_address);
    add_flag(argv, "--failure-domain", g->domain);
    add_flag(argv, "--platform", s->platform_address);
    add_flag(argv, "--vm-list", "platform/vms.json");
    add_flag(argv, "--seeds", seeds->str);
    add_flag(argv, "--log-level", "error");
    add_args(argv, s->options.gateway_flags);
    process_start(&g->process, argv, kill_with_parent);
    g_string_free(seeds, TRUE);
}

static bool
is_ready(void *data)
{
    struct reply *r = client_request(data, "GET", "/-/ready", NULL, NULL);
    bool ready = r->status == 200;

    reply_free(r);
    return ready;
}

bool
system_gateway_ready(struct system *s, int i, int limit_ms)
{
    return client_await(is_ready, s->gateways[i].address, limit_ms);
}

void
system_signal_gateway(struct system *s, int i, int signum)
{
    kill(s->gateways[i].process.pid, signum);
}

int
system_wait_gateway(struct system *s, int i)
{
    return process_wait(&s->gateways[i].process);
}

struct system *
system_new(const struct system_options *options, int gateways_len)
{
    struct system *s = g_new0(struct system, 1);

    s->options = *options;
    s->listed_gateways = gateways_len;
    s->backends = g_ptr_array_new_with_free_func(g_free);
    s->servers = g_ptr_array_new_with_free_func(g_free);
    platform_process_start(&s->platform, NULL);
    s->platform_address = g_strdup_printf("127.0.0.1:%u", s->platform.port);
    assign_gateway_addresses(s);
    for (int i = 0; options->services[i] != NULL; i++) {
        start_backend(s, options->services[i]);
    }
    if (options->relay) {
        start_relay(s);
    }
    system_publish_vms(s);
    if (options->settings != NULL) {
        write_settings(s);
    }
    for (int i = 0; i < gateways_len; i++) {
        system_start_gateway(s, i);
    }
    for (int i = 0; i < gateways_len; i++) {
        if (!system_gateway_ready(s, i, START_LIMIT_MS)) {
            g_error("gateway %s: not ready within the start limit",
                    s->gateways[i].name);
        }
    }
    return s;
}

bool
system_free(struct system *s)
{
    bool ok = true;

    for (int i = 0; i < SYSTEM_GATEWAYS; i++) {
        struct system_gateway *g = &s->gateways[i];

        ok = process_stop(&g->process, SIGKILL) && ok;
        g_free(g->name);
        g_free(g->address);
        g_free(g->peer_address);
    }
    ok = process_stop(&s->relay, SIGTERM) && ok;
    g_free(s->relay_control);
    for (guint i = 0; i < s->backends->len; i++) {
        struct system_backend *b = g_ptr_array_index(s->backends, i);

        ok = process_stop(&b->process, SIGTERM) && ok;
        g_free(b->control);
    }
    for (guint i = 0; i < s->servers->len; i++) {
        struct system_server *server = g_ptr_array_index(s->servers, i);

        g_free(server->name);
        g_free(server->address);
        g_free(server->route);
    }
    ok = platform_process_stop(&s->platform) == 0 && ok;
    g_ptr_array_unref(s->backends);
    g_ptr_array_unref(s->servers);
    g_free(s->platform_address);
    g_free(s);
    return ok;
}

void
system_platform_fault(struct system *s, const char *json)
{
    platform_process_fault(&s->platform, json);
}

static const struct system_backend *
find_backend(struct system *s, const char *service)
{
    for (guint i = 0; i < s->backends->len; i++) {
        const struct system_backend *b = g_ptr_array_index(s->backends, i);

        if (strcmp(b->service, service) == 0) {
            return b;
        }
    }
    g_error("no backend process for service %s", service);
}

void
system_set_backend(struct system *s, const char *service, const char *json)
{
    struct reply *r = client_request(find_backend(s, service)->control, "POST",
                                     "/-/set", NULL, json);

    if (r->status != 200) {
        g_error("backend control page rejected %s", json);
    }
    reply_free(r);
}

/* Counts of a service's backend servers as an object by server name. */
static json_t *
service_counts(struct system *s, const char *service)
{
    struct reply *r = client_request(find_backend(s, service)->control, "GET",
                                     "/-/counts", NULL, NULL);
    json_t *counts = json_loads(reply_text(r), 0, NULL);
    json_t *servers = json_incref(json_object_get(counts, "servers"));

    json_decref(counts);
    reply_free(r);
    return servers;
}

const char *
system_control_address(struct system *s, const char *service)
{
    return find_backend(s, service)->control;
}

/* Computes the maximum and the sum of a count over the backend servers of a
 * service and failure domain; NULL matches any. */
static void
aggregate_count(struct system *s, const char *field, const char *service,
                const char *domain, double *max, double *sum)
{
    *max = *sum = 0;
    for (guint i = 0; i < s->backends->len; i++) {
        const struct system_backend *b = g_ptr_array_index(s->backends, i);
        json_t *servers, *counts;
        const char *name;

        if (service != NULL && strcmp(b->service, service) != 0) {
            continue;
        }
        servers = service_counts(s, b->service);
        json_object_foreach(servers, name, counts)
        {
            double v = json_number_value(json_object_get(counts, field));

            if (domain == NULL ||
                strcmp(find_server(s, name)->domain, domain) == 0) {
                *max = v > *max ? v : *max;
                *sum += v;
            }
        }
        json_decref(servers);
    }
}

double
system_count_max(struct system *s, const char *field, const char *service,
                 const char *domain)
{
    double max, sum;

    aggregate_count(s, field, service, domain, &max, &sum);
    return max;
}

double
system_count_sum(struct system *s, const char *field, const char *service,
                 const char *domain)
{
    double max, sum;

    aggregate_count(s, field, service, domain, &max, &sum);
    return sum;
}

double
system_server_count(struct system *s, const char *name, const char *field)
{
    json_t *servers = service_counts(s, find_server(s, name)->service);
    double v = json_number_value(
        json_object_get(json_object_get(servers, name), field));

    json_decref(servers);
    return v;
}

void
system_set_relay(struct system *s, const char *json)
{
    struct reply *r =
        client_request(s->relay_control, "POST", "/-/set", NULL, json);

    if (r->status != 200) {
        g_error("relay control page rejected %s", json);
    }
    reply_free(r);
}

double
system_route_count(struct system *s, const char *route, const char *field)
{
    struct reply *r =
        client_request(s->relay_control, "GET", "/-/routes", NULL, NULL);
    json_t *routes = json_loads(reply_text(r), 0, NULL);
    double v = json_number_value(
        json_object_get(json_object_get(routes, route), field));

    json_decref(routes);
    reply_free(r);
    return v;
}

struct system_load *
system_load_start(struct system *s, const char *const *args)
{
    struct system_load *load = g_new0(struct system_load, 1);
    GPtrArray *argv = argv_new("standins/load");
    GString *line = g_string_new(NULL);

    add_flag(argv, "--team", s->options.team);
    add_flag(argv, "--prefix", "");
    for (int i = 0; i < SYSTEM_GATEWAYS; i++) {
        if (s->gateways[i].process.running) {
            add_flag(argv, "--gateway", s->gateways[i].address);
        }
    }
    add_args(argv, args);
    process_start(&load->process, argv, kill_with_parent);
    while (strcmp(line->str, "ready") != 0) {
        if (!read_line(&load->process, line)) {
            g_error("load generator: ended before it was ready");
        }
        if (g_str_has_prefix(line->str, "control ")) {
            load->control = g_strdup(line->str + strlen("control "));
        }
    }
    g_string_free(line, TRUE);
    return load;
}

int
system_load_finish(struct system_load *load)
{
    GString *line = g_string_new(NULL);
    int status;

    kill(load->process.pid, SIGTERM);
    load->figures =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    while (read_line(&load->process, line)) {
        g_auto(GStrv) words = g_strsplit(line->str, " ", 3);
        double *value;

        printf("    %s\n", line->str);
        if (g_strv_length(words) != 3) {
            continue;
        }
        value = g_new0(double, 1);
        *value = g_ascii_strtod(words[1], NULL);
        g_hash_table_insert(load->figures, g_strdup(words[0]), value);
    }
    g_string_free(line, TRUE);
    status = process_wait(&load->process);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

double
system_load_figure(const struct system_load *load, const char *name)
{
    const double *value = g_hash_table_lookup(load->figures, name);

    return value != NULL ? *value : 0;
}

/* Reads a count of a kind of request from the control page: @member itself, or
 * its field @result unless that is NULL. */
static double
load_count(const struct system_load *load, const char *kind,
           const char *member, const char *result)
{
    struct reply *r =
        client_request(load->control, "GET", "/-/counts", NULL, NULL);
    json_t *counts = json_loads(reply_text(r), 0, NULL);
    const json_t *value =
        json_object_get(json_object_get(counts, kind), member);
    double number;

    value = result != NULL ? json_object_get(value, result) : value;
    number = json_number_value(value);
    json_decref(counts);
    reply_free(r);
    return number;
}

double
system_load_served(const struct system_load *load, const char *kind)
{
    return load_count(load, kind, "served", NULL);
}

double
system_load_result(const struct system_load *load, const char *kind,
                   const char *result)
{
    return load_count(load, kind, "results", result);
}

void
system_load_free(struct system_load *load)
{
    if (load->process.running) {
        process_stop(&load->process, SIGKILL);
    }
    if (load->figures != NULL) {
        g_hash_table_unref(load->figures);
    }
    g_free(load->control);
    g_free(load);
}
