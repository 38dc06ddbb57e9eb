#ifndef GGW_HTTP_EXCHANGE_H
#define GGW_HTTP_EXCHANGE_H

#include <h2o.h>
#include <stdbool.h>

#include "common/outcome.h"
#include "kernel/clock.h"

/*
 * The client's side of one request: an h2o request with what is needed to
 * respond later and to notice that the client has left.
 */

struct ggw_listener;
struct ggw_connection;

/**
 * struct ggw_exchange_ops - what an exchange tells its user
 * @proceed: the bytes of the previous ggw_exchange_send() have been written
 * @disconnected: the client has left; the exchange must not be used afterwards
 */
struct ggw_exchange_ops {
    void (*proceed)(void *data);
    void (*disconnected)(void *data);
};

/**
 * struct ggw_exchange - first the generator, as h2o requires
 * @req: request and response
 * @conn: its connection, set by http/connection.c
 * @sending: ggw_exchange_send() has not been answered by proceed yet
 * @broken: ends with an error as soon as the last bytes are written
 * @seen: by the periodic check for clients that left
 * @sent_at: time of the last ggw_exchange_send(), of the loop
 * @buffer: for the user: the bytes of a send, which must outlive the user
 * @probed: an interim response was sent to a half-closed connection
 * @retry_after_decimals: digits behind the point in Retry-After
 */
struct ggw_exchange {
    h2o_generator_t generator;
    h2o_req_t *req;
    struct ggw_listener *listener;
    struct ggw_connection *conn;
    const struct ggw_exchange_ops *ops;
    void *data;
    int fd;
    bool seen;
    bool started;
    bool sending;
    bool finished;
    bool broken;
    bool probed;
    int retry_after_decimals;
    ggw_ms sent_at;
    h2o_buffer_t *buffer;
    h2o_linklist_t link; /* of the exchanges in progress */
};

/**
 * ggw_exchange_new() - wrap a request; it lives as long as the request
 */
struct ggw_exchange *ggw_exchange_new(h2o_req_t *req,
                                      struct ggw_listener *listener,
                                      h2o_linklist_t *list);

/**
 * ggw_exchange_attach() - name the user to be told
 *
 * NULL for @ops detaches; the user is not told anything afterwards.
 */
void ggw_exchange_attach(struct ggw_exchange *x,
                         const struct ggw_exchange_ops *ops, void *data);

/**
 * ggw_exchange_start() - fix status and headers, set in @x->req->res
 */
void ggw_exchange_start(struct ggw_exchange *x);

/**
 * ggw_exchange_set_close_delimited() - let the end of the connection end the
 *                                      body
 *
 * For a body whose end cannot be vouched for. Call it before
 * ggw_exchange_start().
 */
void ggw_exchange_set_close_delimited(struct ggw_exchange *x);

/**
 * ggw_exchange_send() - send bytes of the body
 * @bytes: must stay valid until proceed
 * @last: the body is complete; nothing is told afterwards
 */
void ggw_exchange_send(struct ggw_exchange *x, h2o_iovec_t bytes, bool last);

/**
 * ggw_exchange_truncate() - end the response so that it is visibly not whole
 *
 * Detaches the user.
 */
void ggw_exchange_truncate(struct ggw_exchange *x);

/**
 * ggw_query_parameter() - value of a parameter in the query of a request
 *
 * Return: the value, to be freed by the caller; NULL when it is absent.
 */
char *ggw_query_parameter(const h2o_req_t *req, const char *name);

/**
 * ggw_exchange_respond() - send a whole response with a short body
 * @type: content type, or NULL without a body
 */
void ggw_exchange_respond(struct ggw_exchange *x, int status, const char *type,
                          const char *body, size_t len);

/**
 * ggw_exchange_refuse() - respond with an error that the gateway makes
 * @retry_after: ms, rounded up to what the header may say; 0 for no header
 */
void ggw_exchange_refuse(struct ggw_exchange *x, int status,
                         const char *reason, enum ggw_outcome outcome,
                         ggw_ms retry_after);

/**
 * ggw_exchange_set_outcome() - set the headers that state the outcome
 * @reason: or NULL
 */
void ggw_exchange_set_outcome(struct ggw_exchange *x, enum ggw_outcome outcome,
                              const char *reason);

/**
 * ggw_exchange_abort() - end an exchange in any state and close its connection
 * @reason: of the refusal, if the response has not started
 *
 * Tells the user that the client has left.
 */
void ggw_exchange_abort(struct ggw_exchange *x, const char *reason);

/**
 * ggw_status_text() - reason phrase of a status
 */
const char *ggw_status_text(int status);

#endif
