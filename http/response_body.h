#ifndef GGW_HTTP_RESPONSE_BODY_H
#define GGW_HTTP_RESPONSE_BODY_H

#include <glib.h>
#include <h2o.h>
#include <stdbool.h>

#include "decide/surplus.h"
#include "http/response_head.h"

/*
 * The body of a response on its way to the caller. Bytes that may belong to a
 * copy of another response are withheld until this is decided.
 */

/**
 * struct ggw_response_body - state of a body
 * @scan: search for a copy
 * @head: head of the response
 * @own_head: text of @head; NULL until it is needed
 * @withheld: bytes that are not decided
 */
struct ggw_response_body {
    struct ggw_surplus_scan scan;
    const struct ggw_response_head *head;
    GString *own_head;
    GString *withheld;
};

/**
 * ggw_response_body_init() - begin with a body
 * @head: complete head of the response; must stay valid
 * @reused: the connection has carried an earlier response
 * @framed: the body has a length or is chunked
 */
void ggw_response_body_init(struct ggw_response_body *b,
                            const struct ggw_response_head *head, bool reused,
                            bool framed);

/* Frees what @b holds; @b may be zeroed. */
void ggw_response_body_clear(struct ggw_response_body *b);

/**
 * ggw_response_body_add() - take bytes from the connection
 * @out: bytes that are decided are appended
 *
 * Return: false if the body holds another response, or may do so.
 */
bool ggw_response_body_add(struct ggw_response_body *b, const char *bytes,
                           size_t len, h2o_buffer_t **out);

/**
 * ggw_response_body_end() - take the end of the body
 * @out: the bytes that were withheld are appended
 *
 * Return: as ggw_response_body_add().
 */
bool ggw_response_body_end(struct ggw_response_body *b, h2o_buffer_t **out);

#endif
