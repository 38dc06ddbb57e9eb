#ifndef GGW_TESTS_PROXY_ENV_H
#define GGW_TESTS_PROXY_ENV_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>

#include "claims/claims.h"
#include "config/config.h"
#include "customers/allotments.h"
#include "peers/peers.h"
#include "proxy/proxy.h"
#include "slots/slots.h"

/*
 * Fixture for tests of the service "proxy". The service, fakes of "slots" and
 * "claims" and scripted servers share a kernel, which runs in its own thread.
 * The test uses blocking sockets.
 */

/* Number of scripted servers; their names are s0, s1 and so on. */
#define ENV_SERVERS 4

/**
 * enum script - how a scripted server responds to a request
 */
enum script {
    SCRIPT_OK,       /* 200 with the server's body */
    SCRIPT_SHED,     /* 503, Backend-Outcome: not-run */
    SCRIPT_LATE,     /* 504, Backend-Outcome: not-run */
    SCRIPT_BARE_503, /* 503 without Backend-Outcome */
    SCRIPT_ERROR_500,
    SCRIPT_RESET,          /* resets the connection without a response */
    SCRIPT_RESET_HEAD,     /* closes within the head */
    SCRIPT_LARGE_HEAD,     /* a large head that does not end */
    SCRIPT_SHORT,          /* closes before Content-Length is reached */
    SCRIPT_SHORT_CHUNK,    /* chunked; closes before the last chunk */
    SCRIPT_UNFRAMED,       /* neither Content-Length nor chunked */
    SCRIPT_UNFRAMED_RESET, /* the same, reset right after the body */
    SCRIPT_UNFRAMED_206,   /* as SCRIPT_UNFRAMED, with status 206 */
    SCRIPT_BOTH_FRAMED,    /* both Content-Length and Transfer-Encoding */
    SCRIPT_SILENT,         /* no response */
    SCRIPT_SILENT_BODY,    /* half of the body, then nothing */
    SCRIPT_SLOW,           /* 200 after delay_ms */
    SCRIPT_CHUNKED,        /* 200, chunked, in two chunks */
    SCRIPT_EXTRA,          /* 200 followed by an unsolicited response */
    SCRIPT_RIGHT_ID,       /* 200 with the id of the attempt */
    SCRIPT_WRONG_ID,       /* 200 with the id of another attempt */
    SCRIPT_NO_BODY,        /* 204 */
    SCRIPT_HEAD,           /* 200 with Content-Length but no body */
    SCRIPT_INTERIM,        /* interim response 100, then 200 */
    SCRIPT_OTHER,          /* 421, from another server at the address */
    SCRIPT_CLOSED,         /* the connection is refused */
    SCRIPT_ENDLESS,        /* 200; after delay_ms a body that never ends */
    SCRIPT_SHED_ID,        /* as SCRIPT_SHED, with the id of the attempt */
    SCRIPT_STALE_SHED,     /* 200; before it, unless the request is the first
                              of its connection, a refusal without an id */
    SCRIPT_STALE_SHED_ID,  /* the same with the id of another attempt */
    SCRIPT_SHED_ENDLESS,   /* 503, Backend-Outcome: not-run, endless body */
    SCRIPT_TEXT,           /* the bytes in text of struct env_server */
    /*
     * 200 with the id of the attempt and, unless stated otherwise, without a
     * length. The bytes of another response stand in its body or behind it;
     * "earlier" is the body of that response.
     */
    SCRIPT_COPY_BEHIND,       /* a copy of the connection's first response */
    SCRIPT_COPY_BEHIND_NO_ID, /* the same; neither has an id */
    SCRIPT_COPY_BEHIND_CUT,   /* the same, cut in its status line */
    SCRIPT_COPY_INSIDE,       /* the copy within a body with a length */
    SCRIPT_COPY_OF_ITSELF,    /* a copy of this response */
    SCRIPT_HEAD_IN_HEADER,    /* the copy is cut in a header; the response
                                 follows */
};

/**
 * struct env_server - a scripted server
 * @load: value of Backend-Load, or NULL
 * @text: response of SCRIPT_TEXT, a template as in proxy_server.c
 * @body: body of the responses; @body_len is its length in bytes
 * @delay_ms: delay of SCRIPT_SLOW and of the body of SCRIPT_ENDLESS
 * @received: all requests, as received
 * @requests: number of requests
 * @connections: number of connections accepted
 * @closed: number of connections that the gateway closed
 * @body_sent: body bytes sent by SCRIPT_ENDLESS and SCRIPT_SHED_ENDLESS
 *
 * The test sets @script to @delay_ms while no request is in progress. The
 * members from @received on are protected by the lock of @env.
 */
struct env_server {
    struct env *env;
    char name[16];
    uv_tcp_t tcp;
    uint16_t port;
    enum script script;
    const char *load;
    const char *text;
    const char *body;
    size_t body_len;
    unsigned delay_ms;
    GString *received;
    int requests;
    int connections;
    int closed;
    int body_sent;
};

/**
 * struct env - fixture
 * @lock: protects what the test and the thread of the kernel share
 * @changed: signalled when a counter or an array has changed
 * @posted: messages of the test that have not been delivered yet
 * @running: the kernel has started
 * @ended: 1 once the kernel has stopped
 * @conns: set of the servers' open connections; of the kernel's thread
 * @slots_mode: "slots" grants, refuses with @refusal, or does not answer
 * @slot_tag: tag of the last SLOT_REQUEST
 * @stall_ms: time for which the event loop stands still before it delivers the
 *            next message of the test
 * @stall_after_ms: the same, right after it has delivered that message
 * @next_grant: number of slots granted; also the id of the last grant
 * @releases: array of struct ggw_slot_release
 * @refuse_repeats: "slots" refuses requests that have tried a server
 * @only_first_server: "slots" grants server s0 even if it is to be avoided
 * @slot_requests: number of SLOT_REQUEST messages
 * @hedge_requests: number of those that state that they are for a hedge
 * @refused_hedges: number of further such requests that "slots" refuses
 * @cancels: number of SLOT_CANCEL messages
 * @claims_mode: "claims" answers with @claim_state, or does not answer
 * @claims_asked: number of CLAIM_REQUEST messages
 * @held_tag: tag of the last CLAIM_REQUEST
 * @settles: array of struct ggw_claim_settle
 * @allotments_mode: "allotments" permits, refuses with a Retry-After of 200
 * ms, or does not answer
 * @permissions_asked: number of ALLOTMENT_REQUEST messages
 * @permissions_returned: number of ALLOTMENT_RETURN messages
 * @allotment_tag: tag of the last ALLOTMENT_REQUEST
 * @notices: array of struct ggw_backoff_notice, from SERVER_NOTICE messages
 * @probe_results: array of struct ggw_probe_result
 */
struct env {
    pthread_mutex_t lock;
    pthread_cond_t changed;
    struct ggw_kernel *kernel;
    struct ggw_service *proxy;
    struct ggw_service driver;
    struct ggw_service slots;
    struct ggw_service claims;
    struct ggw_service allotments;
    uv_async_t async;
    GQueue posted;
    bool stop;
    bool running;
    int ended;

    struct env_server servers[ENV_SERVERS];
    GHashTable *conns;
    enum {
        ENV_GRANT,
        ENV_REFUSE,
        ENV_HOLD
    } slots_mode;
    enum ggw_slot_refusal refusal;
    uint64_t slot_tag;
    unsigned stall_ms;
    unsigned stall_after_ms;
    bool refuse_repeats;
    bool only_first_server;
    uint64_t next_grant;
    GArray *releases;
    int slot_requests;
    int hedge_requests;
    int refused_hedges;
    int cancels;

    enum {
        ENV_CLAIM,
        ENV_CLAIM_HOLD
    } claims_mode;
    enum ggw_claim_state claim_state;
    int claims_asked;
    uint64_t held_tag;
    GArray *settles;

    enum {
        ENV_PERMIT,
        ENV_PERMIT_NOT,
        ENV_PERMIT_HOLD
    } allotments_mode;
    int permissions_asked;
    int permissions_returned;
    uint64_t allotment_tag;

    GArray *notices;
    GArray *probe_results;
};

/**
 * env_start() - start a gateway with the settings of one team "team"
 * @timeout: timeout of all requests, ms
 * @max_age: how long clients may cache an entry response, ms
 * @drain: drain time at shutdown, ms
 *
 * The service "svc" has the kinds "read" (GET, HEAD and POST below /read,
 * idempotent, three attempts), "order" (POST below /order, header X-Order) and
 * "other" (GET below /other, one attempt). Requests to the host kept.example
 * are idempotent and their responses are buffered until complete; requests to
 * once.example must not be repeated. All servers run SCRIPT_OK.
 *
 * Keys of customers are in the header X-Key; servers get the customer's name
 * in X-Customer.
 *
 * Returns when the gateway is ready.
 */
struct env *env_start(ggw_ms timeout, ggw_ms max_age, ggw_ms drain);

/*
 * The same; a client that closes its sending side counts as disconnected, and
 * clients take statuses as promises.
 */
struct env *env_start_like_site(ggw_ms timeout, ggw_ms max_age, ggw_ms drain);

/**
 * struct env_client_limits - how long the gateway waits for a client
 * @idle: ms without a complete request; 0 for the limit of the product
 * @progress: ms without taking bytes of the response; 0 likewise
 */
struct env_client_limits {
    ggw_ms idle;
    ggw_ms progress;
};

/* As env_start(), with other limits for clients. */
struct env *env_start_impatient(ggw_ms timeout,
                                const struct env_client_limits *limits);

/* Starts a gateway without settings. */
struct env *env_start_bare(ggw_ms max_age);

/* Stops the kernel, if it still runs, and frees the fixture. */
void env_stop(struct env *env);

/* Waits until the kernel has stopped; false after 10 s. */
bool env_wait_ended(struct env *env);

/* Publishes a message to all services. */
void env_publish(struct env *env, struct ggw_message *message);

/* Sends a message to the service @name. */
void env_send(struct env *env, const char *name, struct ggw_message *message);

/*
 * Grants server @server to the last slot request, in mode ENV_HOLD. The event
 * loop stands still for @stall_ms before, so that the grant is delivered
 * before the timers that become due meanwhile.
 */
void env_grant(struct env *env, size_t server, unsigned stall_ms);

/* Permits the last request, in mode ENV_PERMIT_HOLD. */
void env_permit(struct env *env);

/* Settings as in env_start(), with failure domain @domain_out taken out. */
struct ggw_tree *env_tree(uint64_t revision, ggw_ms timeout,
                          const char *domain_out);

/* Wakes the test and releases the lock. */
void env_signal_and_unlock(struct env *env);

/* Waits until @value is at least @at_least; false after 10 s. */
bool env_wait(struct env *env, const int *value, int at_least);

/* The same for the length of an array. */
bool env_wait_len(struct env *env, GArray *array, int at_least);

/* Opens a connection to the gateway; -1 on error. */
int env_connect(struct env *env);

/* The same with a receive buffer of @bytes; 0 for the usual size. */
int env_connect_with_window(struct env *env, int bytes);

/* Reads one complete response, or until the connection ends if @to_end. */
GString *env_read(int fd, bool to_end);

/* Reads until the received bytes end with @end. */
GString *env_read_until(int fd, const char *end);

/* Sends @request on a new connection and returns the complete response. */
GString *env_ask(struct env *env, const char *request);

/* Returns the value of a header, or NULL; valid until the next call. */
const char *env_header(const GString *response, const char *name);

/* The same, with "" instead of NULL. */
const char *env_header_or(const GString *response, const char *name);

/*
 * Sends @request and compares the response; prints it if it differs.
 * @outcome, @reason: values of the headers; "" if absent
 */
bool env_expect(struct env *env, const char *request, int status,
                const char *outcome, const char *reason);

/* Waits for the slot release with index @i and returns its result. */
enum ggw_attempt_result env_result(struct env *env, guint i);

/* Returns the HTTP status of a response, or 0. */
int env_status(const GString *response);

/* Returns the body of a response, "" if there is none. */
const char *env_body(const GString *response, size_t *len);

#endif
