#ifndef GGW_PROXY_DIALECT_H
#define GGW_PROXY_DIALECT_H

#include <h2o.h>
#include <stdbool.h>

#include "slots/slots.h"

/*
 * Names and meaning of the headers that a gateway exchanges with clients and
 * backend servers. The default is in proxy/dialect.c; a platform may have its
 * own.
 */

/**
 * struct ggw_dialect - header names and how responses are interpreted
 * @name: name of the dialect
 * @attempt_id: header that identifies an attempt; a response may repeat it
 * @id_from_client: the client chooses the id and every response must repeat
 *                  it; otherwise the gateway generates one for each attempt
 * @deadline: header that says how long, or until when, the client waits
 * @deadline_relative: @deadline is in ms from when the request was sent;
 *                     otherwise it is a time in Unix ms
 * @retry_count: header with the number of retries, including those of earlier
 *               hops; NULL: not sent
 * @server_id: header that names the intended backend server; NULL: not sent
 * @customer_key: request header with the key of a customer
 * @customer: header that names the customer to a server
 * @signature: header that every successful response of a server has; without
 *             it the response is rejected. NULL: not checked
 * @stripped_prefixes: NULL-terminated prefixes of headers that are not
 *                     forwarded
 * @retry_after_decimals: number of decimals in Retry-After, which is in s
 * @status_promises: clients take some statuses as proof that the request did
 * not run (decide/promise.h); otherwise they read the header
 *                   Greengageway-Outcome
 * @not_run: whether a response proves that the request did not run
 * @misdirected: whether the response proves that it comes from another server,
 *               which has taken over the address of the intended server and
 *               did not run the request; NULL: servers keep their addresses
 * @probe_misdirected: whether the response to a probe comes from another
 *                     server; NULL: servers keep their addresses
 * @load: parses the load report of a response
 * @probe_load: parses the load report of the response to a probe
 * @backoff: parses whether the server wants no further requests
 *
 * Header names are in lower case.
 */
struct ggw_dialect {
    const char *name;
    const char *attempt_id;
    bool id_from_client;
    const char *deadline;
    bool deadline_relative;
    const char *retry_count;
    const char *server_id;
    const char *customer_key;
    const char *customer;
    const char *signature;
    const char *const *stripped_prefixes;
    int retry_after_decimals;
    bool status_promises;
    bool (*not_run)(int status, const h2o_header_t *headers, size_t len);
    bool (*misdirected)(int status);
    bool (*probe_misdirected)(int status, const h2o_header_t *headers,
                              size_t len, const char *server);
    struct ggw_load_report (*load)(const h2o_header_t *headers, size_t len);
    struct ggw_load_report (*probe_load)(const h2o_header_t *headers,
                                         size_t len);
    struct ggw_backoff_notice (*backoff)(int status,
                                         const h2o_header_t *headers,
                                         size_t len);
};

/* The headers that this project defines. */
extern const struct ggw_dialect ggw_default_dialect;

#endif
