#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "decide/memory.h"
#include "http/request_check.h"
#include "tests/proxy_env.h"
#include "tests/suite.h"

/*
 * Replays the sessions in tests/golden/input-*.txt against the gateway. The
 * bytes to send follow the line "--- send". The complete expected response, up
 * to the end of the connection, follows the line "--- receive". Bytes are
 * written with C escapes, and line ends in the file are ignored. "@repeat N
 * TEXT" stands for N copies of TEXT, "@half-close" closes the client's sending
 * side, and "@forwarded N" states how many requests must reach a backend
 * server. The Date header is left out.
 */

#define GOLDEN_FOLDER "tests/golden"

struct input_session {
    GString *send;
    GString *receive;
    bool half_close;
    int forwarded;
};

static void
parse_line(struct input_session *s, GString *to, const char *line)
{
    if (g_str_has_prefix(line, "@half-close")) {
        s->half_close = true;
    }
    else if (g_str_has_prefix(line, "@forwarded ")) {
        s->forwarded = atoi(line + 11);
    }
    else if (g_str_has_prefix(line, "@repeat ")) {
        char *text;
        long n = strtol(line + 8, &text, 10);
        g_autofree char *bytes = g_strcompress(text + 1);

        for (long i = 0; i < n; i++) {
            g_string_append(to, bytes);
        }
    }
    else {
        g_autofree char *bytes = g_strcompress(line);

        g_string_append(to, bytes);
    }
}

static bool
read_input_session(const char *path, struct input_session *s)
{
    g_autofree char *text = NULL;
    g_auto(GStrv) lines = NULL;
    bool receiving = false, sending = false;

    s->send = g_string_new(NULL);
    s->receive = g_string_new(NULL);
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return false;
    }
    lines = g_strsplit(text, "\n", -1);
    for (char **l = lines; *l != NULL; l++) {
        if (strcmp(*l, "--- send") == 0) {
            sending = true;
        }
        else if (strcmp(*l, "--- receive") == 0) {
            receiving = true;
        }
        else if (sending && **l != '#') {
            parse_line(s, receiving ? s->receive : s->send, *l);
        }
    }
    return receiving;
}

static void
remove_date(GString *r)
{
    const char *date;

    while ((date = strstr(r->str, "Date: ")) != NULL) {
        g_string_erase(r, date - r->str, (gssize)(strcspn(date, "\n") + 1));
    }
}

static void
print_response(const char *name, const GString *r)
{
    g_autofree char *escaped = g_strescape(r->str, "\"");
    g_auto(GStrv) lines = g_strsplit(escaped, "\\n", -1);
    g_autofree char *joined = g_strjoinv("\\n\n", lines);

    printf("\n%s\n--- receive\n%s\n", name, joined);
}

static void
replay(struct env *env, const char *name)
{
    g_autofree char *path = g_build_filename(GOLDEN_FOLDER, name, NULL);
    struct input_session s = {0};
    int before = env->servers[0].requests;
    int fd;
    GString *r;

    if (!read_input_session(path, &s)) {
        CU_FAIL("cannot read the session file");
        return;
    }
    fd = env_connect(env);
    send(fd, s.send->str, s.send->len, MSG_NOSIGNAL);
    if (s.half_close) {
        shutdown(fd, SHUT_WR);
    }
    r = env_read(fd, true);
    remove_date(r);
    if (strcmp(r->str, s.receive->str) != 0) {
        print_response(name, r);
        CU_FAIL("the response differs from the session file");
    }
    CU_ASSERT_EQUAL(env->servers[0].requests - before, s.forwarded);
    g_string_free(r, TRUE);
    g_string_free(s.send, TRUE);
    g_string_free(s.receive, TRUE);
    close(fd);
}

/*
 * Guards against malformed input that is forwarded to a backend server or gets
 * another response than expected.
 */
static void
test_recorded_sessions(void)
{
    struct env *env = env_start(1000, 100, 1000);
    GDir *dir = g_dir_open(GOLDEN_FOLDER, 0, NULL);
    const char *name;
    int n = 0;

    CU_ASSERT_PTR_NOT_NULL_FATAL(dir);
    while ((name = g_dir_read_name(dir)) != NULL) {
        if (g_str_has_prefix(name, "input-")) {
            replay(env, name);
            n++;
        }
    }
    CU_ASSERT_TRUE(n >= 20);
    g_dir_close(dir);
    env_stop(env);
}

/*
 * Guards against input that crashes or blocks the gateway: sends copies of the
 * sessions with random bytes changed, then expects a normal request to
 * succeed.
 */
static void
test_changed_sessions(void)
{
    struct env *env = env_start(1000, 100, 1000);
    GRand *rand = g_rand_new_with_seed(7);
    GDir *dir = g_dir_open(GOLDEN_FOLDER, 0, NULL);
    const char *name;

    while (dir != NULL && (name = g_dir_read_name(dir)) != NULL) {
        g_autofree char *path = g_build_filename(GOLDEN_FOLDER, name, NULL);
        struct input_session s = {0};
        bool use =
            g_str_has_prefix(name, "input-") && read_input_session(path, &s);

        for (int i = 0; use && i < 20; i++) {
            GString *bytes =
                g_string_new_len(s.send->str, (gssize)MIN(s.send->len, 20000));
            int fd = env_connect(env);

            for (int j = g_rand_int_range(rand, 1, 4); j > 0; j--) {
                bytes->str[g_rand_int_range(rand, 0, (gint32)bytes->len)] =
                    (char)g_rand_int_range(rand, 0, 256);
            }
            send(fd, bytes->str, bytes->len, MSG_NOSIGNAL);
            shutdown(fd, SHUT_WR);
            g_string_free(env_read(fd, true), TRUE);
            g_string_free(bytes, TRUE);
            close(fd);
        }
        if (s.send != NULL) {
            g_string_free(s.send, TRUE);
            g_string_free(s.receive, TRUE);
        }
    }
    CU_ASSERT_TRUE(env_expect(env, "GET /team/svc/other HTTP/1.1\r\n\r\n", 200,
                              "done", ""));
    g_clear_pointer(&dir, g_dir_close);
    g_rand_free(rand);
    env_stop(env);
}

/*
 * Guards against a client that occupies a connection by not completing the
 * head or the body of its request.
 */
static void
test_slow_sender(void)
{
    static const char *const parts[] = {
        "GET /team/svc/other HTTP/1.1\r\nHost:",
        "POST /team/svc/read HTTP/1.1\r\nContent-Length: 5\r\n\r\nab",
    };
    struct env *env = env_start(1000, 100, 1000);

    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        int fd = env_connect(env);
        GString *r;

        send(fd, parts[i], strlen(parts[i]), 0);
        r = env_read(fd, true);
        CU_ASSERT_EQUAL(env_status(r), 408);
        CU_ASSERT_STRING_EQUAL(env_header_or(r, "greengageway-reason"),
                               "slow-request");
        g_string_free(r, TRUE);
        close(fd);
    }
    CU_ASSERT_EQUAL(env->servers[0].requests, 0);
    env_stop(env);
}

/*
 * Guards against a lost refusal: the client still sends the request body when
 * the gateway refuses it, and closing the connection at once would reset it.
 */
static void
test_refusal_arrives(void)
{
    struct env *env = env_start(1000, 100, 1000);

    for (int i = 0; i < 10; i++) {
        GString *bytes = g_string_new(
            "POST /team/svc/read HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n");
        int fd = env_connect(env);
        GString *r;

        while (bytes->len < 4000000) {
            g_string_append(bytes, "0123456789abcdef");
        }
        send(fd, bytes->str, bytes->len, MSG_NOSIGNAL);
        r = env_read(fd, true);
        CU_ASSERT_EQUAL(env_status(r), 413);
        g_string_free(r, TRUE);
        g_string_free(bytes, TRUE);
        close(fd);
    }
    env_stop(env);
}

/*
 * Guards against a head check whose result depends on how the bytes are split
 * into reads: every prefix of a valid head must be partial, and no prefix of a
 * malformed head may be accepted.
 */
static void
test_head_prefixes(void)
{
    static const char good[] = "\r\nPOST /a?b HTTP/1.1\r\nHost: x\r\n"
                               "Content-Length: 3\r\nX-Y:\t z \r\n\r\n";
    static const char *const bad[] = {
        "GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\n",
        ("GET / HTTP/1.1\r\nContent-Length: 1\r\n"
         "Transfer-Encoding: chunked\r\n\r\n"),
        "GET / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\n",
        "GET / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
        "GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
        "GET / HTTP/1.1\r\nA : b\r\n\r\n",
        "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n",
        "GET / HTTP/2.0\r\n\r\n",
        "GET /\r\n\r\n",
        "\r\n\r\nGET / HTTP/1.1\r\n\r\n",
    };

    for (size_t i = 0; i < sizeof(good) - 1; i++) {
        CU_ASSERT_EQUAL(ggw_head_check(good, i, GGW_BODY_MAX),
                        GGW_HEAD_PARTIAL);
    }
    CU_ASSERT_EQUAL(ggw_head_check(good, sizeof(good) - 1, GGW_BODY_MAX),
                    GGW_HEAD_OK);
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        size_t len = strlen(bad[i]);

        for (size_t j = 0; j < len; j++) {
            CU_ASSERT_NOT_EQUAL(ggw_head_check(bad[i], j, GGW_BODY_MAX),
                                GGW_HEAD_OK);
        }
        CU_ASSERT_EQUAL(ggw_head_check(bad[i], len, GGW_BODY_MAX),
                        GGW_HEAD_BAD);
    }
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"recorded sessions", test_recorded_sessions},
        {"randomly changed sessions", test_changed_sessions},
        {"slow sender is refused", test_slow_sender},
        {"refusal arrives while the client sends", test_refusal_arrives},
        {"prefixes of a request head", test_head_prefixes},
        CU_TEST_INFO_NULL,
    };

    return suite_run("http input", tests);
}
