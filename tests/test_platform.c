#include <CUnit/Basic.h>
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "common/error.h"
#include "ctl/blocking.h"
#include "platform/store.h"
#include "tests/platform_process.h"

/* Timeout of requests that must be answered; long enough on a busy machine. */
#define LONG_TIMEOUT_MS 10000

/* Timeout of requests that are expected to time out. */
#define SHORT_TIMEOUT_MS 200

static struct platform_process platform_server;

static struct ggw_txn_result *
run_txn(uint16_t port, struct ggw_txn *txn)
{
    struct ggw_blocking_request r = {"127.0.0.1", port, &txn->base, NULL};

    CU_ASSERT_TRUE_FATAL(ggw_blocking_run(&r, 1, NULL));
    return (struct ggw_txn_result *)r.result;
}

static enum ggw_platform_status
run_status(uint16_t port, struct ggw_txn *txn)
{
    struct ggw_txn_result *result = run_txn(port, txn);
    enum ggw_platform_status status = result->status;

    result->base.ops->destroy(&result->base);
    return status;
}

static struct ggw_object_result *
run_object(const char *key, const char *etag)
{
    struct ggw_blocking_request r = {
        "127.0.0.1", platform_server.port,
        ggw_object_request_new(key, etag, LONG_TIMEOUT_MS), NULL};

    CU_ASSERT_TRUE_FATAL(ggw_blocking_run(&r, 1, NULL));
    return (struct ggw_object_result *)r.result;
}

static struct ggw_txn *
insert_txn(const char *key, const char *value, ggw_ms timeout)
{
    struct ggw_txn *txn = ggw_txn_new(timeout);

    ggw_txn_compare(txn, key, 0);
    ggw_txn_put(txn, key, value);
    return txn;
}

static struct ggw_txn *
read_txn(const char *key)
{
    struct ggw_txn *txn = ggw_txn_new(LONG_TIMEOUT_MS);

    ggw_txn_read(txn, key);
    return txn;
}

/* Returns the number of rows with a prefix that ends in "/", or with a key. */
static guint
count_rows(const char *key)
{
    struct ggw_txn_result *result =
        run_txn(platform_server.port, read_txn(key));
    guint n = result->rows->len;

    CU_ASSERT_EQUAL(result->status, GGW_PLATFORM_OK);
    result->base.ops->destroy(&result->base);
    return n;
}

/* Guards against a compare that is not sent, or that the store ignores. */
static void
test_transactions(void)
{
    struct ggw_txn *txn;
    struct ggw_txn_result *result;
    const struct ggw_row *row;
    int64_t revision;

    CU_ASSERT_EQUAL(run_status(platform_server.port,
                               insert_txn("t/a", "1", LONG_TIMEOUT_MS)),
                    GGW_PLATFORM_OK);
    txn = insert_txn("t/a", "2", LONG_TIMEOUT_MS);
    ggw_txn_read(txn, "t/a");
    result = run_txn(platform_server.port, txn);
    CU_ASSERT_EQUAL(result->status, GGW_PLATFORM_CONFLICT);
    CU_ASSERT_EQUAL_FATAL(result->rows->len, 1);
    row = &g_array_index(result->rows, struct ggw_row, 0);
    CU_ASSERT_STRING_EQUAL(row->key, "t/a");
    CU_ASSERT_STRING_EQUAL(row->value, "1");
    revision = row->mod_revision;
    result->base.ops->destroy(&result->base);

    txn = ggw_txn_new(LONG_TIMEOUT_MS);
    ggw_txn_compare(txn, "t/a", revision);
    ggw_txn_put(txn, "t/a", "3");
    ggw_txn_put(txn, "t/b", "");
    CU_ASSERT_EQUAL(run_status(platform_server.port, txn), GGW_PLATFORM_OK);
    CU_ASSERT_EQUAL(count_rows("t/"), 2);
    CU_ASSERT_EQUAL(count_rows("t/b"), 1);

    txn = ggw_txn_new(LONG_TIMEOUT_MS);
    ggw_txn_compare(txn, "t/a", revision);
    ggw_txn_put(txn, "t/a", NULL);
    CU_ASSERT_EQUAL(run_status(platform_server.port, txn),
                    GGW_PLATFORM_CONFLICT);
    txn = ggw_txn_new(LONG_TIMEOUT_MS);
    ggw_txn_put(txn, "t/a", NULL);
    CU_ASSERT_EQUAL(run_status(platform_server.port, txn), GGW_PLATFORM_OK);
    CU_ASSERT_EQUAL(count_rows("t/a"), 0);
}

/* Guards against unchanged objects whose body is transferred again. */
static void
test_objects(void)
{
    struct ggw_object_result *o = run_object("bucket/absent", NULL);
    g_autofree char *etag = NULL;

    CU_ASSERT_EQUAL(o->status, GGW_PLATFORM_OK);
    CU_ASSERT_PTR_NULL(o->body);
    o->base.ops->destroy(&o->base);

    platform_process_put_object(&platform_server, "bucket/key", "one");
    o = run_object("bucket/key", NULL);
    CU_ASSERT_EQUAL(o->status, GGW_PLATFORM_OK);
    CU_ASSERT_PTR_NOT_NULL_FATAL(o->body);
    CU_ASSERT_EQUAL(g_bytes_get_size(o->body), 3);
    CU_ASSERT_PTR_NOT_NULL_FATAL(o->etag);
    etag = g_strdup(o->etag);
    o->base.ops->destroy(&o->base);

    o = run_object("bucket/key", etag);
    CU_ASSERT_EQUAL(o->status, GGW_PLATFORM_NOT_MODIFIED);
    o->base.ops->destroy(&o->base);

    platform_process_put_object(&platform_server, "bucket/key", "second");
    o = run_object("bucket/key", etag);
    CU_ASSERT_EQUAL(o->status, GGW_PLATFORM_OK);
    CU_ASSERT_PTR_NOT_NULL_FATAL(o->body);
    CU_ASSERT_EQUAL(g_bytes_get_size(o->body), 6);
    o->base.ops->destroy(&o->base);
}

/* Guards against a refused connection that is reported as a possible write. */
static void
test_refused(void)
{
    CU_ASSERT_EQUAL(
        run_status(unused_port(), insert_txn("r/a", "1", LONG_TIMEOUT_MS)),
        GGW_PLATFORM_NOT_SENT);
}

/*
 * Guards against a write that was sent but is reported as not sent when the
 * store closes the connection, is silent, loses the response or is slow.
 */
static void
test_faults_after_sending(void)
{
    platform_process_fault(&platform_server,
                           "{\"mode\":\"down\",\"count\":1}");
    CU_ASSERT_EQUAL(run_status(platform_server.port,
                               insert_txn("f/a", "1", LONG_TIMEOUT_MS)),
                    GGW_PLATFORM_UNKNOWN);
    CU_ASSERT_EQUAL(count_rows("f/"), 0);

    platform_process_fault(&platform_server,
                           "{\"mode\":\"silent\",\"count\":1}");
    CU_ASSERT_EQUAL(run_status(platform_server.port,
                               insert_txn("f/b", "1", SHORT_TIMEOUT_MS)),
                    GGW_PLATFORM_UNKNOWN);
    CU_ASSERT_EQUAL(count_rows("f/"), 0);

    platform_process_fault(&platform_server,
                           "{\"mode\":\"lost-answer\",\"count\":1}");
    CU_ASSERT_EQUAL(run_status(platform_server.port,
                               insert_txn("f/c", "1", LONG_TIMEOUT_MS)),
                    GGW_PLATFORM_UNKNOWN);
    CU_ASSERT_EQUAL(count_rows("f/"), 1);

    platform_process_fault(&platform_server,
                           "{\"mode\":\"slow\",\"ms\":60000,\"count\":1}");
    CU_ASSERT_EQUAL(run_status(platform_server.port,
                               insert_txn("f/d", "1", SHORT_TIMEOUT_MS)),
                    GGW_PLATFORM_UNKNOWN);

    platform_process_fault(&platform_server,
                           "{\"mode\":\"slow\",\"ms\":50,\"count\":1}");
    CU_ASSERT_EQUAL(run_status(platform_server.port,
                               insert_txn("f/e", "1", LONG_TIMEOUT_MS)),
                    GGW_PLATFORM_OK);
}

/*
 * Guards against an unbounded number of requests in flight during an outage,
 * and against queued requests that end later than their timeout.
 */
static void
test_limit_in_flight(void)
{
    enum {
        N = 40,
        IN_FLIGHT = 16
    };
    struct ggw_blocking_request r[N];
    int unknown = 0, not_sent = 0;

    platform_process_fault(&platform_server, "{\"mode\":\"silent\"}");
    for (int i = 0; i < N; i++) {
        g_autofree char *key = g_strdup_printf("b/%d", i);
        /* The queued requests time out before an active one ends. */
        ggw_ms timeout = i < IN_FLIGHT ? 1000 : SHORT_TIMEOUT_MS;

        r[i] = (struct ggw_blocking_request){
            "127.0.0.1", platform_server.port,
            &insert_txn(key, "1", timeout)->base, NULL};
    }
    CU_ASSERT_TRUE_FATAL(ggw_blocking_run(r, N, NULL));
    for (int i = 0; i < N; i++) {
        enum ggw_platform_status s =
            ((struct ggw_txn_result *)r[i].result)->status;

        unknown += s == GGW_PLATFORM_UNKNOWN;
        not_sent += s == GGW_PLATFORM_NOT_SENT;
    }
    ggw_blocking_clear(r, N);
    CU_ASSERT_EQUAL(unknown, IN_FLIGHT);
    CU_ASSERT_EQUAL(not_sent, N - IN_FLIGHT);
    platform_process_fault(&platform_server, "{\"mode\":\"none\"}");
}

/* Guards against reuse of a connection whose last request timed out. */
static void
test_no_reuse_after_timeout(void)
{
    enum {
        N = 17
    };
    struct ggw_blocking_request r[N];

    platform_process_fault(&platform_server,
                           "{\"mode\":\"silent\",\"count\":16}");
    for (int i = 0; i < N; i++) {
        g_autofree char *key = g_strdup_printf("n/%d", i);
        ggw_ms timeout = i < N - 1 ? 1000 : LONG_TIMEOUT_MS;

        r[i] = (struct ggw_blocking_request){
            "127.0.0.1", platform_server.port,
            &insert_txn(key, "1", timeout)->base, NULL};
    }
    CU_ASSERT_TRUE_FATAL(ggw_blocking_run(r, N, NULL));
    CU_ASSERT_EQUAL(((struct ggw_txn_result *)r[0].result)->status,
                    GGW_PLATFORM_UNKNOWN);
    CU_ASSERT_EQUAL(((struct ggw_txn_result *)r[N - 1].result)->status,
                    GGW_PLATFORM_OK);
    ggw_blocking_clear(r, N);
    CU_ASSERT_EQUAL(count_rows("n/"), 1);
}

static bool
decodes(const char *text)
{
    struct ggw_store_response response = {
        .rows = g_ptr_array_new_with_free_func(ggw_store_row_free),
    };
    bool ok = ggw_store_decode("test", text, strlen(text), &response);

    g_ptr_array_unref(response.rows);
    return ok;
}

/* Guards against accepting a response that is not one of the store. */
static void
test_malformed_responses(void)
{
    CU_ASSERT_TRUE(decodes("{\"Rows\":[],\"Ver\":7}"));
    CU_ASSERT_FALSE(decodes(""));
    CU_ASSERT_FALSE(decodes("[]"));
    CU_ASSERT_FALSE(decodes("{\"Rows\":[]}"));
    CU_ASSERT_FALSE(decodes("{\"Ver\":7}"));
    CU_ASSERT_FALSE(decodes("{\"Rows\":[],\"Ver\":7"));
    CU_ASSERT_FALSE(decodes("{\"Rows\":{},\"Ver\":7}"));
    CU_ASSERT_FALSE(decodes("{\"Rows\":[{\"Ver\":1}],\"Ver\":7}"));
    CU_ASSERT_FALSE(
        decodes("{\"Rows\":[{\"Key\":\"a\",\"Ver\":\"1x\"}],\"Ver\":7}"));
}

/* Guards against a prefix read that misses rows or reads another table. */
static void
test_prefixes(void)
{
    enum {
        ROWS = 1203 /* more than two pages of the store */
    };
    struct ggw_txn *txn = ggw_txn_new(LONG_TIMEOUT_MS);

    for (int i = 0; i < ROWS; i++) {
        g_autofree char *key = g_strdup_printf("many/p/%04d", i);

        ggw_txn_put(txn, key, "1");
        if (i % 90 == 89 || i == ROWS - 1) {
            CU_ASSERT_EQUAL(run_status(platform_server.port, txn),
                            GGW_PLATFORM_OK);
            txn = ggw_txn_new(LONG_TIMEOUT_MS);
        }
    }
    txn->base.ops->destroy(&txn->base);
    CU_ASSERT_EQUAL(run_status(platform_server.port,
                               insert_txn("many/q", "1", LONG_TIMEOUT_MS)),
                    GGW_PLATFORM_OK);
    CU_ASSERT_EQUAL(count_rows("many/p/"), ROWS);
    CU_ASSERT_EQUAL(count_rows("many/"), ROWS + 1);
    CU_ASSERT_EQUAL(count_rows("many/p/0007"), 1);
    CU_ASSERT_EQUAL(count_rows("many/p"), 0);
}

static int
listen_on(int backlog, uint16_t *port)
{
    struct sockaddr_in sa = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t len = sizeof(sa);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    g_assert_true(bind(fd, (struct sockaddr *)&sa, len) == 0);
    g_assert_true(listen(fd, backlog) == 0);
    g_assert_true(getsockname(fd, (struct sockaddr *)&sa, &len) == 0);
    *port = ntohs(sa.sin_port);
    return fd;
}

#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK_HEAD "transfer-encoding: chunked\r\n\r\n"

static const char *const broken_responses[] = {
    "",
    "H",
    "not HTTP\r\n\r\n",
    OK_HEAD "content-length: 30\r\n",
    OK_HEAD "content-length: 30\r\n\r\n{\"Ver\":12345}",
    CHUNKED "c\r\n{\"Ver\":12345\r\n",
    CHUNKED "20\r\n{\"Ver\":12345}",
    CHUNKED "zz\r\n{\"Ver\":12345}\r\n0\r\n\r\n",
    OK_HEAD "content-length: 2\r\n\r\n{}",
    OK_HEAD "\r\n{\"Ver\":12345",
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 400 Bad Request\r\ncontent-length: 2\r\n\r\n{}",
    "HTTP/1.1 500 Error\r\ncontent-length: 13\r\n\r\n{\"Ver\":12345}",
};

/* Sends the next broken response on each connection and closes it. */
static void
serve_broken_responses(int listener)
{
    char buf[4096];

    for (size_t i = 0; i < G_N_ELEMENTS(broken_responses); i++) {
        const char *response = broken_responses[i];
        int fd = accept(listener, NULL, NULL);

        if (read(fd, buf, sizeof(buf)) < 0 ||
            write(fd, response, strlen(response)) < 0) {
            _exit(1);
        }
        close(fd);
    }
    _exit(0);
}

/*
 * Guards against a truncated or malformed response that is taken as proof that
 * the write did or did not take effect.
 */
static void
test_broken_responses(void)
{
    uint16_t port;
    int status, fd = listen_on(8, &port);
    pid_t pid = fork();

    if (pid == 0) {
        serve_broken_responses(fd);
    }
    for (size_t i = 0; i < G_N_ELEMENTS(broken_responses); i++) {
        enum ggw_platform_status s =
            run_status(port, insert_txn("x/a", "1", LONG_TIMEOUT_MS));

        CU_ASSERT_EQUAL(s, GGW_PLATFORM_UNKNOWN);
        if (s != GGW_PLATFORM_UNKNOWN) {
            fprintf(stderr, "broken response %zu: status %d\n", i, (int)s);
        }
    }
    waitpid(pid, &status, 0);
    CU_ASSERT_EQUAL(status, 0);
    close(fd);
}

/* Guards against a connection attempt that never times out. */
static void
test_connect_timeout(void)
{
    enum {
        FILLERS = 4,
    };
    struct sockaddr_in sa = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    int fillers[FILLERS];
    uint16_t port;
    int fd = listen_on(0, &port);

    /* The kernel drops connection attempts while the backlog is full. */
    sa.sin_port = htons(port);
    for (int i = 0; i < FILLERS; i++) {
        fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        (void)connect(fillers[i], (struct sockaddr *)&sa, sizeof(sa));
    }
    CU_ASSERT_EQUAL(run_status(port, insert_txn("x/a", "1", SHORT_TIMEOUT_MS)),
                    GGW_PLATFORM_NOT_SENT);
    for (int i = 0; i < FILLERS; i++) {
        close(fillers[i]);
    }
    close(fd);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    platform_process_start(&platform_server, NULL);
    CU_initialize_registry();
    suite = CU_add_suite("platform", NULL, NULL);
    CU_add_test(suite, "transactions", test_transactions);
    CU_add_test(suite, "objects", test_objects);
    CU_add_test(suite, "connection refused", test_refused);
    CU_add_test(suite, "faults after sending", test_faults_after_sending);
    CU_add_test(suite, "limit in flight", test_limit_in_flight);
    CU_add_test(suite, "no reuse after timeout", test_no_reuse_after_timeout);
    CU_add_test(suite, "malformed responses", test_malformed_responses);
    CU_add_test(suite, "prefix reads", test_prefixes);
    CU_add_test(suite, "broken responses", test_broken_responses);
    CU_add_test(suite, "connect timeout", test_connect_timeout);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    failures += platform_process_stop(&platform_server) != 0;
    return failures != 0;
}
