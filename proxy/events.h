#ifndef GGW_PROXY_EVENTS_H
#define GGW_PROXY_EVENTS_H

#include "proxy/state.h"

/*
 * Log lines of the decisions that touch a request. All have its id, so that
 * one request can be followed; times are in ms.
 */

/* A backend server was granted; @waited since it was asked for. */
void ggw_proxy_log_granted(const struct ggw_request *r,
                           const struct ggw_slot_grant *grant, ggw_ms waited);

/* No backend server was granted. */
void ggw_proxy_log_no_slot(const struct ggw_request *r,
                           const struct ggw_slot_refuse *refuse);

/* An attempt has ended; @result by its name in the metrics. */
void ggw_proxy_log_attempt(const struct ggw_attempt *a, const char *result,
                           ggw_ms latency);

/* A second attempt is asked for while the first runs. */
void ggw_proxy_log_hedge(const struct ggw_request *r, ggw_ms after);

/* Whether a failed attempt is repeated, and why not. */
void ggw_proxy_log_retry(const struct ggw_request *r,
                         enum ggw_attempt_result result,
                         enum ggw_retry_verdict verdict);

/* The response of a backend server is passed on. */
void ggw_proxy_log_response(const struct ggw_request *r, int status);

/* The gateway answers by itself. */
void ggw_proxy_log_refused(const struct ggw_request *r, int status,
                           const char *reason, enum ggw_outcome outcome,
                           ggw_ms retry_after);

/* The client left before it had its response. */
void ggw_proxy_log_client_left(const struct ggw_request *r);

#endif
