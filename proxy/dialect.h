#ifndef GGW_PROXY_DIALECT_H
#define GGW_PROXY_DIALECT_H

#include <h2o.h>
#include <stdbool.h>

#include "slots/slots.h"

/*
 * The headers that a gateway exchanges with clients and backend servers. The
 * project's own are in proxy/dialect.c; another platform brings its own.
 */

/**
 * struct ggw_dialect - names are in lower case
 * @attempt_id: names one attempt; a response repeats it
 * @id_from_client: the client chooses the id and every response has it;
 *                  otherwise the gateway makes one for each attempt
 * @deadline: how long, or until when, the client waits
 * @deadline_relative: it counts ms from the sending of the request; otherwise
 *                     it is a time in Unix ms
 * @retry_count: number of retries above this hop; NULL: not sent
 * @server_id: names the backend server that is meant; NULL: not sent
 * @signature: a success without this header is not the server's; NULL: none
 * @stripped_prefixes: NULL-terminated prefixes of headers that are not passed
 *                     on
 * @retry_after_decimals: digits behind the point in Retry-After
 * @not_run: whether a response proves that the request did not run
 * @misdirected: whether the response is that of another server, which has the
 *               address of the one that is meant now; it did not run the
 *               request; NULL: servers keep their addresses
 * @load: load report of a response
 * @probe_load: load report of the response to a probe
 */
struct ggw_dialect {
    const char *name;
    const char *attempt_id;
    bool id_from_client;
    const char *deadline;
    bool deadline_relative;
    const char *retry_count;
    const char *server_id;
    const char *signature;
    const char *const *stripped_prefixes;
    int retry_after_decimals;
    bool (*not_run)(int status, const h2o_header_t *headers, size_t len);
    bool (*misdirected)(int status, const h2o_header_t *headers, size_t len,
                        const char *meant);
    struct ggw_load_report (*load)(const h2o_header_t *headers, size_t len);
    struct ggw_load_report (*probe_load)(const h2o_header_t *headers,
                                         size_t len);
};

extern const struct ggw_dialect ggw_own_dialect;

#endif
