#include "tests/cluster.h"

#include <CUnit/CUnit.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>

#include "rollouts/rollouts.h"

static void
store_members(struct client *c, const struct ggw_members_changed *m)
{
    g_ptr_array_set_size(c->members, 0);
    for (guint i = 0; i < m->members->len; i++) {
        const struct ggw_member *member =
            &g_array_index(m->members, struct ggw_member, i);

        g_ptr_array_add(c->members, g_strdup_printf("%s %d", member->name,
                                                    (int)member->state));
    }
    c->known_gateways = m->known_gateways;
}

static void
client_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct client *c = (struct client *)service;

    if (message->ops == &ggw_members_changed_ops) {
        store_members(c, (struct ggw_members_changed *)message);
    }
    else if (message->ops == &ggw_peer_lost_ops) {
        c->lost_peers++;
    }
    else if (c->on_message != NULL) {
        c->on_message(c->node, message);
    }
}

static void
client_destroy(struct ggw_service *service)
{
    struct client *c = (struct client *)service;

    g_ptr_array_unref(c->members);
    g_free(c);
}

static const struct ggw_service_ops client_ops = {
    .name = "proxy",
    .receive = client_receive,
    .destroy = client_destroy,
};

/**
 * struct rollouts_client - stands in for the service "rollouts"
 * @client: service that gets the messages
 */
struct rollouts_client {
    struct ggw_service base;
    struct client *client;
};

static void
rollouts_receive(struct ggw_service *service, struct ggw_message *message)
{
    struct client *c = ((struct rollouts_client *)service)->client;

    if (message->ops == &ggw_rollout_counts_ops && c->on_message != NULL) {
        c->on_message(c->node, message);
    }
}

static void
rollouts_destroy(struct ggw_service *service)
{
    g_free(service);
}

static const struct ggw_service_ops rollouts_client_ops = {
    .name = "rollouts",
    .receive = rollouts_receive,
    .destroy = rollouts_destroy,
};

static struct ggw_service *
rollouts_client_new(struct client *client)
{
    struct rollouts_client *c = g_new0(struct rollouts_client, 1);

    c->base.ops = &rollouts_client_ops;
    c->client = client;
    return &c->base;
}

void
cluster_init(struct cluster *c)
{
    memset(c, 0, sizeof(*c));
    uv_loop_init(&c->relay_loop);
}

/*
 * Starts a gateway's relay. The gateway listens on 127.0.1.N and advertises
 * 127.0.2.N to the others, where its relay listens on the same port.
 */
static void
start_relay(struct cluster *c, struct node *n, const char *listen_host,
            const char *relay_host)
{
    struct sockaddr_in from;
    struct sockaddr_in to;

    uv_ip4_addr(relay_host, ggw_peers_port(n->peers), &from);
    uv_ip4_addr(listen_host, ggw_peers_port(n->peers), &to);
    relay_start(&n->relay, &c->relay_loop, &from, &to);
}

struct node *
cluster_add(struct cluster *c, const char *domain, struct ggw_service *slots,
            void (*on_message)(struct node *, struct ggw_message *))
{
    struct node *n = &c->nodes[c->len];
    g_autofree char *listen_host = g_strdup_printf("127.0.1.%d", c->len + 1);
    g_autofree char *relay_host = g_strdup_printf("127.0.2.%d", c->len + 1);
    g_autofree char *seed =
        c->len > 0 ? g_strdup_printf("127.0.2.1:%u",
                                     ggw_peers_port(c->nodes[0].peers))
                   : NULL;
    char *seeds[] = {seed, NULL};
    struct ggw_peers_options options = {
        .name = n->name,
        .failure_domain = n->domain,
        .listen_host = listen_host,
        .advertise_host = relay_host,
        .advertise_port = 80,
        .seeds = seeds,
    };

    g_assert(c->len < CLUSTER_MAX);
    memset(n, 0, sizeof(*n));
    snprintf(n->name, sizeof(n->name), "gw-%d", c->len++);
    g_strlcpy(n->domain, domain, sizeof(n->domain));
    n->kernel = ggw_kernel_new(ggw_clock_system());
    n->peers = ggw_peers_service_new(&options);
    n->client = g_new0(struct client, 1);
    n->client->base.ops = &client_ops;
    n->client->node = n;
    n->client->members = g_ptr_array_new_with_free_func(g_free);
    n->client->on_message = on_message;
    ggw_kernel_add(n->kernel, n->peers);
    ggw_kernel_add(n->kernel, &n->client->base);
    ggw_kernel_add(n->kernel, rollouts_client_new(n->client));
    if (slots != NULL) {
        ggw_kernel_add(n->kernel, slots);
    }
    CU_ASSERT_TRUE_FATAL(ggw_kernel_start(n->kernel, NULL));
    start_relay(c, n, listen_host, relay_host);
    return n;
}

/* Stores the event loops to run in @out and returns their number. */
static int
running_loops(struct cluster *c, uv_loop_t **out)
{
    int n = 0;

    for (int i = 0; i < c->len; i++) {
        if (c->nodes[i].kernel != NULL && !c->nodes[i].paused) {
            out[n++] = ggw_kernel_loop(c->nodes[i].kernel);
        }
    }
    out[n++] = &c->relay_loop;
    return n;
}

void
cluster_run_once(struct cluster *c)
{
    uv_loop_t *run[CLUSTER_MAX + 1];
    struct pollfd fds[CLUSTER_MAX + 1];
    int n = running_loops(c, run);
    int timeout = 100;

    for (int i = 0; i < n; i++) {
        int t;

        uv_update_time(run[i]);
        t = uv_backend_timeout(run[i]);
        fds[i].fd = uv_backend_fd(run[i]);
        fds[i].events = POLLIN;
        timeout = t >= 0 ? MIN(timeout, t) : timeout;
    }
    poll(fds, (nfds_t)n, timeout);
    for (int i = 0; i < n; i++) {
        uv_run(run[i], UV_RUN_NOWAIT);
    }
}

bool
cluster_wait(struct cluster *c, bool (*condition)(struct cluster *))
{
    ggw_ms end = ggw_clock_now(ggw_clock_system()) + CLUSTER_WAIT_LIMIT_MS;

    while (!condition(c)) {
        if (ggw_clock_now(ggw_clock_system()) > end) {
            return false;
        }
        cluster_run_once(c);
    }
    return true;
}

void
cluster_run_for(struct cluster *c, ggw_ms span)
{
    ggw_ms end = ggw_clock_now(ggw_clock_system()) + span;

    while (ggw_clock_now(ggw_clock_system()) < end) {
        cluster_run_once(c);
    }
}

void
cluster_remove(struct cluster *c, struct node *node)
{
    ggw_kernel_destroy(node->kernel);
    node->kernel = NULL;
    relay_stop(&node->relay);
    uv_run(&c->relay_loop, UV_RUN_NOWAIT);
}

void
cluster_destroy(struct cluster *c)
{
    for (int i = 0; i < c->len; i++) {
        if (c->nodes[i].kernel != NULL) {
            cluster_remove(c, &c->nodes[i]);
        }
    }
    uv_run(&c->relay_loop, UV_RUN_DEFAULT);
    uv_loop_close(&c->relay_loop);
}

bool
node_sees(const struct node *node, const char *name,
          enum ggw_member_state state)
{
    g_autofree char *wanted = g_strdup_printf("%s %d", name, (int)state);

    return g_ptr_array_find_with_equal_func(node->client->members, wanted,
                                            g_str_equal, NULL);
}

bool
cluster_joined(struct cluster *c)
{
    for (int i = 0; i < c->len; i++) {
        for (int j = 0; j < c->len; j++) {
            if (c->nodes[i].kernel != NULL && c->nodes[j].kernel != NULL &&
                !c->nodes[i].paused &&
                !node_sees(&c->nodes[i], c->nodes[j].name, GGW_MEMBER_ALIVE)) {
                return false;
            }
        }
    }
    return true;
}
