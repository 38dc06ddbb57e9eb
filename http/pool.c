#include "http/pool.h"

#include <glib.h>
#include <stdbool.h>

#include "decide/distrust.h"
#include "http/conn.h"

/* Milliseconds without use after which a pool is freed. */
#define UNUSED_POOL_MS 60000

struct ggw_pools {
    uv_loop_t *loop;
    GHashTable *by_address; /* "IP:PORT" to struct ggw_pool */
    bool stopped;
    size_t unread;     /* bytes of responses that wait for their client */
    size_t max_unread; /* limit of @unread */
    int receive_buffer;
};

static void
close_idle(struct ggw_pool *pool)
{
    struct ggw_http_conn *conn;

    while ((conn = g_queue_pop_head(&pool->idle)) != NULL) {
        ggw_http_conn_close(conn);
    }
}

static void
pool_free(gpointer data)
{
    struct ggw_pool *pool = data;

    close_idle(pool);
    g_free(pool->host);
    g_free(pool);
}

struct ggw_pools *
ggw_pools_new(uv_loop_t *loop)
{
    struct ggw_pools *p = g_new0(struct ggw_pools, 1);

    p->loop = loop;
    p->max_unread = SIZE_MAX;
    p->by_address =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, pool_free);
    return p;
}

void
ggw_pools_limit(struct ggw_pools *pools, size_t unread, int receive_buffer)
{
    pools->max_unread = unread;
    pools->receive_buffer = receive_buffer;
}

void
ggw_pools_count_unread(struct ggw_pools *pools, ssize_t bytes)
{
    pools->unread += (size_t)bytes;
}

bool
ggw_pools_are_full(const struct ggw_pools *pools)
{
    return pools->unread > pools->max_unread;
}

int
ggw_pools_receive_buffer(const struct ggw_pools *pools)
{
    return pools->receive_buffer;
}

struct ggw_pool *
ggw_pools_get(struct ggw_pools *pools, const char *host, uint16_t port,
              ggw_ms now)
{
    char key[80];
    struct ggw_pool *pool;
    struct sockaddr_storage address;

    g_snprintf(key, sizeof(key), "%s:%u", host, (unsigned)port);
    pool = g_hash_table_lookup(pools->by_address, key);
    if (pool == NULL && !pools->stopped &&
        ggw_http_conn_address(host, port, &address)) {
        pool = g_new0(struct ggw_pool, 1);
        pool->pools = pools;
        pool->loop = pools->loop;
        pool->host = g_strdup(host);
        pool->port = port;
        g_queue_init(&pool->idle);
        g_hash_table_insert(pools->by_address, g_strdup(key), pool);
    }
    if (pool != NULL) {
        pool->last_used = now;
    }
    return pool;
}

void
ggw_pool_distrust(struct ggw_pool *pool)
{
    pool->distrusted_until =
        ggw_distrust_until(pool->distrusted_until, (ggw_ms)uv_now(pool->loop));
}

bool
ggw_pool_is_distrusted(const struct ggw_pool *pool)
{
    return ggw_is_distrusted(pool->distrusted_until,
                             (ggw_ms)uv_now(pool->loop));
}

static gboolean
is_unused(gpointer key, gpointer value, gpointer now)
{
    const struct ggw_pool *pool = value;

    return pool->active_calls == 0 &&
           *(ggw_ms *)now - pool->last_used > UNUSED_POOL_MS;
}

void
ggw_pools_trim(struct ggw_pools *pools, ggw_ms now)
{
    g_hash_table_foreach_remove(pools->by_address, is_unused, &now);
}

bool
ggw_pools_close_idle(struct ggw_pools *pools)
{
    struct ggw_pool *oldest = NULL;
    GHashTableIter iter;
    gpointer value;

    g_hash_table_iter_init(&iter, pools->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        struct ggw_pool *pool = value;

        if (pool->idle.length > 0 &&
            (oldest == NULL || pool->last_used < oldest->last_used)) {
            oldest = pool;
        }
    }
    if (oldest == NULL) {
        return false;
    }
    ggw_http_conn_close(g_queue_pop_tail(&oldest->idle));
    return true;
}

void
ggw_pools_stop(struct ggw_pools *pools)
{
    GHashTableIter iter;
    gpointer value;

    pools->stopped = true;
    g_hash_table_iter_init(&iter, pools->by_address);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        close_idle(value);
    }
}

void
ggw_pools_destroy(struct ggw_pools *pools)
{
    if (pools == NULL) {
        return;
    }
    g_hash_table_destroy(pools->by_address);
    g_free(pools);
}
