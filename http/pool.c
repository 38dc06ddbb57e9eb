#include "http/pool.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdbool.h>
#include <string.h>

/* Shorter than the usual 15 s and more for which servers keep idle ones. */
#define IDLE_MS 10000

#define UNUSED_MS 60000

/*
 * The timeouts of h2o's client restart with every read and do not know a
 * paused response, so http/client.c has its own; these never expire first.
 */
#define CLIENT_TIMEOUT_MS 3600000

/* h2o uses the capacity only as a hint. */
#define CAPACITY 4096

struct ggw_pools {
    uv_loop_t *loop;
    h2o_timeout_t timeout;
    h2o_http1client_ctx_t client;
    GHashTable *by_address; /* "IP:PORT" to struct ggw_pool */
    GPtrArray *closed;      /* pools whose timer may still be closing */
    bool stopped;
};

static void
pool_free(struct ggw_pool *pool)
{
    g_free(pool->host);
    g_free(pool);
}

struct ggw_pools *
ggw_pools_new(uv_loop_t *loop, h2o_multithread_receiver_t *receiver)
{
    struct ggw_pools *p = g_new0(struct ggw_pools, 1);

    p->loop = loop;
    h2o_timeout_init(loop, &p->timeout, CLIENT_TIMEOUT_MS);
    p->client.loop = loop;
    p->client.getaddr_receiver = receiver;
    p->client.io_timeout = &p->timeout;
    p->by_address =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    p->closed = g_ptr_array_new_with_free_func((GDestroyNotify)pool_free);
    return p;
}

static struct ggw_pool *
pool_new(struct ggw_pools *pools, const char *host, uint16_t port)
{
    struct sockaddr_in sin = {.sin_family = AF_INET, .sin_port = htons(port)};
    struct sockaddr_in6 sin6 = {.sin6_family = AF_INET6,
                                .sin6_port = htons(port)};
    struct ggw_pool *pool = g_new0(struct ggw_pool, 1);

    if (inet_pton(AF_INET, host, &sin.sin_addr) == 1) {
        h2o_socketpool_init_by_address(&pool->sockets, (void *)&sin,
                                       sizeof(sin), 0, CAPACITY);
    }
    else if (inet_pton(AF_INET6, host, &sin6.sin6_addr) == 1) {
        h2o_socketpool_init_by_address(&pool->sockets, (void *)&sin6,
                                       sizeof(sin6), 0, CAPACITY);
    }
    else {
        g_free(pool);
        return NULL;
    }
    h2o_socketpool_set_timeout(&pool->sockets, pools->loop, IDLE_MS);
    pool->client = &pools->client;
    pool->host = g_strdup(host);
    pool->port = port;
    return pool;
}

struct ggw_pool *
ggw_pools_get(struct ggw_pools *pools, const char *host, uint16_t port,
              ggw_ms now)
{
    char key[80];
    struct ggw_pool *pool;

    g_snprintf(key, sizeof(key), "%s:%u", host, (unsigned)port);
    pool = g_hash_table_lookup(pools->by_address, key);
    if (pool == NULL && !pools->stopped) {
        pool = pool_new(pools, host, port);
        if (pool != NULL) {
            g_hash_table_insert(pools->by_address, g_strdup(key), pool);
        }
    }
    if (pool != NULL) {
        pool->last_used = now;
    }
    return pool;
}

static void
pool_close(struct ggw_pools *pools, struct ggw_pool *pool)
{
    h2o_socketpool_dispose(&pool->sockets);
    g_ptr_array_add(pools->closed, pool);
}

void
ggw_pools_trim(struct ggw_pools *pools, ggw_ms now)
{
    GHashTableIter iter;
    gpointer value;

    /* The timers closed by the previous call are gone by now. */
    g_ptr_array_set_size(pools->closed, 0);
    g_hash_table_iter_init(&iter, pools->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_pool *pool = value;

        if (pool->used == 0 && now - pool->last_used > UNUSED_MS) {
            pool_close(pools, pool);
            g_hash_table_iter_remove(&iter);
        }
    }
}

void
ggw_pools_stop(struct ggw_pools *pools)
{
    GHashTableIter iter;
    gpointer value;

    if (pools->stopped) {
        return;
    }
    pools->stopped = true;
    g_hash_table_iter_init(&iter, pools->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        pool_close(pools, value);
        g_hash_table_iter_remove(&iter);
    }
    h2o_timeout_dispose(pools->loop, &pools->timeout);
}

void
ggw_pools_destroy(struct ggw_pools *pools)
{
    if (pools == NULL) {
        return;
    }
    g_hash_table_destroy(pools->by_address);
    g_ptr_array_free(pools->closed, TRUE);
    g_free(pools);
}
