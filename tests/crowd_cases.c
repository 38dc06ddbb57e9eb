#include "tests/crowd_cases.h"

#include <poll.h>
#include <stdio.h>
#include <string.h>

#include "tests/client.h"

/* A crowd is at its end when no client has sent a byte for so long, ms. */
#define QUIET_MS 1000

/* Longest time of a crowd, ms; some send without an end. */
#define CROWD_MS 4000

/* Pause between two turns of the clients, ms. */
#define TURN_MS 5

/* Longest wait for what must hold in the end, ms. */
#define END_LIMIT_MS 40000

/* Longest wait for memory that is given back, ms. */
#define GIVE_BACK_MS 5000

#define CLIENTS 300

#define HEAD(method, path)                                                    \
    method " " path " HTTP/1.1\r\nHost: " NODE_HOST                           \
           "\r\nAttempt-Id: c1\r\nRequest-Deadline: 8000\r\n"
#define POST HEAD("POST", NODE_PATH "10")
#define CHUNKED POST "Transfer-Encoding: chunked\r\n\r\n"
#define SMALL_CHUNKS 1000

/* Announced length of a first frame, 0xf000 bytes, and what is sent of it. */
#define FRAME_LENGTH "\0\0\xf0\0"
#define FRAME_LENGTH_BYTES 4
#define FRAME_SENT 0xf000

static char *large_chunk, *small_chunks, *block, *whole_request, *frame;
static size_t large_chunk_len, small_chunks_len, whole_request_len;

void
crowd_make_texts(void)
{
    g_autofree char *data = g_strnfill(64 * KIB, 'x');
    GString *small = g_string_new(NULL);

    for (int i = 0; i < SMALL_CHUNKS; i++) {
        g_string_append(small, "1\r\nx\r\n");
    }
    block = g_strdup(data);
    frame = g_strdup(data);
    for (size_t i = 0; i < FRAME_LENGTH_BYTES; i++) {
        frame[i] = FRAME_LENGTH[i];
    }
    large_chunk = g_strdup_printf("10000\r\n%s\r\n", data);
    large_chunk_len = strlen(large_chunk);
    small_chunks_len = small->len;
    small_chunks = g_string_free(small, FALSE);
    whole_request = g_strconcat(HEAD("POST", NODE_PATH "200000"),
                                "Content-Length: 65536\r\n\r\n", data, NULL);
    whole_request_len = strlen(whole_request);
}

void
crowd_free_texts(void)
{
    g_free(block);
    g_free(frame);
    g_free(large_chunk);
    g_free(small_chunks);
    g_free(whole_request);
}

struct crowd
crowd_large_chunks(void)
{
    return (struct crowd){.clients = CLIENTS,
                          .head = CHUNKED,
                          .part = large_chunk,
                          .part_len = large_chunk_len,
                          .parts = 15};
}

struct crowd
crowd_small_chunks(void)
{
    return (struct crowd){.clients = CLIENTS,
                          .head = CHUNKED,
                          .part = small_chunks,
                          .part_len = small_chunks_len,
                          .parts = 200};
}

struct crowd
crowd_announced(void)
{
    return (struct crowd){.clients = CLIENTS,
                          .head = POST "Content-Length: 1000000\r\n\r\n",
                          .part = block,
                          .part_len = 64 * KIB,
                          .parts = 15};
}

struct crowd
crowd_announced_over(void)
{
    return (struct crowd){.clients = CLIENTS,
                          .head = POST "Content-Length: 10000000000\r\n\r\n",
                          .part = block,
                          .part_len = 64 * KIB,
                          .parts = 10000};
}

struct crowd
crowd_sent_over(void)
{
    return (struct crowd){.clients = CLIENTS,
                          .head = CHUNKED,
                          .part = large_chunk,
                          .part_len = large_chunk_len,
                          .parts = 10000};
}

struct crowd
crowd_pipelined(void)
{
    return (struct crowd){.clients = CLIENTS,
                          .head = "",
                          .part = whole_request,
                          .part_len = whole_request_len,
                          .parts = 40};
}

struct crowd
crowd_slow_readers(void)
{
    return (struct crowd){.clients = CLIENTS,
                          .head = HEAD("GET", NODE_PATH "1900000") "\r\n",
                          .part = "",
                          .part_len = 0};
}

struct crowd
crowd_extensions(void)
{
    return (struct crowd){.clients = CLIENTS,
                          .head = CHUNKED "5;a=",
                          .part = block,
                          .part_len = 64 * KIB,
                          .parts = 10000};
}

struct crowd
crowd_headers(void)
{
    return (struct crowd){.clients = CLIENTS,
                          .head = POST,
                          .part = "A: b\r\n",
                          .part_len = 6,
                          .parts = 10000000};
}

struct crowd
crowd_trailers(void)
{
    return (struct crowd){.clients = CLIENTS,
                          .head = CHUNKED "0\r\n",
                          .part = "A: b\r\n",
                          .part_len = 6,
                          .parts = 10000000};
}

struct crowd
crowd_slow_heads(void)
{
    return (struct crowd){.clients = 2 * CLIENTS,
                          .head = CHUNKED,
                          .part = "",
                          .part_len = 0,
                          .step = 1};
}

struct crowd
crowd_silent(void)
{
    return (struct crowd){
        .clients = 2 * CLIENTS, .head = "", .part = "", .part_len = 0};
}

struct crowd
crowd_frames(void)
{
    return (struct crowd){.clients = CLIENTS,
                          .head = "",
                          .part = frame,
                          .part_len = FRAME_SENT,
                          .parts = 1};
}

static const char *
address_of(const struct node *n, enum crowd_door door)
{
    const char *const addresses[] = {
        [DOOR_FRONT] = n->front, [DOOR_DIRECTORY] = n->directory,
        [DOOR_READY] = n->ready, [DOOR_CONTROL] = n->control,
        [DOOR_PEERS] = n->peers,
    };

    return addresses[door];
}

static double
now_ms(void)
{
    return (double)g_get_monotonic_time() / 1e3;
}

/* Runs crowds together until they are quiet. */
static void
run_crowds(struct node *n, const struct crowd *crowds, size_t len)
{
    struct crowd_run *runs[CROWDS];
    double started_at = now_ms(), progress_at = started_at;
    double sent = 0;

    for (size_t i = 0; i < len; i++) {
        runs[i] = crowd_start(&crowds[i]);
    }
    while (now_ms() - progress_at < QUIET_MS &&
           now_ms() - started_at < CROWD_MS) {
        for (size_t i = 0; i < len; i++) {
            if (crowd_turn(runs[i])) {
                progress_at = now_ms();
            }
            node_sample(n);
        }
        poll(NULL, 0, TURN_MS);
    }
    for (size_t i = 0; i < len; i++) {
        sent += crowd_sent(runs[i]);
        crowd_end(runs[i]);
    }
    printf("\n    %.0f MiB sent; ", sent / MIB);
}

static bool
answers(void *data)
{
    return node_answers(data);
}

static bool
is_ready(void *data)
{
    const struct node *n = data;
    struct reply *r =
        client_request(n->ready, "GET", "/v1/readiness", NULL, NULL);
    bool ready = r->status == 200;

    reply_free(r);
    return ready;
}

#if !defined(__SANITIZE_ADDRESS__)
static bool
has_given_back(void *data)
{
    return node_resident(data) < MEMORY_AFTER;
}
#endif

static bool
has_few_descriptors(void *data)
{
    struct node *n = data;

    n->peak_descriptors = 0;
    node_sample(n);
    return n->peak_descriptors < (DESCRIPTORS - FILE_DESCRIPTORS) / 2;
}

void
check_crowds(struct crowd *crowds, const enum crowd_door *doors, size_t len)
{
    const struct node_options options = {MEMORY_MIB, DESCRIPTORS, BODY_MAX};
    struct node *n = node_start(&options);
    double before = node_resident(n);

    for (size_t i = 0; i < len; i++) {
        crowds[i].address = address_of(n, doors[i]);
    }
    run_crowds(n, crowds, len);
    printf("memory %.0f MiB before, at most %.0f resident, %.0f with unread "
           "bytes; %d descriptors; ",
           before / MIB, node_resident_peak(n) / MIB, n->peak_bytes / MIB,
           n->peak_descriptors);
    CU_ASSERT_TRUE(node_resident_peak(n) < MEMORY_BYTES);
    CU_ASSERT_TRUE(n->peak_bytes < MEMORY_BYTES);
    CU_ASSERT_TRUE(n->peak_descriptors <= DESCRIPTORS - FILE_DESCRIPTORS);
    CU_ASSERT_TRUE_FATAL(node_lives(n));
    CU_ASSERT_TRUE(client_await(answers, n, END_LIMIT_MS));
    CU_ASSERT_TRUE(client_await(is_ready, n, END_LIMIT_MS));
    CU_ASSERT_TRUE(client_await(has_few_descriptors, n, END_LIMIT_MS));
#if !defined(__SANITIZE_ADDRESS__)
    CU_ASSERT_TRUE(client_await(has_given_back, n, GIVE_BACK_MS));
#endif
    printf("%.0f MiB after\n", node_resident(n) / MIB);
    CU_ASSERT_TRUE(node_stop(n));
}

void
check_crowd(struct crowd crowd, enum crowd_door door)
{
    check_crowds(&crowd, &door, 1);
}
