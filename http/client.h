#ifndef GGW_HTTP_CLIENT_H
#define GGW_HTTP_CLIENT_H

#include <h2o.h>
#include <stdbool.h>

#include "http/pool.h"
#include "kernel/clock.h"

/*
 * One request to one backend server. The body of the response is pulled:
 * while the caller does not take it, reading stops, so that memory stays
 * bounded.
 */

struct ggw_call;

/**
 * enum ggw_call_end - how a call ended
 * @GGW_CALL_COMPLETE: the response is complete; one without a length is
 *                     complete when the server closes the connection in order
 * @GGW_CALL_NOT_SENT: no connection; no byte of the request was sent
 * @GGW_CALL_BROKEN: the connection broke, or the response is malformed or
 *                   shorter than stated
 * @GGW_CALL_TIMED_OUT: no progress in time
 */
enum ggw_call_end {
    GGW_CALL_COMPLETE,
    GGW_CALL_NOT_SENT,
    GGW_CALL_BROKEN,
    GGW_CALL_TIMED_OUT,
};

/**
 * struct ggw_call_head - head of a response
 * @headers: valid only inside the callback
 * @content_length: SIZE_MAX when not stated
 * @close_delimited: the body ends with the connection; whether it is whole
 *                   cannot be seen
 * @may_keep: the server does not close the connection after the response
 */
struct ggw_call_head {
    int status;
    h2o_iovec_t reason;
    const h2o_header_t *headers;
    size_t headers_len;
    size_t content_length;
    bool close_delimited;
    bool may_keep;
};

/**
 * struct ggw_call_ops - what a call tells its caller
 * @slow: there is no head after the patience; true gives the call up
 * @head: the head has arrived
 * @body: ggw_call_read_body() would return more bytes now
 * @end: the call has ended; bytes may still wait to be taken. The caller
 *       destroys the call, now or later.
 *
 * None is called from inside ggw_call_new().
 */
struct ggw_call_ops {
    bool (*slow)(void *data);
    void (*head)(void *data, const struct ggw_call_head *head);
    void (*body)(void *data);
    void (*end)(void *data, enum ggw_call_end end);
};

/**
 * struct ggw_call_spec - a request
 * @head: request line and headers with the closing empty line
 * @body: may be empty
 * @id_name: header, in lower case, that names the request in both directions
 * @id: its value in @head; a response with another one answers another
 *      request. NULL base: not compared.
 * @id_required: a response without @id_name is malformed
 * @is_head: the method is HEAD, so no body follows
 * @new_connection: use a new connection and close it afterwards
 * @connect_timeout: until the connection is open
 * @slow_timeout: from sending until the caller is asked whether to wait longer
 * @head_timeout: from the start until the head has arrived
 * @progress_timeout: longest gap between two reads of the body
 *
 * @head and @body must stay valid until the call is destroyed.
 */
struct ggw_call_spec {
    h2o_iovec_t head;
    h2o_iovec_t body;
    const char *id_name;
    h2o_iovec_t id;
    bool id_required;
    bool is_head;
    bool new_connection;
    ggw_ms connect_timeout;
    ggw_ms slow_timeout;
    ggw_ms head_timeout;
    ggw_ms progress_timeout;
};

/**
 * ggw_call_new() - start a request
 */
struct ggw_call *ggw_call_new(struct ggw_pool *pool,
                              const struct ggw_call_spec *spec,
                              const struct ggw_call_ops *ops, void *data);

/**
 * ggw_call_read_body() - take the bytes of the body that have arrived
 * @buffer: an empty buffer that is exchanged for the bytes
 *
 * Reading resumes when it was paused.
 *
 * Return: false when there are none; @buffer is then unchanged.
 */
bool ggw_call_read_body(struct ggw_call *call, h2o_buffer_t **buffer);

/**
 * ggw_call_latency() - time from sending to the end of the response's head
 *
 * Return: ms; up to now while there is no head, 0 when nothing was sent.
 */
ggw_ms ggw_call_latency(const struct ggw_call *call);

/**
 * ggw_call_destroy() - free a call
 *
 * Closes the connection when the call has not ended, which cancels the
 * request. May be called from inside any of the callbacks.
 */
void ggw_call_destroy(struct ggw_call *call);

#endif
