#include <CUnit/CUnit.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/metrics.h"
#include "tests/proxy_env.h"
#include "tests/suite.h"

/*
 * Responses of backend servers that are no HTTP: the client gets the response
 * of another server or a failure of the gateway, never these bytes.
 */

#define REPEATABLE "GET /any HTTP/1.1\r\nHost: kept.example\r\n\r\n"
#define NOT_REPEATABLE                                                        \
    "POST /o HTTP/1.1\r\nHost: once.example\r\nContent-Length: 2\r\n\r\nhi"
#define STREAMED "GET /team/svc/other HTTP/1.1\r\nHost: h\r\n\r\n"

#define SIZED "@hContent-Length: @n\r\n\r\n@b"
#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK_LINE "@hTransfer-Encoding: chunked\r\n\r\n"
#define REFUSAL                                                               \
    "HTTP/1.1 503 X\r\nBackend-Outcome: not-run\r\n"                          \
    "Transfer-Encoding: chunked\r\n\r\n"

/**
 * struct text - a response
 * @name: for messages
 * @template: as in proxy_server.c
 */
struct text {
    const char *name;
    const char *template;
};

static const struct text malformed_status_lines[] = {
    {"status 000", "HTTP/1.1 000 X\r\n" SIZED},
    {"status 001", "HTTP/1.1 001 X\r\n" SIZED},
    {"status 099", "HTTP/1.1 099 X\r\n" SIZED},
    {"status 600", "HTTP/1.1 600 X\r\n" SIZED},
    {"status 999", "HTTP/1.1 999 X\r\n" SIZED},
    {"status in two parts", "HTTP/1.1 2 00 OK\r\n" SIZED},
    {"status of two digits", "HTTP/1.1 20 OK\r\n" SIZED},
    {"status of four digits", "HTTP/1.1 2000 OK\r\n" SIZED},
    {"no status", "HTTP/1.1 \r\n" SIZED},
    {"two spaces before the status", "HTTP/1.1  200 OK\r\n" SIZED},
    {"tab before the status", "HTTP/1.1\t200 OK\r\n" SIZED},
    {"tab behind the status", "HTTP/1.1 200\tOK\r\n" SIZED},
    {"version 2.0", "HTTP/2.0 200 OK\r\n" SIZED},
    {"version 1.10", "HTTP/1.10 200 OK\r\n" SIZED},
    {"lower case", "http/1.1 200 OK\r\n" SIZED},
    {"control byte in the reason", "HTTP/1.1 200 O\001K\r\n" SIZED},
    {"NUL in the reason", "HTTP/1.1 200 O@0K\r\n" SIZED},
    {"carriage return in the reason", "HTTP/1.1 200 O\rK\r\n" SIZED},
    {"no line feed", "HTTP/1.1 200 OK\rX" SIZED},
    {"empty line before the response", "\r\n" OK_LINE SIZED},
    {"status 000 behind an interim response",
     "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 000 X\r\n" SIZED},
    {"malformed interim response", "HTTP/1.1 1 00 C\r\n\r\n" OK_LINE SIZED},
};

static const struct text malformed_headers[] = {
    {"blank in a name", OK_LINE "X Note: a\r\n" SIZED},
    {"blank before the colon", OK_LINE "X-Note : a\r\n" SIZED},
    {"blank before a name", OK_LINE " X-Note: a\r\n" SIZED},
    {"blank before the first colon", OK_LINE " : a\r\n" SIZED},
    {"tab in a name", OK_LINE "X\tNote: a\r\n" SIZED},
    {"control byte in a name", OK_LINE "X\001Note: a\r\n" SIZED},
    {"NUL in a name", OK_LINE "X@0Note: a\r\n" SIZED},
    {"DEL in a name", OK_LINE "X\177Note: a\r\n" SIZED},
    {"high byte in a name", OK_LINE "X\344Note: a\r\n" SIZED},
    {"quote in a name", OK_LINE "X\"Note: a\r\n" SIZED},
    {"no name", OK_LINE ": a\r\n" SIZED},
    {"no colon", OK_LINE "X-Note\r\n" SIZED},
    {"folded name", OK_LINE "X-Note\r\n : a\r\n" SIZED},
    {"control byte in a value", OK_LINE "X-Note: a\001b\r\n" SIZED},
    {"NUL in a value", OK_LINE "X-Note: a@0b\r\n" SIZED},
    {"DEL in a value", OK_LINE "X-Note: a\177b\r\n" SIZED},
    {"carriage return in a value", OK_LINE "X-Note: a\rb\r\n" SIZED},
    {"carriage return in a name", OK_LINE "X\rNote: a\r\n" SIZED},
    {"no line feed behind a value", OK_LINE "X-Note: a\rX" SIZED},
    {"no line feed behind the head", OK_LINE "@hContent-Length: 5\r\n\rX@b"},
    {"length with a blank before its colon",
     OK_LINE "@hContent-Length : 3\r\n\r\n@b@b"},
    {"coding with a blank in its name",
     OK_LINE "Transfer Encoding: chunked\r\n" SIZED},
    {"blank in a name of an interim response",
     "HTTP/1.1 103 E\r\nX Note: a\r\n\r\n" OK_LINE SIZED},
    {"blank in the name of the outcome",
     "HTTP/1.1 503 X\r\nBackend-Outcome: not-run\r\nX Note: a\r\n" SIZED},
};

static const struct text malformed_framing[] = {
    {"two lengths", OK_LINE "Content-Length: 5\r\n" SIZED},
    {"two different lengths", OK_LINE "Content-Length: 3\r\n" SIZED},
    {"list of lengths", OK_LINE "@hContent-Length: 5, 5\r\n\r\n@b"},
    {"length with a sign", OK_LINE "@hContent-Length: +5\r\n\r\n@b"},
    {"negative length", OK_LINE "@hContent-Length: -5\r\n\r\n@b"},
    {"hexadecimal length", OK_LINE "@hContent-Length: 0x5\r\n\r\n@b"},
    {"length with a blank", OK_LINE "@hContent-Length: 1 0\r\n\r\n@b@b"},
    {"empty length", OK_LINE "@hContent-Length:\r\n\r\n@b"},
    {"folded length", OK_LINE "@hContent-Length:\r\n 5\r\n\r\n@b"},
    {"length in two lines", OK_LINE "@hContent-Length: 5\r\n 0\r\n\r\n@b"},
    {"folded coding", OK_LINE "@hTransfer-Encoding:\r\n chunked\r\n\r\n"
                              "5\r\n@b\r\n0\r\n\r\n"},
    {"length above 64 bits",
     OK_LINE "@hContent-Length: 18446744073709551621\r\n\r\n@b"},
    {"length and coding", OK_LINE "Transfer-Encoding: chunked\r\n" SIZED},
    {"another coding", OK_LINE "@hTransfer-Encoding: gzip\r\n\r\n@b"},
    {"identity", OK_LINE "@hTransfer-Encoding: identity\r\n\r\n@b"},
    {"another coding and a length",
     OK_LINE "Transfer-Encoding: gzip\r\n" SIZED},
    {"two codings", OK_LINE "@hTransfer-Encoding: gzip, chunked\r\n\r\n"
                            "5\r\n@b\r\n0\r\n\r\n"},
    {"coding twice",
     OK_LINE "@hTransfer-Encoding: chunked\r\n"
             "Transfer-Encoding: chunked\r\n\r\n5\r\n@b\r\n0\r\n\r\n"},
    {"coding that is not known",
     OK_LINE "@hTransfer-Encoding: xchunked\r\n\r\n"
             "5\r\n@b\r\n0\r\n\r\n"},
    {"chunks with HTTP/1.0",
     "HTTP/1.0 200 OK\r\n@hTransfer-Encoding: chunked\r\n\r\n"
     "5\r\n@b\r\n0\r\n\r\n"},
    {"204 with a body", "HTTP/1.1 204 N\r\n" SIZED},
    {"204 with chunks",
     "HTTP/1.1 204 N\r\n@hTransfer-Encoding: chunked\r\n\r\n"
     "5\r\n@b\r\n0\r\n\r\n"},
    {"interim response with a length",
     "HTTP/1.1 103 E\r\nContent-Length: 5\r\n\r\n" OK_LINE SIZED},
    {"interim response with a body",
     "HTTP/1.1 103 E\r\nContent-Length: 5\r\n\r\nxxxxx" OK_LINE SIZED},
    {"interim response with chunks",
     "HTTP/1.1 103 E\r\nTransfer-Encoding: chunked\r\n\r\n"
     "5\r\nxxxxx\r\n0\r\n\r\n" OK_LINE SIZED},
};

static const struct text malformed_chunks[] = {
    {"not run, with a chunk that is none", REFUSAL "x\r\n"},
    {"no size", CHUNKED "\r\n@b\r\n0\r\n\r\n"},
    {"size that is no number", CHUNKED "g\r\n@b\r\n0\r\n\r\n"},
    {"size with a sign", CHUNKED "+5\r\n@b\r\n0\r\n\r\n"},
    {"size with 0x", CHUNKED "0x5\r\n@b\r\n0\r\n\r\n"},
    {"size behind a blank", CHUNKED " 5\r\n@b\r\n0\r\n\r\n"},
    {"blank behind the size", CHUNKED "5 \r\n@b\r\n0\r\n\r\n"},
    {"text behind the size", CHUNKED "5 x\r\n@b\r\n0\r\n\r\n"},
    {"size above 64 bits", CHUNKED "10000000000000005\r\n@b\r\n0\r\n\r\n"},
    {"no extension behind the semicolon", CHUNKED "5;\r\n@b\r\n0\r\n\r\n"},
    {"control byte in an extension", CHUNKED "5;a\001b\r\n@b\r\n0\r\n\r\n"},
    {"NUL in an extension", CHUNKED "5;a@0b\r\n@b\r\n0\r\n\r\n"},
    {"line feed in an extension", CHUNKED "5;a\nb\r\n@b\r\n0\r\n\r\n"},
    {"open quote", CHUNKED "5;a=\"b\r\n@b\r\n0\r\n\r\n"},
    {"no line feed behind the size", CHUNKED "5\rX@b\r\n0\r\n\r\n"},
    {"no carriage return behind the size", CHUNKED "5\n@b\r\n0\r\n\r\n"},
    {"no line end behind a chunk", CHUNKED "5\r\n@b0\r\n\r\n"},
    {"other bytes behind a chunk", CHUNKED "5\r\n@bxx0\r\n\r\n"},
    {"no line feed behind the last chunk", CHUNKED "5\r\n@b\r\n0\rX\r\n"},
};

static const struct text malformed_trailers[] = {
    {"blank in a name", CHUNKED "5\r\n@b\r\n0\r\nX Note: a\r\n\r\n"},
    {"blank before the colon", CHUNKED "5\r\n@b\r\n0\r\nX-Note : a\r\n\r\n"},
    {"control byte in a name", CHUNKED "5\r\n@b\r\n0\r\nX\001: a\r\n\r\n"},
    {"no colon", CHUNKED "5\r\n@b\r\n0\r\nX-Note\r\n\r\n"},
    {"control byte in a value",
     CHUNKED "5\r\n@b\r\n0\r\nX-Note: a\001\r\n\r\n"},
    {"no line feed", CHUNKED "5\r\n@b\r\n0\r\nX-Note: a\rX\r\n\r\n"},
    {"not run, in a refusal", REFUSAL "0\r\nX Note: a\r\n\r\n"},
    {"another server, in a refusal",
     "HTTP/1.1 421 X\r\nTransfer-Encoding: chunked\r\n\r\n"
     "0\r\nX Note: a\r\n\r\n"},
    {"no line feed behind the trailers",
     CHUNKED "5\r\n@b\r\n0\r\nX-Note: a\r\n\rX"},
};

static const struct text sound_texts[] = {
    {"length", OK_LINE SIZED},
    {"no reason", "HTTP/1.1 200 \r\n" SIZED},
    {"nothing behind the status", "HTTP/1.1 200\r\n" SIZED},
    {"reason in UTF-8", "HTTP/1.1 200 Sch\303\266n\r\n" SIZED},
    {"tab in the reason", "HTTP/1.1 200 a\tb\r\n" SIZED},
    {"status 299", "HTTP/1.1 299 X\r\n" SIZED},
    {"HTTP/1.0", "HTTP/1.0 200 OK\r\n" SIZED},
    {"HTTP/1.2", "HTTP/1.2 200 OK\r\n" SIZED},
    {"line feeds only",
     "HTTP/1.1 200 OK\nX-Server: s0\nContent-Length: 5\n\n@b"},
    {"token characters in a name", OK_LINE "!#$%&'*+-.^_`|~1aZ: a\r\n" SIZED},
    {"UTF-8 in a value", OK_LINE "X-Note: \303\266\r\n" SIZED},
    {"blanks around a value", OK_LINE "X-Note: \t a b \t\r\n" SIZED},
    {"folded value", OK_LINE "X-Note: a\r\n b\r\n" SIZED},
    {"empty value", OK_LINE "X-Note:\r\n" SIZED},
    {"length without a blank", OK_LINE "@hContent-Length:@n\r\n\r\n@b"},
    {"length with zeros", OK_LINE "@hcontent-LENGTH: 0005 \r\n\r\n@b"},
    {"interim responses",
     "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 E\r\nLink: x\r\n\r\n" OK_LINE SIZED},
    {"chunks", CHUNKED "5\r\n@b\r\n0\r\n\r\n"},
    {"chunks, in capitals", OK_LINE "@hTRANSFER-ENCODING: Chunked\r\n\r\n"
                                    "5\r\n@b\r\n0\r\n\r\n"},
    {"zeros before a size", CHUNKED "0005\r\n@b\r\n000\r\n\r\n"},
    {"extensions", CHUNKED "5;a;b=c ; d = \"e\\\"\tf\"\r\n@b\r\n0;g\r\n\r\n"},
    {"folded trailer", CHUNKED "5\r\n@b\r\n0\r\nX-Note: a\r\n b\r\n\r\n"},
    {"trailers", CHUNKED "5\r\n@b\r\n0\r\nX-Note: a\r\nB:\r\n\r\n"},
};

static struct env *
start_with(const char *text)
{
    struct env *env = env_start(2000, 100, 1000);

    env->servers[0].script = SCRIPT_TEXT;
    env->servers[0].text = text;
    return env;
}

/* Prints what the client got; returns whether it was expected. */
static bool
expected(bool ok, const struct text *t, const char *request, const GString *r)
{
    if (!ok) {
        g_autofree char *head = g_strndup(request, strcspn(request, " "));
        g_autofree char *escaped = g_strescape(r->str, NULL);

        printf("\n%s: %s got \"%s\"", t->name, head, escaped);
    }
    return ok;
}

/* Whether a repeatable request gets the response of server s1. */
static bool
is_replaced(const struct text *t)
{
    struct env *env = start_with(t->template);
    GString *r = env_ask(env, REPEATABLE);
    size_t len;
    bool ok = env_status(r) == 200 &&
              strcmp(env_header_or(r, "x-server"), "s1") == 0 &&
              strcmp(env_body(r, &len), "hello") == 0;

    ok = expected(ok, t, REPEATABLE, r);
    CU_ASSERT_EQUAL(env_result(env, 0), GGW_ATTEMPT_BROKEN);
    /* The connection carries no further request. */
    CU_ASSERT_TRUE(env_wait(env, &env->servers[0].closed, 1));
    g_string_free(r, TRUE);
    env_stop(env);
    return ok;
}

/* Whether a request that must not be repeated ends with 502, and ran once. */
static bool
is_failed(const struct text *t)
{
    struct env *env = start_with(t->template);
    GString *r = env_ask(env, NOT_REPEATABLE);
    bool ok =
        env_status(r) == 502 &&
        strcmp(env_header_or(r, "greengageway-outcome"), "unknown") == 0 &&
        strcmp(env_header_or(r, "greengageway-reason"), "broken") == 0;

    ok = expected(ok, t, NOT_REPEATABLE, r);
    CU_ASSERT_EQUAL(env->servers[0].requests, 1);
    CU_ASSERT_EQUAL(env->slot_requests, 1);
    g_string_free(r, TRUE);
    env_stop(env);
    return ok;
}

/*
 * Whether a client that gets the response as it comes sees the fault.
 * @sound_head: the head is in order, so that the response may be cut behind it
 */
static bool
is_visible(const struct text *t, bool sound_head)
{
    struct env *env = start_with(t->template);
    GString *r = env_ask(env, STREAMED);
    bool cut = sound_head && env_status(r) == 200 &&
               env_header(r, "content-length") == NULL &&
               !g_str_has_suffix(r->str, "\r\n0\r\n\r\n");
    bool ok = expected(env_status(r) == 502 || cut, t, STREAMED, r);

    g_string_free(r, TRUE);
    env_stop(env);
    return ok;
}

/* Whether the server counts as one that has not answered a probe. */
static bool
is_no_probe_result(const struct text *t)
{
    struct env *env = start_with(t->template);
    bool answered;

    env->servers[0].load = "slots=2; busy=0";
    env_send(
        env, "proxy",
        ggw_probe_request_new("s0", "127.0.0.1", env->servers[0].port, 1000));
    CU_ASSERT_TRUE(env_wait_len(env, env->probe_results, 1));
    answered =
        g_array_index(env->probe_results, struct ggw_probe_result, 0).answered;
    if (answered) {
        printf("\n%s: answers a probe", t->name);
    }
    env_stop(env);
    return !answered;
}

static void
check_refused(const struct text *texts, size_t len, bool sound_head)
{
    for (size_t i = 0; i < len; i++) {
        CU_ASSERT_TRUE(is_replaced(&texts[i]));
        CU_ASSERT_TRUE(is_failed(&texts[i]));
        CU_ASSERT_TRUE(is_visible(&texts[i], sound_head));
        CU_ASSERT_TRUE(is_no_probe_result(&texts[i]));
    }
}

/* Guards against a status line that is none and reaches a client. */
static void
test_status_lines(void)
{
    check_refused(malformed_status_lines, G_N_ELEMENTS(malformed_status_lines),
                  false);
}

/* Guards against a header line that is none and reaches a client. */
static void
test_headers(void)
{
    check_refused(malformed_headers, G_N_ELEMENTS(malformed_headers), false);
}

/* Guards against a body whose length is not certain. */
static void
test_framing(void)
{
    check_refused(malformed_framing, G_N_ELEMENTS(malformed_framing), false);
}

/* Guards against bytes that are no chunks and are taken for a body. */
static void
test_chunks(void)
{
    check_refused(malformed_chunks, G_N_ELEMENTS(malformed_chunks), true);
}

/* Guards against a body that looks complete before malformed trailers. */
static void
test_trailers(void)
{
    check_refused(malformed_trailers, G_N_ELEMENTS(malformed_trailers), true);
}

static bool
is_served(const struct text *t, const char *request)
{
    struct env *env = start_with(t->template);
    GString *r = env_ask(env, request);
    size_t len;
    bool ok = env_status(r) / 100 == 2 &&
              strcmp(env_header_or(r, "x-server"), "s0") == 0 &&
              strcmp(env_body(r, &len), "hello") == 0;

    ok = expected(ok, t, request, r);
    g_string_free(r, TRUE);
    env_stop(env);
    return ok;
}

/* Guards against a folded value that is passed on with its line end. */
static void
test_folded_value(void)
{
    static const char *const folds[] = {"\r\n ", "\r\n\t", "\n ",
                                        " \r\n  \r\n "};

    for (size_t i = 0; i < G_N_ELEMENTS(folds); i++) {
        g_autofree char *text =
            g_strconcat(OK_LINE "X-Note: a", folds[i], "b\r\n" SIZED, NULL);
        struct env *env = start_with(text);
        GString *r = env_ask(env, REPEATABLE);

        CU_ASSERT_EQUAL(env_status(r), 200);
        CU_ASSERT_STRING_EQUAL(env_header_or(r, "x-server"), "s0");
        CU_ASSERT_TRUE(
            g_regex_match_simple("\r\nx-note: a[ \t]+b\r\n", r->str, 0, 0));
        g_string_free(r, TRUE);
        env_stop(env);
    }
}

/* Guards against a sound response that is refused. */
static void
test_sound_responses(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(sound_texts); i++) {
        CU_ASSERT_TRUE(is_served(&sound_texts[i], REPEATABLE));
        CU_ASSERT_TRUE(is_served(&sound_texts[i], NOT_REPEATABLE));
    }
}

/*
 * Guards against a response without a body that states a length: the client
 * would take a part of the next response for its body.
 */
static void
test_no_content(void)
{
    static const char request[] =
        "GET /any HTTP/1.1\r\nHost: kept.example\r\nConnection: close\r\n\r\n";
    struct env *env = start_with("HTTP/1.1 204 N\r\n@hContent-Length: 0\r\n"
                                 "\r\n");
    int fd = env_connect(env);
    GString *r;

    CU_ASSERT_EQUAL(send(fd, request, strlen(request), MSG_NOSIGNAL),
                    (ssize_t)strlen(request));
    r = env_read(fd, true);
    CU_ASSERT_EQUAL(env_status(r), 204);
    CU_ASSERT_STRING_EQUAL(env_header_or(r, "x-server"), "s0");
    CU_ASSERT_PTR_NULL(env_header(r, "content-length"));
    CU_ASSERT_PTR_NULL(env_header(r, "transfer-encoding"));
    g_string_free(r, TRUE);
    close(fd);
    env_stop(env);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"status lines", test_status_lines},
        {"headers", test_headers},
        {"framing", test_framing},
        {"chunks", test_chunks},
        {"trailers", test_trailers},
        {"folded value", test_folded_value},
        {"sound responses", test_sound_responses},
        {"no content", test_no_content},
        CU_TEST_INFO_NULL,
    };
    int status = suite_run("proxy_malformed", tests);

    ggw_metrics_fini();
    return status;
}
