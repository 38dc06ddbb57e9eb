#include <argp.h>
#include <h2o.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "platform/kv_json.h"

/*
 * Stand-in for the platform: a table service that follows the etcd v3 JSON
 * mapping, and an object store. Everything is in memory. Faults are set
 * through POST /-/fault; GET /-/stats counts the requests handled.
 */

/* Object whose new versions become visible only after --lag. */
#define VM_LIST "platform/vms.json"

enum fault_mode {
    FAULT_NONE,
    FAULT_DOWN,
    FAULT_SLOW,
    FAULT_SILENT,
    FAULT_LOST_ANSWER,
};

static const char *const fault_names[] = {"none", "down", "slow", "silent",
                                          "lost-answer"};

struct fault {
    enum fault_mode mode;
    int64_t ms;
    int64_t count; /* requests left; below 0 is no limit */
    char *prefix;
};

struct kv {
    char *value;
    int64_t create_revision;
    int64_t mod_revision;
    int64_t version;
};

struct object {
    GBytes *body;
    uint64_t etag;
    uint64_t visible_at; /* loop time in ms */
};

static struct {
    uv_loop_t loop;
    uv_tcp_t listener;
    uv_signal_t signals[2];
    h2o_globalconf_t config;
    h2o_context_t ctx;
    h2o_accept_ctx_t accept_ctx;
    GTree *table; /* key, struct kv */
    int64_t revision;
    GHashTable *objects; /* key, GPtrArray of struct object */
    uint64_t last_etag;
    uint64_t lag;
    struct fault fault;
    int64_t ranges, txns, writes, gets, puts;
} srv;

/* A request that waits for its delay; freed with the request. */
struct delayed {
    uv_timer_t *timer;
    h2o_req_t *req;
};

static void
kv_free(void *item)
{
    struct kv *kv = item;

    g_free(kv->value);
    g_free(kv);
}

static void
object_free(void *item)
{
    struct object *o = item;

    g_bytes_unref(o->body);
    g_free(o);
}

static int
compare_keys(const void *a, const void *b, void *data)
{
    return strcmp(a, b);
}

static void
send_json(h2o_req_t *req, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);

    req->res.status = status;
    req->res.reason = status == 200 ? "OK" : "Error";
    h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, NULL,
                   H2O_STRLIT("application/json"));
    req->res.content_length = strlen(text);
    h2o_send_inline(req, text, strlen(text));
    free(text);
    json_decref(body);
}

static void
send_error(h2o_req_t *req, int status, const char *message)
{
    send_json(req, status, json_pack("{s:s}", "error", message));
}

/*
 * Closes the connection without an answer. The answer that h2o still writes
 * meets a closed socket, after which h2o frees the connection.
 */
static void
drop(h2o_req_t *req)
{
    h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);

    shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
    req->http1_is_persistent = 0;
    send_error(req, 503, "closed");
}

static json_t *
header_json(void)
{
    return json_pack("{s:s, s:s, s:o, s:s}", "cluster_id", "1", "member_id",
                     "1", "revision", ggw_kv_int64(srv.revision), "raft_term",
                     "1");
}

static json_t *
kv_json(const char *key, const struct kv *kv)
{
    return json_pack("{s:o, s:o, s:o, s:o, s:o}", "key", ggw_kv_base64(key),
                     "create_revision", ggw_kv_int64(kv->create_revision),
                     "mod_revision", ggw_kv_int64(kv->mod_revision), "version",
                     ggw_kv_int64(kv->version), "value",
                     ggw_kv_base64(kv->value));
}

/* Keys of a range request, or NULL when the request is malformed. */
static GPtrArray *
keys_in_range(const json_t *request)
{
    g_autofree char *key = ggw_kv_text(request, "key");
    g_autofree char *end = ggw_kv_text(request, "rangeEnd");
    GPtrArray *keys;

    if (key == NULL || *key == '\0' || end == NULL) {
        return NULL;
    }
    keys = g_ptr_array_new_with_free_func(g_free);
    for (GTreeNode *n = g_tree_lower_bound(srv.table, key); n != NULL;
         n = g_tree_node_next(n)) {
        const char *k = g_tree_node_key(n);

        if (*end == '\0' ? strcmp(k, key) != 0 : strcmp(k, end) >= 0) {
            break;
        }
        g_ptr_array_add(keys, g_strdup(k));
    }
    return keys;
}

/* Answer to a range request, or NULL when the request is malformed. */
static json_t *
do_range(const json_t *request)
{
    GPtrArray *keys = keys_in_range(request);
    json_t *kvs, *answer;
    int64_t min;

    if (keys == NULL || !ggw_kv_int(request, "minModRevision", &min)) {
        return NULL;
    }
    answer = json_pack("{s:o}", "header", header_json());
    if (keys->len > 0) {
        kvs = json_array();
        for (guint i = 0; i < keys->len; i++) {
            const char *key = g_ptr_array_index(keys, i);

            json_array_append_new(kvs,
                                  kv_json(key, g_tree_lookup(srv.table, key)));
        }
        json_object_set_new(answer, "kvs", kvs);
        json_object_set_new(answer, "count", ggw_kv_int64(keys->len));
    }
    g_ptr_array_unref(keys);
    return answer;
}

static json_t *
do_put(const json_t *request, int64_t revision)
{
    char *key = ggw_kv_text(request, "key");
    char *value = ggw_kv_text(request, "value");
    struct kv *old = g_tree_lookup(srv.table, key);
    struct kv *kv = g_new0(struct kv, 1);

    kv->value = value;
    kv->create_revision = old != NULL ? old->create_revision : revision;
    kv->version = old != NULL ? old->version + 1 : 1;
    kv->mod_revision = revision;
    g_tree_replace(srv.table, key, kv);
    return json_pack("{s:{s:{s:o}}}", "response_put", "header", "revision",
                     ggw_kv_int64(revision));
}

static json_t *
do_delete(const json_t *request, int64_t revision)
{
    GPtrArray *keys = keys_in_range(request);
    json_t *answer;

    for (guint i = 0; i < keys->len; i++) {
        g_tree_remove(srv.table, g_ptr_array_index(keys, i));
    }
    answer = json_pack("{s:{s:{s:o}, s:o}}", "response_delete_range", "header",
                       "revision", ggw_kv_int64(revision), "deleted",
                       ggw_kv_int64(keys->len));
    g_ptr_array_unref(keys);
    return answer;
}

/* Whether a compare holds; sets *valid to false when it is malformed. */
static bool
compare_holds(const json_t *compare, bool *valid)
{
    const char *target = json_string_value(ggw_kv_member(compare, "target"));
    const char *result = json_string_value(ggw_kv_member(compare, "result"));
    g_autofree char *key = ggw_kv_text(compare, "key");
    bool create = g_strcmp0(target, "CREATE") == 0;
    int64_t want, have;
    struct kv *kv;

    *valid =
        key != NULL && (create || g_strcmp0(target, "MOD") == 0) &&
        (result == NULL || strcmp(result, "EQUAL") == 0) &&
        ggw_kv_int(compare, create ? "createRevision" : "modRevision", &want);
    if (!*valid) {
        return false;
    }
    kv = g_tree_lookup(srv.table, key);
    if (kv == NULL) {
        have = 0;
    }
    else {
        have = create ? kv->create_revision : kv->mod_revision;
    }
    return have == want;
}

static json_t *
op_member(const json_t *op, const char *name, bool *writes)
{
    json_t *member = ggw_kv_member(op, name);

    if (member != NULL && strcmp(name, "requestRange") != 0) {
        *writes = true;
    }
    return member;
}

/* All checks come before the first effect; a refused request has none. */
static bool
ops_valid(const json_t *ops, bool *writes)
{
    g_autoptr(GHashTable) seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    const json_t *op;
    size_t i;

    *writes = false;
    json_array_foreach(ops, i, op)
    {
        json_t *put = op_member(op, "requestPut", writes);
        json_t *del = op_member(op, "requestDeleteRange", writes);
        json_t *range = op_member(op, "requestRange", writes);
        json_t *any = put != NULL ? put : (del != NULL ? del : range);
        g_autofree char *key = any != NULL ? ggw_kv_text(any, "key") : NULL;
        g_autofree char *end =
            any != NULL ? ggw_kv_text(any, "rangeEnd") : NULL;
        g_autofree char *value =
            any != NULL ? ggw_kv_text(any, "value") : NULL;

        if (key == NULL || *key == '\0' || end == NULL || value == NULL ||
            (range == NULL && !g_hash_table_add(seen, g_strdup(key)))) {
            return false;
        }
    }
    return true;
}

static json_t *
do_ops(const json_t *ops, bool writes)
{
    int64_t revision = srv.revision + (writes ? 1 : 0);
    json_t *responses = json_array();
    const json_t *op;
    size_t i;

    srv.revision = revision;
    json_array_foreach(ops, i, op)
    {
        json_t *put = ggw_kv_member(op, "requestPut");
        json_t *del = ggw_kv_member(op, "requestDeleteRange");

        if (put != NULL) {
            json_array_append_new(responses, do_put(put, revision));
        }
        else if (del != NULL) {
            json_array_append_new(responses, do_delete(del, revision));
        }
        else {
            json_array_append_new(
                responses,
                json_pack("{s:o}", "response_range",
                          do_range(ggw_kv_member(op, "requestRange"))));
        }
    }
    return responses;
}

/* Answer to a transaction, or NULL when the request is malformed. */
static json_t *
do_txn(const json_t *request)
{
    const json_t *compares = ggw_kv_member(request, "compare");
    const json_t *compare, *ops;
    bool holds = true, valid = true, writes;
    json_t *answer, *responses;
    size_t i;

    json_array_foreach(compares, i, compare)
    {
        holds = compare_holds(compare, &valid) && holds;
        if (!valid) {
            return NULL;
        }
    }
    ops = ggw_kv_member(request, holds ? "success" : "failure");
    if (!ops_valid(ops, &writes)) {
        return NULL;
    }
    responses = do_ops(ops, writes);
    srv.writes += writes ? 1 : 0;
    answer = json_pack("{s:o}", "header", header_json());
    if (holds) {
        json_object_set_new(answer, "succeeded", json_true());
    }
    if (json_array_size(responses) > 0) {
        json_object_set(answer, "responses", responses);
    }
    json_decref(responses);
    return answer;
}

static struct object *
visible_object(const char *key)
{
    GPtrArray *versions = g_hash_table_lookup(srv.objects, key);

    for (guint i = versions != NULL ? versions->len : 0; i > 0; i--) {
        struct object *o = g_ptr_array_index(versions, i - 1);

        if (o->visible_at <= uv_now(&srv.loop)) {
            return o;
        }
    }
    return NULL;
}

static void
get_object(h2o_req_t *req, const char *key)
{
    struct object *o = visible_object(key);
    ssize_t cond = h2o_find_header(&req->headers, H2O_TOKEN_IF_NONE_MATCH, -1);
    char *etag;
    size_t len;
    const char *body;

    srv.gets++;
    if (o == NULL) {
        send_error(req, 404, "no such object");
        return;
    }
    etag = h2o_mem_alloc_pool(&req->pool, 32);
    g_snprintf(etag, 32, "\"%" G_GUINT64_FORMAT "\"", (guint64)o->etag);
    h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_ETAG, NULL, etag,
                   strlen(etag));
    if (cond >= 0 &&
        h2o_memis(req->headers.entries[cond].value.base,
                  req->headers.entries[cond].value.len, etag, strlen(etag))) {
        req->res.status = 304;
        req->res.reason = "Not Modified";
        h2o_send_inline(req, "", 0);
        return;
    }
    body = g_bytes_get_data(o->body, &len);
    req->res.status = 200;
    req->res.reason = "OK";
    req->res.content_length = len;
    h2o_send_inline(req, body, len);
}

static void
put_object(const char *key, h2o_iovec_t body)
{
    GPtrArray *versions = g_hash_table_lookup(srv.objects, key);
    struct object *o = g_new0(struct object, 1);

    srv.puts++;
    if (versions == NULL) {
        versions = g_ptr_array_new_with_free_func(object_free);
        g_hash_table_insert(srv.objects, g_strdup(key), versions);
    }
    o->body = g_bytes_new(body.base, body.len);
    o->etag = ++srv.last_etag;
    o->visible_at =
        uv_now(&srv.loop) + (strcmp(key, VM_LIST) == 0 ? srv.lag : 0);
    g_ptr_array_add(versions, o);
}

static char *
path_of(const h2o_req_t *req)
{
    return g_strndup(req->path_normalized.base, req->path_normalized.len);
}

static bool
method_is(const h2o_req_t *req, const char *method)
{
    return h2o_memis(req->method.base, req->method.len, method,
                     strlen(method));
}

static bool
is_write(const h2o_req_t *req)
{
    g_autofree char *path = path_of(req);

    return strcmp(path, "/v3/kv/txn") == 0 || method_is(req, "PUT");
}

/* Handles a request; with @lose the effect happens but no answer is sent. */
static void
serve(h2o_req_t *req, bool lose)
{
    g_autofree char *path = path_of(req);
    bool txn = strcmp(path, "/v3/kv/txn") == 0;
    json_t *answer = NULL;

    if (method_is(req, "POST") && (txn || strcmp(path, "/v3/kv/range") == 0)) {
        json_t *body = json_loadb(req->entity.base, req->entity.len, 0, NULL);

        srv.txns += txn ? 1 : 0;
        srv.ranges += txn ? 0 : 1;
        answer = txn ? do_txn(body) : do_range(body);
        json_decref(body);
        if (!lose && answer != NULL) {
            send_json(req, 200, answer);
            return;
        }
        json_decref(answer);
    }
    else if (method_is(req, "PUT")) {
        put_object(path + 1, req->entity);
        if (!lose) {
            send_json(req, 200, json_object());
            return;
        }
    }
    else if (method_is(req, "GET")) {
        get_object(req, path + 1);
        return;
    }
    if (lose) {
        drop(req);
        return;
    }
    send_error(req, 400, "malformed request");
}

static bool
any_key_has_prefix(const json_t *value, const char *prefix)
{
    const char *name;
    json_t *member;
    size_t i;

    if (json_is_array(value)) {
        json_array_foreach(value, i, member)
        {
            if (any_key_has_prefix(member, prefix)) {
                return true;
            }
        }
        return false;
    }
    json_object_foreach((json_t *)value, name, member)
    {
        if (strcmp(name, "key") == 0) {
            g_autofree char *key = ggw_kv_text(value, "key");

            if (key != NULL && g_str_has_prefix(key, prefix)) {
                return true;
            }
        }
        else if (any_key_has_prefix(member, prefix)) {
            return true;
        }
    }
    return false;
}

static bool
fault_applies(const h2o_req_t *req)
{
    g_autofree char *path = path_of(req);
    struct fault *f = &srv.fault;
    json_t *body;
    bool applies;

    if (f->mode == FAULT_NONE || f->count == 0 ||
        (f->mode == FAULT_LOST_ANSWER && !is_write(req))) {
        return false;
    }
    if (f->prefix != NULL && !g_str_has_prefix(path + 1, f->prefix)) {
        body = json_loadb(req->entity.base, req->entity.len, 0, NULL);
        applies = any_key_has_prefix(body, f->prefix);
        json_decref(body);
        if (!applies) {
            return false;
        }
    }
    if (f->count > 0) {
        f->count--;
    }
    return true;
}

static void
close_timer_cb(uv_handle_t *handle)
{
    g_free(handle);
}

static void
delayed_dispose(void *item)
{
    struct delayed *d = item;

    if (d->timer != NULL) {
        uv_close((uv_handle_t *)d->timer, close_timer_cb);
        d->timer = NULL;
    }
}

static void
delay_cb(uv_timer_t *timer)
{
    struct delayed *d = timer->data;

    delayed_dispose(d);
    serve(d->req, false);
}

static void
delay(h2o_req_t *req, int64_t ms)
{
    struct delayed *d =
        h2o_mem_alloc_shared(&req->pool, sizeof(*d), delayed_dispose);

    d->req = req;
    d->timer = g_new0(uv_timer_t, 1);
    d->timer->data = d;
    uv_timer_init(&srv.loop, d->timer);
    uv_timer_start(d->timer, delay_cb, (uint64_t)ms, 0);
}

static void
set_fault(h2o_req_t *req)
{
    json_t *body = json_loadb(req->entity.base, req->entity.len, 0, NULL);
    const char *mode = json_string_value(json_object_get(body, "mode"));
    const char *prefix = json_string_value(json_object_get(body, "prefix"));
    const json_t *count = json_object_get(body, "count");
    int found = -1;

    for (size_t i = 0; i < G_N_ELEMENTS(fault_names); i++) {
        if (g_strcmp0(mode, fault_names[i]) == 0) {
            found = (int)i;
        }
    }
    if (found < 0) {
        send_error(req, 400, "unknown mode");
        json_decref(body);
        return;
    }
    g_free(srv.fault.prefix);
    srv.fault.mode = (enum fault_mode)found;
    srv.fault.ms = json_integer_value(json_object_get(body, "ms"));
    srv.fault.count = count != NULL ? json_integer_value(count) : -1;
    srv.fault.prefix = g_strdup(prefix);
    json_decref(body);
    send_json(req, 200, json_object());
}

static void
send_stats(h2o_req_t *req)
{
    send_json(req, 200,
              json_pack("{s:I, s:I, s:I, s:I, s:I, s:I}", "ranges",
                        (json_int_t)srv.ranges, "txns", (json_int_t)srv.txns,
                        "writes", (json_int_t)srv.writes, "gets",
                        (json_int_t)srv.gets, "puts", (json_int_t)srv.puts,
                        "fault_count", (json_int_t)srv.fault.count));
}

static int
on_request(h2o_handler_t *self, h2o_req_t *req)
{
    g_autofree char *path = path_of(req);

    if (strcmp(path, "/-/fault") == 0) {
        set_fault(req);
        return 0;
    }
    if (strcmp(path, "/-/stats") == 0) {
        send_stats(req);
        return 0;
    }
    if (!fault_applies(req)) {
        serve(req, false);
        return 0;
    }
    switch (srv.fault.mode) {
    case FAULT_DOWN:
        drop(req);
        break;
    case FAULT_SLOW:
        delay(req, srv.fault.ms);
        break;
    case FAULT_LOST_ANSWER:
        serve(req, true);
        break;
    case FAULT_NONE:
    case FAULT_SILENT:
        break;
    }
    return 0;
}

static void
close_connection_cb(uv_handle_t *handle)
{
    free(handle);
}

static void
on_connection(uv_stream_t *listener, int status)
{
    uv_tcp_t *conn;

    if (status != 0) {
        return;
    }
    conn = h2o_mem_alloc(sizeof(*conn));
    uv_tcp_init(&srv.loop, conn);
    if (uv_accept(listener, (uv_stream_t *)conn) != 0) {
        uv_close((uv_handle_t *)conn, close_connection_cb);
        return;
    }
    uv_tcp_nodelay(conn, 1);
    h2o_accept(&srv.accept_ctx,
               h2o_uv_socket_create((uv_stream_t *)conn, close_connection_cb));
}

static bool
open_listener(const char *address)
{
    g_auto(GStrv) parts = g_strsplit(address, ":", 2);
    struct sockaddr_in sa;
    int len = sizeof(sa);

    if (g_strv_length(parts) != 2 ||
        uv_ip4_addr(parts[0], atoi(parts[1]), &sa) != 0) {
        return false;
    }
    uv_tcp_init(&srv.loop, &srv.listener);
    if (uv_tcp_bind(&srv.listener, (struct sockaddr *)&sa, 0) != 0 ||
        uv_listen((uv_stream_t *)&srv.listener, 128, on_connection) != 0 ||
        uv_tcp_getsockname(&srv.listener, (struct sockaddr *)&sa, &len) != 0) {
        return false;
    }
    printf("%d\n", ntohs(sa.sin_port));
    fflush(stdout);
    return true;
}

static void
on_signal(uv_signal_t *handle, int number)
{
    uv_stop(&srv.loop);
}

static void
set_up_h2o(void)
{
    h2o_hostconf_t *host;
    h2o_handler_t *handler;

    h2o_config_init(&srv.config);
    srv.config.server_name = h2o_iovec_init(H2O_STRLIT("platform"));
    srv.config.http1.req_timeout = 60 * 1000;
    host = h2o_config_register_host(
        &srv.config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    handler = h2o_create_handler(h2o_config_register_path(host, "/", 0),
                                 sizeof(*handler));
    handler->on_req = on_request;
    h2o_context_init(&srv.ctx, &srv.loop, &srv.config);
    srv.accept_ctx.ctx = &srv.ctx;
    srv.accept_ctx.hosts = srv.config.hosts;
}

struct arguments {
    const char *listen;
    uint64_t lag;
};

static const struct argp_option options[] = {
    {"listen", 'l', "IP:PORT", 0, "address; port 0 prints the port chosen", 0},
    {"lag", 'g', "MS", 0, "delay until a new VM list is visible", 0},
    {0},
};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    struct arguments *a = state->input;

    switch (key) {
    case 'l':
        a->listen = arg;
        return 0;
    case 'g':
        a->lag = g_ascii_strtoull(arg, NULL, 10);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

int
main(int argc, char **argv)
{
    static const struct argp argp = {
        .options = options,
        .parser = parse_option,
        .doc = "Stand-in for the platform's table service and object store.",
    };
    struct arguments args = {.listen = "127.0.0.1:0"};

    argp_parse(&argp, argc, argv, 0, NULL, &args);
    signal(SIGPIPE, SIG_IGN);
    uv_loop_init(&srv.loop);
    srv.lag = args.lag;
    srv.fault.count = -1;
    srv.table = g_tree_new_full(compare_keys, NULL, g_free, kv_free);
    srv.objects = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)g_ptr_array_unref);
    set_up_h2o();
    if (!open_listener(args.listen)) {
        fprintf(stderr, "cannot listen on %s\n", args.listen);
        return 1;
    }
    uv_signal_init(&srv.loop, &srv.signals[0]);
    uv_signal_start(&srv.signals[0], on_signal, SIGTERM);
    uv_signal_init(&srv.loop, &srv.signals[1]);
    uv_signal_start(&srv.signals[1], on_signal, SIGINT);
    uv_run(&srv.loop, UV_RUN_DEFAULT);
    return 0;
}
