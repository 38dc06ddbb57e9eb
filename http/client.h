#ifndef GGW_HTTP_CLIENT_H
#define GGW_HTTP_CLIENT_H

#include <h2o.h>
#include <stdbool.h>

#include "http/call_facts.h"
#include "http/pool.h"
#include "kernel/clock.h"

/*
 * Sends one request to one backend server. The caller pulls the body of the
 * response. When the caller does not keep up, the call stops reading from the
 * connection, which bounds the memory for unread bytes.
 */

struct ggw_call;

/**
 * enum ggw_call_end - how a call ended
 * @GGW_CALL_COMPLETE: the response is complete. A response without a length is
 *                     complete when the server closes the connection without
 *                     an error.
 * @GGW_CALL_NOT_SENT: the connection could not be opened; no byte of the
 *                     request was sent
 * @GGW_CALL_BROKEN: the connection failed, or the response is malformed,
 *                   shorter than its stated length, or mixed with another one
 * @GGW_CALL_TIMED_OUT: a timeout expired after the request was sent
 */
enum ggw_call_end {
    GGW_CALL_COMPLETE,
    GGW_CALL_NOT_SENT,
    GGW_CALL_BROKEN,
    GGW_CALL_TIMED_OUT,
};

/**
 * struct ggw_call_head - status line and headers of a response
 * @status: status code
 * @reason: reason phrase, valid only inside the callback
 * @headers: valid only inside the callback
 * @headers_len: number of @headers
 * @content_length: bytes; SIZE_MAX when not stated
 * @keep_alive: the server keeps the connection open after the response
 */
struct ggw_call_head {
    int status;
    h2o_iovec_t reason;
    const h2o_header_t *headers;
    size_t headers_len;
    size_t content_length;
    bool keep_alive;
};

/**
 * struct ggw_call_ops - callbacks of a call
 * @slow: no response head has arrived within @slow_timeout of struct
 *        ggw_call_spec. Return true to abandon the call with
 *        GGW_CALL_TIMED_OUT, false to keep waiting.
 * @head: the response head has arrived
 * @body: ggw_call_read_body() has new bytes to return
 * @end: the call has ended. Body bytes may still be unread. The caller must
 *       destroy the call, either inside the callback or later.
 *
 * ggw_call_new() runs none of them itself.
 */
struct ggw_call_ops {
    bool (*slow)(void *data);
    void (*head)(void *data, const struct ggw_call_head *head);
    void (*body)(void *data);
    void (*end)(void *data, enum ggw_call_end end);
};

/**
 * struct ggw_call_spec - parameters of a call
 * @head: request line and headers, including the empty line at the end
 * @body: request body, or NULL
 * @id_name: name, in lower case, of the header that carries the request id in
 *           both directions
 * @id: value of that header in @head. A response with a different value
 *      belongs to another request and counts as malformed. With a NULL base,
 *      so does one with that header. Nothing is compared without @id_name.
 * @id_required: a response without @id_name counts as malformed
 * @signature_name: name of a header whose value no two responses share; NULL
 *                  if there is none
 * @is_head: the method is HEAD, so the response has no body
 * @new_connection: open a new connection and close it after the call
 * @connect_timeout: ms to open the connection
 * @slow_timeout: ms from sending the request until ops->slow is called
 * @head_timeout: ms from ggw_call_new() until the response head has arrived
 * @progress_timeout: ms without new body bytes after which the call fails;
 *                    does not run while reading is paused
 * @late_progress_timeout: the same from the end of @head_timeout on, when the
 *                         response is late already; 0 for @progress_timeout
 * @complete_timeout: ms from ggw_call_new() until the response must be
 *                    complete, however many bytes arrive; does not run while
 *                    reading is paused
 *
 * @head and @body must stay valid until the call is destroyed.
 */
struct ggw_call_spec {
    h2o_iovec_t head;
    GBytes *body;
    const char *id_name;
    h2o_iovec_t id;
    bool id_required;
    const char *signature_name;
    bool is_head;
    bool new_connection;
    ggw_ms connect_timeout;
    ggw_ms slow_timeout;
    ggw_ms head_timeout;
    ggw_ms progress_timeout;
    ggw_ms late_progress_timeout;
    ggw_ms complete_timeout;
};

/**
 * ggw_call_new() - send a request
 * @pool: connections to the backend server
 * @spec: copied
 * @ops: callbacks, called from the event loop
 * @data: first argument of the callbacks
 *
 * Return: the call, to be freed with ggw_call_destroy().
 */
struct ggw_call *ggw_call_new(struct ggw_pool *pool,
                              const struct ggw_call_spec *spec,
                              const struct ggw_call_ops *ops, void *data);

/**
 * ggw_call_read_body() - read the body bytes that have arrived
 * @call: the call
 * @buffer: an empty buffer, swapped with the one that holds the bytes
 *
 * Resumes reading from the connection if it was paused.
 *
 * Return: false when there are no unread bytes; @buffer is then unchanged.
 */
bool ggw_call_read_body(struct ggw_call *call, h2o_buffer_t **buffer);

/**
 * ggw_call_limit_body() - shorten the time for the rest of the body
 * @call: a call whose response head has arrived
 * @limit: ms from now until the response must be complete
 */
void ggw_call_limit_body(struct ggw_call *call, ggw_ms limit);

/**
 * ggw_call_latency() - time from sending the request to the response head
 *
 * Return: ms. Before the head arrives, the time since the request was sent; 0
 * if it was not sent.
 */
ggw_ms ggw_call_latency(const struct ggw_call *call);

/**
 * ggw_call_facts() - describe the response so far
 */
struct ggw_call_facts ggw_call_facts(const struct ggw_call *call);

/**
 * ggw_call_is_sent() - check whether the request may have reached the server
 *
 * Return: false only if no byte of it has been written.
 */
bool ggw_call_is_sent(const struct ggw_call *call);

/**
 * ggw_call_destroy() - free a call
 *
 * Cancels a call that has not ended by closing its connection. May be called
 * from any of the callbacks.
 */
void ggw_call_destroy(struct ggw_call *call);

#endif
