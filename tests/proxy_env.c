#include "tests/proxy_env.h"

#include "proxy/dialect.h"
#include "tests/proxy_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

/* Timeout of a wait for the thread of the kernel, s. */
#define WAIT_S 10

static struct env *
env_of(struct ggw_service *service, size_t offset)
{
    return (struct env *)(void *)((char *)service - offset);
}

void
env_signal_and_unlock(struct env *env)
{
    pthread_cond_broadcast(&env->changed);
    pthread_mutex_unlock(&env->lock);
}

/* Fake of "slots". */

static const struct env_server *
pick(struct env *env, char **avoid)
{
    if (env->refuse_repeats && avoid != NULL) {
        return NULL;
    }
    for (size_t i = 0; i < ENV_SERVERS; i++) {
        if (avoid == NULL || env->only_first_server ||
            !g_strv_contains((const char *const *)avoid,
                             env->servers[i].name)) {
            return &env->servers[i];
        }
    }
    return NULL;
}

static struct ggw_message *
new_grant(struct env *env, const struct env_server *s)
{
    /* Nothing listens on port 1 of the loopback address. */
    uint16_t port = s->script == SCRIPT_CLOSED ? 1 : s->port;

    return ggw_slot_grant_new(++env->next_grant, s->name, "fd-a", "127.0.0.1",
                              port, 8);
}

static void
slots_receive(struct ggw_service *service, struct ggw_message *m)
{
    struct env *env = env_of(service, offsetof(struct env, slots));

    pthread_mutex_lock(&env->lock);
    if (m->ops == &ggw_slot_request_ops) {
        const struct env_server *s =
            pick(env, ((struct ggw_slot_request *)m)->avoid);
        bool hedge = ((struct ggw_slot_request *)m)->hedge;

        env->slot_requests++;
        env->hedge_requests += hedge;
        env->slot_tag = m->tag;
        if (env->slots_mode == ENV_HOLD) {
            /* No answer is sent. */
        }
        else if (hedge && env->refused_hedges > 0) {
            env->refused_hedges--;
            ggw_kernel_reply(service, m,
                             ggw_slot_refuse_new(GGW_SLOT_HEDGE_BUSY, 0));
        }
        else if (s == NULL || env->slots_mode == ENV_REFUSE) {
            ggw_kernel_reply(service, m,
                             ggw_slot_refuse_new(s == NULL ? GGW_SLOT_NO_SERVER
                                                           : env->refusal,
                                                 1500));
        }
        else {
            ggw_kernel_reply(service, m, new_grant(env, s));
        }
    }
    else if (m->ops == &ggw_slot_release_ops) {
        g_array_append_val(env->releases, *(struct ggw_slot_release *)m);
    }
    else if (m->ops == &ggw_slot_cancel_ops) {
        env->cancels++;
    }
    else if (m->ops == &ggw_server_notice_ops) {
        g_array_append_val(env->notices,
                           ((struct ggw_server_notice *)m)->notice);
    }
    else if (m->ops == &ggw_probe_result_ops) {
        g_array_append_val(env->probe_results, *(struct ggw_probe_result *)m);
    }
    env_signal_and_unlock(env);
}

/* Fake of "claims". */

static void
claims_receive(struct ggw_service *service, struct ggw_message *m)
{
    struct env *env = env_of(service, offsetof(struct env, claims));

    pthread_mutex_lock(&env->lock);
    if (m->ops == &ggw_claim_request_ops) {
        env->claims_asked++;
        env->held_tag = m->tag;
        if (env->claims_mode == ENV_CLAIM) {
            struct ggw_claim_result *r = g_new0(struct ggw_claim_result, 1);

            r->base.ops = &ggw_claim_result_ops;
            r->state = env->claim_state;
            r->status = 201;
            r->claim = 77;
            ggw_kernel_reply(service, m, &r->base);
        }
    }
    else if (m->ops == &ggw_claim_settle_ops) {
        g_array_append_val(env->settles, *(struct ggw_claim_settle *)m);
    }
    env_signal_and_unlock(env);
}

/* Fake of "allotments". */

static void
allotments_receive(struct ggw_service *service, struct ggw_message *m)
{
    struct env *env = env_of(service, offsetof(struct env, allotments));

    pthread_mutex_lock(&env->lock);
    if (m->ops == &ggw_allotment_request_ops) {
        env->permissions_asked++;
        env->allotment_tag = m->tag;
        if (env->allotments_mode != ENV_PERMIT_HOLD) {
            ggw_kernel_reply(service, m,
                             ggw_allotment_result_new(
                                 env->allotments_mode == ENV_PERMIT, 200));
        }
    }
    else if (m->ops == &ggw_allotment_return_ops) {
        env->permissions_returned++;
    }
    env_signal_and_unlock(env);
}

/* Service "driver": starts the servers and delivers what the test posts. */

/**
 * struct posted - a message that the test posted
 * @to: name of the service; NULL to publish the message
 */
struct posted {
    char *to;
    struct ggw_message *message;
};

static void
async_cb(uv_async_t *async)
{
    struct env *env = async->data;
    struct posted *p;
    bool stop;

    pthread_mutex_lock(&env->lock);
    g_usleep(1000UL * env->stall_ms);
    env->stall_ms = 0;
    while ((p = g_queue_pop_head(&env->posted)) != NULL) {
        if (p->to == NULL) {
            ggw_kernel_publish(env->kernel, &env->driver, p->message);
        }
        else {
            ggw_kernel_send(env->kernel, p->to,
                            strcmp(p->to, "proxy") == 0 ? &env->slots
                                                        : &env->driver,
                            p->message);
        }
        g_free(p->to);
        g_free(p);
    }
    if (env->stall_after_ms > 0) {
        ggw_kernel_send(env->kernel, "driver", NULL, ggw_shutdown_new());
    }
    stop = env->stop;
    pthread_mutex_unlock(&env->lock);
    if (stop) {
        ggw_kernel_stop(env->kernel);
    }
}

static bool
driver_start(struct ggw_service *service, GError **error)
{
    struct env *env = env_of(service, offsetof(struct env, driver));
    uv_loop_t *loop = ggw_kernel_loop(env->kernel);

    uv_async_init(loop, &env->async, async_cb);
    env->async.data = env;
    for (size_t i = 0; i < ENV_SERVERS; i++) {
        proxy_server_start(&env->servers[i], loop);
    }
    pthread_mutex_lock(&env->lock);
    env->running = true;
    env_signal_and_unlock(env);
    return true;
}

static void
driver_stop(struct ggw_service *service)
{
    struct env *env = env_of(service, offsetof(struct env, driver));

    uv_close((uv_handle_t *)&env->async, NULL);
    proxy_servers_close(env);
}

static const struct ggw_service_ops driver_ops = {
    .name = "driver", .start = driver_start, .stop = driver_stop};
static const struct ggw_service_ops slots_ops = {.name = "slots"};
static const struct ggw_service_ops claims_ops = {.name = "claims"};
static const struct ggw_service_ops allotments_ops = {.name = "allotments"};

static void
driver_receive(struct ggw_service *service, struct ggw_message *m)
{
    struct env *env = env_of(service, offsetof(struct env, driver));
    unsigned stall_ms;

    pthread_mutex_lock(&env->lock);
    stall_ms = env->stall_after_ms;
    env->stall_after_ms = 0;
    pthread_mutex_unlock(&env->lock);
    g_usleep(1000UL * stall_ms);
}

/*
 * One thread runs all kernels and never ends: h2o caches memory per thread,
 * which the leak check would report once the thread has ended.
 */
static pthread_mutex_t worker_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t worker_wake = PTHREAD_COND_INITIALIZER;
static struct env *worker_env;

static void *
worker(void *arg)
{
    for (;;) {
        struct env *env;

        pthread_mutex_lock(&worker_lock);
        while (worker_env == NULL) {
            pthread_cond_wait(&worker_wake, &worker_lock);
        }
        env = worker_env;
        worker_env = NULL;
        pthread_mutex_unlock(&worker_lock);
        ggw_kernel_run(env->kernel, NULL);
        pthread_mutex_lock(&env->lock);
        env->ended = 1;
        env_signal_and_unlock(env);
    }
    return NULL;
}

static void
run(struct env *env)
{
    static bool started;
    pthread_t thread;

    pthread_mutex_lock(&worker_lock);
    worker_env = env;
    if (!started) {
        started = true;
        pthread_create(&thread, NULL, worker, NULL);
        pthread_detach(thread);
    }
    pthread_cond_signal(&worker_wake);
    pthread_mutex_unlock(&worker_lock);
}

struct ggw_tree *
env_tree(uint64_t revision, ggw_ms timeout, const char *domain_out)
{
    static const char format[] =
        "{\"failure_domains\":{\"%s\":{\"state\":\"out\"}},"
        "\"services\":{\"svc\":{\"slots\":2,\"connections\":8,"
        "\"kinds\":{"
        "\"read\":{\"methods\":[\"GET\",\"POST\",\"HEAD\"],"
        "\"path_prefix\":\"/read\",\"timeout_ms\":%.0f,"
        "\"idempotency\":\"idempotent\",\"attempts\":3},"
        "\"order\":{\"methods\":[\"POST\"],\"path_prefix\":\"/order\","
        "\"timeout_ms\":%.0f,\"idempotency\":\"order\","
        "\"order_from\":\"header:X-Order\",\"attempts\":3},"
        "\"other\":{\"methods\":[\"GET\"],\"path_prefix\":\"/other\","
        "\"timeout_ms\":%.0f,\"idempotency\":\"idempotent\","
        "\"attempts\":1}}}},"
        "\"routes\":{"
        "\"kept\":{\"host\":\"kept.example\",\"services\":{\"svc\":1},"
        "\"timeout_ms\":%.0f,\"attempts\":2,\"hold_bytes\":100000,"
        "\"retry_errors\":\"yes\"},"
        "\"once\":{\"host\":\"once.example\",\"services\":{\"svc\":1},"
        "\"timeout_ms\":%.0f,\"attempts\":2,\"hold_bytes\":100000,"
        "\"idempotency\":\"once\"}}}";
    g_autofree char *json = g_strdup_printf(
        format, domain_out, timeout, timeout, timeout, timeout, timeout);
    GError *error = NULL;
    struct ggw_tree *tree = ggw_tree_parse("team", revision, json, &error);

    if (tree == NULL) {
        fprintf(stderr, "%s\n", error->message);
        abort();
    }
    /*
     * Above the range of the settings: each call allows one retry and one
     * hedge.
     */
    tree->services[0].retry_percent = 100;
    tree->services[0].hedge_percent = 100;
    return tree;
}

/* The limits of the product. */
static const struct env_client_limits usual_limits = {0};

static bool
is_other_server(int status)
{
    return status == 421;
}

static bool
is_other_probed_server(int status, const h2o_header_t *headers, size_t len,
                       const char *server)
{
    return status == 421;
}

static struct env *
start(ggw_ms max_age, ggw_ms drain, bool like_site,
      const struct env_client_limits *limits)
{
    struct env *env = g_new0(struct env, 1);
    static struct ggw_dialect dialect;
    struct ggw_proxy_options options = {
        .name = "gw-1",
        .failure_domain = "fd-a",
        .incarnation = 42,
        .listen_host = "127.0.0.1",
        .max_age = max_age,
        .drain = drain,
        .head_timeout = 300,
        .client_idle_timeout = limits->idle,
        .client_progress_timeout = limits->progress,
        .progress_timeout = 300,
        .leave_accept = max_age + 500,
        .dialect = &dialect,
        .half_close_disconnects = like_site,
    };

    dialect = ggw_default_dialect;
    dialect.misdirected = is_other_server;
    dialect.status_promises = like_site;
    dialect.probe_misdirected = is_other_probed_server;
    /* Names that do not begin with one of the prefixes stripped anyway. */
    dialect.customer_key = "x-key";
    dialect.customer = "x-customer";

    pthread_mutex_init(&env->lock, NULL);
    pthread_cond_init(&env->changed, NULL);
    g_queue_init(&env->posted);
    env->conns = g_hash_table_new(NULL, NULL);
    env->releases = g_array_new(FALSE, FALSE, sizeof(struct ggw_slot_release));
    env->settles = g_array_new(FALSE, FALSE, sizeof(struct ggw_claim_settle));
    env->notices =
        g_array_new(FALSE, FALSE, sizeof(struct ggw_backoff_notice));
    env->probe_results =
        g_array_new(FALSE, FALSE, sizeof(struct ggw_probe_result));
    for (size_t i = 0; i < ENV_SERVERS; i++) {
        struct env_server *s = &env->servers[i];

        s->env = env;
        g_snprintf(s->name, sizeof(s->name), "s%zu", i);
        s->body = "hello";
        s->body_len = 5;
        s->received = g_string_new(NULL);
    }
    env->kernel = ggw_kernel_new(ggw_clock_system());
    env->proxy = ggw_proxy_service_new(&options);
    ggw_kernel_add(env->kernel, env->proxy);
    static struct ggw_service_ops d, s, c, a;
    d = driver_ops;
    d.receive = driver_receive;
    s = slots_ops;
    s.receive = slots_receive;
    c = claims_ops;
    c.receive = claims_receive;
    a = allotments_ops;
    a.receive = allotments_receive;
    env->allotments.ops = &a;
    env->driver.ops = &d;
    env->slots.ops = &s;
    env->claims.ops = &c;
    ggw_kernel_add(env->kernel, &env->slots);
    ggw_kernel_add(env->kernel, &env->claims);
    ggw_kernel_add(env->kernel, &env->allotments);
    ggw_kernel_add(env->kernel, &env->driver);
    run(env);
    pthread_mutex_lock(&env->lock);
    while (!env->running) {
        pthread_cond_wait(&env->changed, &env->lock);
    }
    pthread_mutex_unlock(&env->lock);
    return env;
}

struct env *
env_start_bare(ggw_ms max_age)
{
    return start(max_age, 5000, false, &usual_limits);
}

static struct env *
start_ready(ggw_ms timeout, ggw_ms max_age, ggw_ms drain, bool like_site,
            const struct env_client_limits *limits)
{
    struct env *env = start(max_age, drain, like_site, limits);
    struct ggw_tree *tree = env_tree(7, timeout, "fd-out");
    bool ready = false;

    env_publish(env, ggw_config_in_force_new(tree));
    ggw_tree_unref(tree);
    while (!ready) {
        GString *r = env_ask(env, "GET /-/ready HTTP/1.1\r\nHost: x\r\n"
                                  "Connection: close\r\n\r\n");

        ready = env_status(r) == 200;
        g_string_free(r, TRUE);
    }
    return env;
}

struct env *
env_start(ggw_ms timeout, ggw_ms max_age, ggw_ms drain)
{
    return start_ready(timeout, max_age, drain, false, &usual_limits);
}

struct env *
env_start_like_site(ggw_ms timeout, ggw_ms max_age, ggw_ms drain)
{
    return start_ready(timeout, max_age, drain, true, &usual_limits);
}

struct env *
env_start_impatient(ggw_ms timeout, const struct env_client_limits *limits)
{
    return start_ready(timeout, 100, 1000, false, limits);
}

static void
post(struct env *env, const char *to, struct ggw_message *message)
{
    struct posted *p = g_new0(struct posted, 1);

    p->to = g_strdup(to);
    p->message = message;
    pthread_mutex_lock(&env->lock);
    g_queue_push_tail(&env->posted, p);
    pthread_mutex_unlock(&env->lock);
    uv_async_send(&env->async);
}

void
env_publish(struct env *env, struct ggw_message *message)
{
    post(env, NULL, message);
}

void
env_send(struct env *env, const char *name, struct ggw_message *message)
{
    post(env, name, message);
}

void
env_grant(struct env *env, size_t server, unsigned stall_ms)
{
    struct ggw_message *m;

    pthread_mutex_lock(&env->lock);
    m = new_grant(env, &env->servers[server]);
    m->tag = env->slot_tag;
    env->stall_ms = stall_ms;
    pthread_mutex_unlock(&env->lock);
    post(env, "proxy", m);
}

void
env_permit(struct env *env)
{
    struct ggw_message *m = ggw_allotment_result_new(true, 0);

    pthread_mutex_lock(&env->lock);
    m->tag = env->allotment_tag;
    pthread_mutex_unlock(&env->lock);
    post(env, "proxy", m);
}

void
env_stop(struct env *env)
{
    pthread_mutex_lock(&env->lock);
    env->stop = true;
    if (env->ended == 0) {
        uv_async_send(&env->async);
    }
    pthread_mutex_unlock(&env->lock);
    if (!env_wait_ended(env)) {
        abort(); /* the kernel did not stop */
    }
    ggw_kernel_destroy(env->kernel);
    for (size_t i = 0; i < ENV_SERVERS; i++) {
        g_string_free(env->servers[i].received, TRUE);
    }
    g_hash_table_destroy(env->conns);
    g_array_free(env->releases, TRUE);
    g_array_free(env->settles, TRUE);
    g_array_free(env->notices, TRUE);
    g_array_free(env->probe_results, TRUE);
    pthread_mutex_destroy(&env->lock);
    pthread_cond_destroy(&env->changed);
    g_free(env);
}

/* Waits until @value, an int or a guint, is at least @at_least. */
static bool
wait_value(struct env *env, const volatile int *value, int at_least)
{
    struct timespec t;
    int rc = 0;

    clock_gettime(CLOCK_REALTIME, &t);
    t.tv_sec += WAIT_S;
    pthread_mutex_lock(&env->lock);
    while (*value < at_least && rc == 0) {
        rc = pthread_cond_timedwait(&env->changed, &env->lock, &t);
    }
    pthread_mutex_unlock(&env->lock);
    return rc == 0;
}

bool
env_wait(struct env *env, const int *value, int at_least)
{
    return wait_value(env, value, at_least);
}

bool
env_wait_len(struct env *env, GArray *array, int at_least)
{
    return wait_value(env, (const volatile int *)&array->len, at_least);
}

bool
env_wait_ended(struct env *env)
{
    return wait_value(env, &env->ended, 1);
}
