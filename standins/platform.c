#include <argp.h>
#include <glib.h>
#include <h2o.h>
#include <jansson.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "standins/store/rows.h"

/**
 * DOC: stand-in for the platform
 *
 * Serves the platform's published calls for table rows with a change feed and
 * for objects. All data is kept in memory. POST /-/fault injects faults; its
 * modes "copy" and "return" take a copy of the rows and return to it, as a
 * store that has lost its last changes. GET /-/stats returns the number of
 * requests handled by kind.
 */

#define BLOB_GET "/v1/blob-get/"
#define BLOB_PUT "/v1/blob-put/"

/* New versions of this object become visible after the time in --lag. */
#define VM_LIST "platform/vms.json"

/* Longest decimal number of 64 bits, with the NUL byte. */
#define ERA_TEXT_SIZE 21

enum fault_mode {
    FAULT_NONE,
    FAULT_DOWN,
    FAULT_SLOW,
    FAULT_SILENT,
    FAULT_LOST_RESPONSE,
    FAULT_HELD_WRITE, /* until the next POST /-/fault */
};

static const char *const fault_names[] = {
    "none", "down", "slow", "silent", "lost-answer", "held-write"};

struct fault {
    enum fault_mode mode;
    int64_t ms;    /* added latency of FAULT_SLOW */
    int64_t count; /* requests still to be affected; negative: no limit */
    char *prefix;  /* affects only keys that start with it; NULL: all */
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
    struct store_rows *rows;
    GQueue feeds;        /* struct feed */
    GHashTable *objects; /* key to GPtrArray of struct object */
    uint64_t last_etag;
    uint64_t lag_ms; /* of VM_LIST */
    struct fault fault;
    GQueue held_writes; /* struct held_write */
    int64_t ranges, feed_calls, txns, gets, puts;
} srv;

/* A request delayed by FAULT_SLOW; freed with the request. */
struct delayed {
    uv_timer_t *timer;
    h2o_req_t *req;
};

static void
object_free(void *item)
{
    struct object *o = item;

    g_bytes_unref(o->body);
    g_free(o);
}

static int64_t
loop_now_ms(void)
{
    return (int64_t)uv_now(&srv.loop);
}

static char *
request_path(const h2o_req_t *req)
{
    return g_strndup(req->path_normalized.base, req->path_normalized.len);
}

static bool
method_is(const h2o_req_t *req, const char *method)
{
    return h2o_memis(req->method.base, req->method.len, method,
                     strlen(method));
}

/* Adds the header Store-Era, which all responses of published calls have. */
static void
add_era(h2o_req_t *req)
{
    g_autofree char *path = request_path(req);
    char *era;

    if (!g_str_has_prefix(path, "/v1/")) {
        return;
    }
    era = h2o_mem_alloc_pool(&req->pool, ERA_TEXT_SIZE);
    g_snprintf(era, ERA_TEXT_SIZE, "%" G_GINT64_FORMAT,
               (gint64)store_rows_era(srv.rows));
    h2o_add_header_by_str(&req->pool, &req->res.headers,
                          H2O_STRLIT("store-era"), 0, NULL, era, strlen(era));
}

static void
send_json(h2o_req_t *req, int status, json_t *body)
{
    char *text = json_dumps(body, JSON_COMPACT);

    req->res.status = status;
    req->res.reason = status == 200 ? "OK" : "Error";
    add_era(req);
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
 * Closes the connection without a response. The response that h2o still
 * writes fails on the shut down socket, and h2o then frees the connection.
 */
static void
close_without_response(h2o_req_t *req)
{
    h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);

    shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
    req->http1_is_persistent = 0;
    send_error(req, 503, "closed");
}

/* Returns an unescaped value from the query string, to be freed, or NULL. */
static char *
query_parameter(const h2o_req_t *req, const char *name)
{
    g_autofree char *query = NULL;
    g_auto(GStrv) pairs = NULL;
    size_t len = strlen(name);

    if (req->query_at == SIZE_MAX) {
        return NULL;
    }
    query = g_strndup(req->path.base + req->query_at + 1,
                      req->path.len - req->query_at - 1);
    pairs = g_strsplit(query, "&", -1);
    for (char **p = pairs; *p != NULL; p++) {
        if (strncmp(*p, name, len) == 0 && (*p)[len] == '=') {
            return g_uri_unescape_string(*p + len + 1, NULL);
        }
    }
    return NULL;
}

static struct object *
find_visible_object(const char *key)
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
    struct object *o = find_visible_object(key);
    ssize_t if_none_match =
        h2o_find_header(&req->headers, H2O_TOKEN_IF_NONE_MATCH, -1);
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
    if (if_none_match >= 0 &&
        h2o_memis(req->headers.entries[if_none_match].value.base,
                  req->headers.entries[if_none_match].value.len, etag,
                  strlen(etag))) {
        add_era(req);
        req->res.status = 304;
        req->res.reason = "Not Modified";
        h2o_send_inline(req, "", 0);
        return;
    }
    body = g_bytes_get_data(o->body, &len);
    add_era(req);
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
        uv_now(&srv.loop) + (strcmp(key, VM_LIST) == 0 ? srv.lag_ms : 0);
    g_ptr_array_add(versions, o);
}

/**
 * struct feed - a feed request that waits for a change; freed with @req
 * @timer: ends the wait with an empty response
 * @after: version after which changes are reported
 * @link: node of srv.feeds
 */
struct feed {
    uv_timer_t *timer;
    h2o_req_t *req;
    char *table;
    int64_t after;
    GList link;
};

static void
timer_closed_cb(uv_handle_t *handle)
{
    g_free(handle);
}

static void
feed_dispose(void *item)
{
    struct feed *f = item;

    if (f->timer != NULL) {
        uv_close((uv_handle_t *)f->timer, timer_closed_cb);
        f->timer = NULL;
        g_queue_unlink(&srv.feeds, &f->link);
        g_free(f->table);
    }
}

static void
feed_respond(struct feed *f)
{
    h2o_req_t *req = f->req;
    json_t *response = store_rows_response(
        srv.rows, store_rows_changed_after(srv.rows, f->table, f->after),
        false, loop_now_ms());

    feed_dispose(f);
    send_json(req, 200, response);
}

/* Ends all waiting feeds: the store has returned from an older copy. */
static void
refuse_feeds(void)
{
    while (!g_queue_is_empty(&srv.feeds)) {
        struct feed *f = g_queue_peek_head(&srv.feeds);
        h2o_req_t *req = f->req;

        feed_dispose(f);
        send_error(req, 410, "history is lost");
    }
}

static void
feed_timer_cb(uv_timer_t *timer)
{
    feed_respond(timer->data);
}

/* Responds to the waiting feeds whose table the last transaction changed. */
static void
notify_feeds(void)
{
    GList *next;

    for (GList *node = srv.feeds.head; node != NULL; node = next) {
        struct feed *f = node->data;
        json_t *rows = store_rows_changed_after(srv.rows, f->table, f->after);
        bool found = json_array_size(rows) > 0;

        next = node->next;
        json_decref(rows);
        if (found) {
            feed_respond(f);
        }
    }
}

static void
feed_wait(h2o_req_t *req, const char *table, int64_t after, uint64_t wait)
{
    struct feed *f =
        h2o_mem_alloc_shared(&req->pool, sizeof(*f), feed_dispose);

    memset(f, 0, sizeof(*f));
    f->req = req;
    f->table = g_strdup(table);
    f->after = after;
    f->timer = g_new0(uv_timer_t, 1);
    f->timer->data = f;
    f->link.data = f;
    g_queue_push_tail_link(&srv.feeds, &f->link);
    uv_timer_init(&srv.loop, f->timer);
    uv_timer_start(f->timer, feed_timer_cb, wait, 0);
}

static void
serve_feed(h2o_req_t *req)
{
    g_autofree char *table = query_parameter(req, "Table");
    g_autofree char *after_text = query_parameter(req, "after");
    g_autofree char *wait_text = query_parameter(req, "WaitMs");
    int64_t after;
    json_t *rows;

    srv.feed_calls++;
    if (table == NULL || after_text == NULL || wait_text == NULL) {
        send_error(req, 400, "malformed request");
        return;
    }
    after = g_ascii_strtoll(after_text, NULL, 10);
    if (!store_rows_has_history(srv.rows, after)) {
        send_error(req, 410, "history is lost");
        return;
    }
    rows = store_rows_changed_after(srv.rows, table, after);
    if (json_array_size(rows) > 0) {
        send_json(req, 200,
                  store_rows_response(srv.rows, rows, false, loop_now_ms()));
        return;
    }
    json_decref(rows);
    feed_wait(req, table, after, g_ascii_strtoull(wait_text, NULL, 10));
}

static bool
is_txn(const h2o_req_t *req)
{
    g_autofree char *path = request_path(req);

    return method_is(req, "POST") && strcmp(path, "/v1/rows-tx") == 0;
}

static bool
is_write(const h2o_req_t *req)
{
    return is_txn(req) || method_is(req, "PUT");
}

static void
serve_txn(h2o_req_t *req, bool lose_response)
{
    json_t *body = json_loadb(req->entity.base, req->entity.len, 0, NULL);
    int status = 400;
    json_t *response;

    srv.txns++;
    response = store_rows_apply(srv.rows, body, loop_now_ms(), &status);
    json_decref(body);
    notify_feeds();
    if (lose_response) {
        json_decref(response);
        close_without_response(req);
    }
    else if (response != NULL) {
        send_json(req, status, response);
    }
    else {
        send_error(req, 400, "malformed request");
    }
}

static void
serve_range(h2o_req_t *req)
{
    g_autofree char *table = query_parameter(req, "Table");
    g_autofree char *from = query_parameter(req, "From");
    g_autofree char *target = query_parameter(req, "Target");
    json_t *response = table != NULL ? store_rows_range(srv.rows, table, from,
                                                        target, loop_now_ms())
                                     : NULL;

    srv.ranges++;
    if (response != NULL) {
        send_json(req, 200, response);
    }
    else {
        send_error(req, 400, "malformed request");
    }
}

/*
 * Handles a request. With @lose_response, writes take effect, but the
 * connection is closed without a response.
 */
static void
serve(h2o_req_t *req, bool lose_response)
{
    g_autofree char *path = request_path(req);

    if (is_txn(req)) {
        serve_txn(req, lose_response);
    }
    else if (strcmp(path, "/v1/rows-get") == 0) {
        serve_range(req);
    }
    else if (strcmp(path, "/v1/rows-feed") == 0) {
        serve_feed(req);
    }
    else if (method_is(req, "PUT") && g_str_has_prefix(path, BLOB_PUT)) {
        put_object(path + strlen(BLOB_PUT), req->entity);
        if (lose_response) {
            close_without_response(req);
        }
        else {
            send_json(req, 200, json_object());
        }
    }
    else if (method_is(req, "GET") && g_str_has_prefix(path, BLOB_GET)) {
        get_object(req, path + strlen(BLOB_GET));
    }
    else if (method_is(req, "GET")) {
        get_object(req, path + 1); /* an object that a test has stored */
    }
    else {
        send_error(req, 400, "malformed request");
    }
}

static bool
any_entry_has_prefix(const json_t *list, const char *prefix)
{
    const json_t *entry;
    size_t i;

    json_array_foreach(list, i, entry)
    {
        g_autofree char *key = store_entry_key(entry);

        if (key != NULL && g_str_has_prefix(key, prefix)) {
            return true;
        }
    }
    return false;
}

/* Returns whether a request names a row or an object with a prefix. */
static bool
request_has_prefix(const h2o_req_t *req, const char *prefix)
{
    g_autofree char *path = request_path(req);
    g_autofree char *table = query_parameter(req, "Table");
    g_autofree char *from = query_parameter(req, "From");
    g_autofree char *key = NULL;
    json_t *body;
    bool found;

    if (is_txn(req)) {
        body = json_loadb(req->entity.base, req->entity.len, 0, NULL);
        found =
            any_entry_has_prefix(json_object_get(body, "Put"), prefix) ||
            any_entry_has_prefix(json_object_get(body, "Expected"), prefix);
        json_decref(body);
        return found;
    }
    if (table != NULL) {
        key = store_row_key(table, from != NULL ? from : "");
        return g_str_has_prefix(key, prefix);
    }
    return g_str_has_prefix(path, BLOB_GET) &&
           g_str_has_prefix(path + strlen(BLOB_GET), prefix);
}

static bool
fault_applies(const h2o_req_t *req)
{
    struct fault *f = &srv.fault;

    bool writes_only =
        f->mode == FAULT_LOST_RESPONSE || f->mode == FAULT_HELD_WRITE;

    if (f->mode == FAULT_NONE || f->count == 0 ||
        (writes_only && !is_write(req)) ||
        (f->prefix != NULL && !request_has_prefix(req, f->prefix))) {
        return false;
    }
    if (f->count > 0) {
        f->count--;
    }
    return true;
}

static void
delayed_dispose(void *item)
{
    struct delayed *d = item;

    if (d->timer != NULL) {
        uv_close((uv_handle_t *)d->timer, timer_closed_cb);
        d->timer = NULL;
    }
}

static void
delay_expired_cb(uv_timer_t *timer)
{
    struct delayed *d = timer->data;

    delayed_dispose(d);
    serve(d->req, false);
}

static void
delay_request(h2o_req_t *req, int64_t ms)
{
    struct delayed *d =
        h2o_mem_alloc_shared(&req->pool, sizeof(*d), delayed_dispose);

    d->req = req;
    d->timer = g_new0(uv_timer_t, 1);
    d->timer->data = d;
    uv_timer_init(&srv.loop, d->timer);
    uv_timer_start(d->timer, delay_expired_cb, (uint64_t)ms, 0);
}

/* A write held by FAULT_HELD_WRITE; freed with the request. */
struct held_write {
    h2o_req_t *req; /* NULL once served */
    GList link;     /* node of srv.held_writes */
};

static void
held_write_dispose(void *item)
{
    struct held_write *w = item;

    if (w->req != NULL) {
        g_queue_unlink(&srv.held_writes, &w->link);
    }
}

static void
hold_write(h2o_req_t *req)
{
    struct held_write *w =
        h2o_mem_alloc_shared(&req->pool, sizeof(*w), held_write_dispose);

    w->req = req;
    w->link = (GList){.data = w};
    g_queue_push_tail_link(&srv.held_writes, &w->link);
}

static void
serve_held_writes(void)
{
    GList *node;

    while ((node = g_queue_pop_head_link(&srv.held_writes)) != NULL) {
        struct held_write *w = node->data;
        h2o_req_t *req = w->req;

        w->req = NULL;
        serve(req, false);
    }
}

/*
 * Handles a mode that takes effect once and leaves the present fault in force.
 * Returns the status of the response; 0 for any other mode.
 */
static int
apply_event(const char *mode)
{
    if (g_strcmp0(mode, "compact") == 0) {
        store_rows_compact(srv.rows);
        return 200;
    }
    if (g_strcmp0(mode, "copy") == 0) {
        store_rows_keep_copy(srv.rows);
        return 200;
    }
    if (g_strcmp0(mode, "return") == 0) {
        if (!store_rows_return(srv.rows)) {
            return 409;
        }
        refuse_feeds();
        return 200;
    }
    return 0;
}

static void
set_fault(h2o_req_t *req)
{
    json_t *body = json_loadb(req->entity.base, req->entity.len, 0, NULL);
    const char *mode = json_string_value(json_object_get(body, "mode"));
    const char *prefix = json_string_value(json_object_get(body, "prefix"));
    const json_t *count = json_object_get(body, "count");
    int event_status = apply_event(mode);
    int mode_index = -1;

    for (size_t i = 0; i < G_N_ELEMENTS(fault_names); i++) {
        if (g_strcmp0(mode, fault_names[i]) == 0) {
            mode_index = (int)i;
        }
    }
    if (event_status != 0) {
        send_json(req, event_status, json_object());
        json_decref(body);
        return;
    }
    if (mode_index < 0) {
        send_error(req, 400, "unknown mode");
        json_decref(body);
        return;
    }
    g_free(srv.fault.prefix);
    srv.fault.mode = (enum fault_mode)mode_index;
    srv.fault.ms = json_integer_value(json_object_get(body, "ms"));
    srv.fault.count = count != NULL ? json_integer_value(count) : -1;
    srv.fault.prefix = g_strdup(prefix);
    json_decref(body);
    serve_held_writes();
    send_json(req, 200, json_object());
}

static void
send_stats(h2o_req_t *req)
{
    send_json(req, 200,
              json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "ranges",
                        (json_int_t)srv.ranges, "feeds",
                        (json_int_t)srv.feed_calls, "txns",
                        (json_int_t)srv.txns, "writes",
                        (json_int_t)store_rows_writes(srv.rows), "gets",
                        (json_int_t)srv.gets, "puts", (json_int_t)srv.puts,
                        "fault_count", (json_int_t)srv.fault.count));
}

static int
on_request(h2o_handler_t *self, h2o_req_t *req)
{
    g_autofree char *path = request_path(req);

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
        close_without_response(req);
        break;
    case FAULT_SLOW:
        delay_request(req, srv.fault.ms);
        break;
    case FAULT_LOST_RESPONSE:
        serve(req, true);
        break;
    case FAULT_HELD_WRITE:
        hold_write(req);
        break;
    case FAULT_NONE:
    case FAULT_SILENT:
        break;
    }
    return 0;
}

static void
connection_closed_cb(uv_handle_t *handle)
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
        uv_close((uv_handle_t *)conn, connection_closed_cb);
        return;
    }
    uv_tcp_nodelay(conn, 1);
    h2o_accept(&srv.accept_ctx, h2o_uv_socket_create((uv_stream_t *)conn,
                                                     connection_closed_cb));
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
    uint64_t lag_ms;
};

static const struct argp_option options[] = {
    {"listen", 'l', "IP:PORT", 0,
     "listening address; the port is printed, port 0 takes an unused one", 0},
    {"lag", 'g', "MS", 0,
     "delay until a new version of the VM list is visible", 0},
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
        a->lag_ms = g_ascii_strtoull(arg, NULL, 10);
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
    srv.lag_ms = args.lag_ms;
    srv.fault.count = -1;
    g_queue_init(&srv.feeds);
    srv.rows = store_rows_new();
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
