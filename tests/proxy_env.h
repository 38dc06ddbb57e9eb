#ifndef GGW_TESTS_PROXY_ENV_H
#define GGW_TESTS_PROXY_ENV_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

#include "claims/claims.h"
#include "config/config.h"
#include "peers/peers.h"
#include "proxy/proxy.h"
#include "slots/slots.h"

/*
 * The service "proxy" on a kernel in a thread of its own, with fakes of
 * "slots" and "claims" and scripted servers on the same loop. The test
 * itself uses blocking sockets.
 */

#define ENV_SERVERS 4

/**
 * enum script - what a scripted server does with a request
 */
enum script {
    SCRIPT_OK,   /* 200 with the server's body */
    SCRIPT_SHED, /* 503, Backend-Outcome: not-run */
    SCRIPT_LATE, /* 504, Backend-Outcome: not-run */
    SCRIPT_BARE_503,
    SCRIPT_ERROR_500,
    SCRIPT_RESET,       /* resets after the request, without a byte */
    SCRIPT_RESET_HEAD,  /* resets inside the head */
    SCRIPT_LARGE_HEAD,  /* a head without an end */
    SCRIPT_SHORT,       /* closes before Content-Length is reached */
    SCRIPT_SHORT_CHUNK, /* closes before the last chunk */
    SCRIPT_UNFRAMED,    /* neither length nor chunks */
    SCRIPT_BOTH_FRAMED, /* Content-Length and Transfer-Encoding */
    SCRIPT_SILENT,      /* no response */
    SCRIPT_SILENT_BODY, /* half of the body, then nothing */
    SCRIPT_SLOW,        /* 200 after delay_ms */
    SCRIPT_CHUNKED,     /* 200 in two chunks */
    SCRIPT_EXTRA,       /* 200 followed by a response nobody asked for */
    SCRIPT_RIGHT_ID,    /* 200 with the request's id */
    SCRIPT_WRONG_ID,    /* 200 with the id of another request */
    SCRIPT_NO_BODY,     /* 204 */
    SCRIPT_HEAD,        /* 200 without the body that its head states */
    SCRIPT_INTERIM,     /* 100, then 200 */
    SCRIPT_OTHER,       /* 421, of another server at the address */
    SCRIPT_CLOSED,      /* nothing listens */
};

struct env_server {
    struct env *env;
    char name[16];
    uv_tcp_t tcp;
    uint16_t port;
    /* Set by the test while no request is in progress. */
    enum script script;
    const char *load;
    const char *body;
    size_t body_len;
    unsigned delay_ms;
    /* Under env->lock. */
    GString *seen; /* all requests, as received */
    int requests;
    int connections;
    int closed;
};

/**
 * struct env - fixture
 * @grant: slots are granted; else refused with @refusal, or not answered
 * @releases: of struct ggw_slot_release
 * @settles: of struct ggw_claim_settle
 */
struct env {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    struct ggw_kernel *kernel;
    struct ggw_service *proxy;
    struct ggw_service driver;
    struct ggw_service slots;
    struct ggw_service claims;
    uv_async_t async;
    GQueue posted;
    bool stop;
    bool running;
    int ended;

    struct env_server servers[ENV_SERVERS];
    enum {
        ENV_GRANT,
        ENV_REFUSE,
        ENV_HOLD
    } slots_mode;
    enum ggw_slot_refusal refusal;
    uint64_t next_grant;
    GArray *releases;
    int slot_requests;
    int cancels;

    enum {
        ENV_CLAIM,
        ENV_CLAIM_HOLD
    } claims_mode;
    enum ggw_claim_state claim_state;
    int claims_asked;
    uint64_t held_tag;
    GArray *settles;

    GArray *probe_results;
};

/**
 * env_start() - start with one team "team" and its services
 *
 * Requests to the host kept.example are idempotent and their responses kept
 * until whole; those to once.example must not be repeated.
 *
 * "svc" has the kinds "read" (GET and POST below /read, idempotent),
 * "order" (POST below /order, header X-Order) and "other" (GET). All servers
 * run SCRIPT_OK.
 */
struct env *env_start(ggw_ms timeout, ggw_ms keep, ggw_ms drain);
struct env *env_start_bare(ggw_ms keep);
void env_stop(struct env *env);

/* Waits until the kernel has stopped by itself. */
bool env_wait_ended(struct env *env);

/* Delivers a message to every service. */
void env_publish(struct env *env, struct ggw_message *message);
void env_send(struct env *env, const char *name, struct ggw_message *message);

/* A tree as env_start() publishes it, with one failure domain taken out. */
struct ggw_tree *env_tree(uint64_t revision, ggw_ms timeout,
                          const char *domain_out);

/* Waits for a condition on @value under the lock; false after 10 s. */
bool env_wait(struct env *env, const int *value, int at_least);
bool env_wait_len(struct env *env, GArray *array, int at_least);

/* Opens a connection to the gateway. */
int env_connect(struct env *env);

/* Reads up to the end of the connection, or one whole response. */
GString *env_read(int fd, bool to_end);

/* Reads until the bytes end with @end. */
GString *env_read_until(int fd, const char *end);

/* Sends @request on a new connection and returns the whole response. */
GString *env_ask(struct env *env, const char *request);

/* Value of a header of a response, or NULL; valid until the next call. */
const char *env_header(const GString *response, const char *name);

/* The same, with "" in place of NULL. */
const char *env_header_or(const GString *response, const char *name);

/* Asks and compares; prints what differs. */
bool env_expect(struct env *env, const char *request, int status,
                const char *outcome, const char *reason);

/* Result in the release with index @i; waits for it. */
enum ggw_attempt_result env_result(struct env *env, guint i);

int env_status(const GString *response);
const char *env_body(const GString *response, size_t *len);

#endif
