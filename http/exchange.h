#ifndef GGW_HTTP_EXCHANGE_H
#define GGW_HTTP_EXCHANGE_H

#include <h2o.h>
#include <stdbool.h>

#include "common/outcome.h"
#include "kernel/clock.h"

/*
 * A request from a client and its response. Wraps an h2o request so that the
 * response can be sent later and in parts, and so that a disconnected client
 * is noticed in the meantime.
 */

struct ggw_listener;
struct ggw_connection;

/**
 * enum ggw_exchange_end - why an exchange ends before its response is complete
 * @GGW_EXCHANGE_CLIENT_LEFT: the client has disconnected
 * @GGW_EXCHANGE_STOPPING: the gateway stops
 */
enum ggw_exchange_end {
    GGW_EXCHANGE_CLIENT_LEFT,
    GGW_EXCHANGE_STOPPING,
};

/**
 * struct ggw_exchange_ops - callbacks of an exchange
 * @proceed: the bytes of the previous ggw_exchange_send() have been written
 * @disconnected: the exchange ends before its response is complete: the client
 *                has disconnected, or the gateway stops. Returns what is known
 *                of the request's execution. The exchange must not be used
 *                afterwards.
 */
struct ggw_exchange_ops {
    void (*proceed)(void *data);
    enum ggw_outcome (*disconnected)(void *data, enum ggw_exchange_end end);
};

/**
 * struct ggw_exchange - a request and its response
 * @generator: generates the response; h2o requires it to be the first member
 * @req: request and response
 * @listener: listener that received the request
 * @conn: the client's connection, set by http/connection.c
 * @ops: callbacks, or NULL
 * @data: first argument of the callbacks
 * @fd: socket of the connection
 * @seen_by_check: the periodic check for disconnected clients has seen it once
 * @started: the status and headers of the response are set
 * @head_sent: they have been handed to h2o and can no longer change
 * @sending: h2o has not yet written the bytes of the last ggw_exchange_send()
 * @finished: the last bytes were passed to h2o, or h2o has ended the response
 * @truncate_pending: the response is to be ended with an error as soon as the
 *                    bytes that are being sent are written
 * @probed: an interim response was sent to a half-closed connection
 * @retry_after_decimals: digits after the decimal point in Retry-After
 * @sent_at: loop time in ms of the last ggw_exchange_send()
 * @held: sum in which the bytes of @buffer are counted until they are sent, or
 *        NULL; see ggw_exchange_count_held()
 * @held_len: number of these bytes
 * @buffer: for the user: holds bytes to send, which must stay valid even after
 *          the user is freed
 * @link: in the list of exchanges in progress
 */
struct ggw_exchange {
    h2o_generator_t generator;
    h2o_req_t *req;
    struct ggw_listener *listener;
    struct ggw_connection *conn;
    const struct ggw_exchange_ops *ops;
    void *data;
    int fd;
    bool seen_by_check;
    bool started;
    bool head_sent;
    bool sending;
    bool finished;
    bool truncate_pending;
    bool probed;
    int retry_after_decimals;
    ggw_ms sent_at;
    size_t *held;
    size_t held_len;
    h2o_buffer_t *buffer;
    h2o_linklist_t link;
};

/**
 * ggw_exchange_new() - create the exchange for a request
 * @req: the request; h2o frees the exchange together with it
 * @listener: listener that received the request
 * @list: list of exchanges in progress, to which the exchange is added
 */
struct ggw_exchange *ggw_exchange_new(h2o_req_t *req,
                                      struct ggw_listener *listener,
                                      h2o_linklist_t *list);

/**
 * ggw_exchange_attach() - set the callbacks
 * @x: the exchange
 * @ops: callbacks; NULL to remove them
 * @data: first argument of the callbacks
 */
void ggw_exchange_attach(struct ggw_exchange *x,
                         const struct ggw_exchange_ops *ops, void *data);

/**
 * ggw_exchange_start() - start the response
 * @x: the exchange, with the status and headers in @x->req->res
 *
 * They are sent with the first bytes of the body. A body without a length
 * is sent in chunks, or to an HTTP/1.0 client until the end of the connection.
 */
void ggw_exchange_start(struct ggw_exchange *x);

/**
 * ggw_exchange_send() - send bytes of the body
 * @x: the exchange
 * @bytes: must stay valid until ops->proceed is called
 * @last: these are the last bytes; removes the callbacks
 */
void ggw_exchange_send(struct ggw_exchange *x, h2o_iovec_t bytes, bool last);

/**
 * ggw_exchange_count_held() - count the bytes of @x->buffer in a sum
 * @x: an exchange that is about to send its buffer
 * @sum: increased now, and decreased when the bytes are sent or @x is freed;
 *       must outlive @x
 */
void ggw_exchange_count_held(struct ggw_exchange *x, size_t *sum);

/**
 * ggw_exchange_truncate() - end the response before its body is complete
 *
 * Ends it so that the client detects the missing part, after the bytes that
 * are being sent are written. If none were sent, the client gets 502 instead.
 * Removes the callbacks.
 */
void ggw_exchange_truncate(struct ggw_exchange *x);

/**
 * ggw_query_parameter() - get a parameter from the query of a request
 * @req: the request
 * @name: name of the parameter
 *
 * Return: the unescaped value, to be freed by the caller with g_free(); NULL
 * when it is absent.
 */
char *ggw_query_parameter(const h2o_req_t *req, const char *name);

/**
 * ggw_exchange_respond() - send a complete response
 * @x: the exchange
 * @status: status code
 * @type: content type, or NULL without a body
 * @body: copied; not sent if the method is HEAD
 * @len: length of @body in bytes
 */
void ggw_exchange_respond(struct ggw_exchange *x, int status, const char *type,
                          const char *body, size_t len);

/**
 * ggw_exchange_refuse() - respond with an error of the gateway's own
 * @x: the exchange
 * @status: status code
 * @reason: value of the header Greengageway-Reason
 * @outcome: value of the header Greengageway-Outcome
 * @retry_after: ms for the header Retry-After, which states seconds and rounds
 *               up to @x->retry_after_decimals digits; 0 for no header
 */
void ggw_exchange_refuse(struct ggw_exchange *x, int status,
                         const char *reason, enum ggw_outcome outcome,
                         ggw_ms retry_after);

/**
 * ggw_exchange_set_outcome() - add the outcome headers to the response
 * @x: the exchange
 * @outcome: value of the header Greengageway-Outcome
 * @reason: value of the header Greengageway-Reason, or NULL for no header
 */
void ggw_exchange_set_outcome(struct ggw_exchange *x, enum ggw_outcome outcome,
                              const char *reason);

/**
 * ggw_exchange_abort() - end an exchange in any state and close its connection
 * @x: the exchange
 * @end: why; also the reason in the response that is sent if none has started
 *
 * Runs ops->disconnected, whose result decides the status of that response.
 */
void ggw_exchange_abort(struct ggw_exchange *x, enum ggw_exchange_end end);

/**
 * ggw_status_text() - get the reason phrase of a status code
 *
 * Return: the phrase; "Status" for a status code that is not in the table.
 */
const char *ggw_status_text(int status);

#endif
