#ifndef GGW_PROXY_EVENTS_H
#define GGW_PROXY_EVENTS_H

#include "proxy/state.h"

/*
 * Log events for the decisions made about a request. Each one has the id of
 * the request, so that a request can be traced; times are in ms.
 */

/* A slot was granted; @waited: time since it was requested. */
void ggw_proxy_log_granted(const struct ggw_request *r,
                           const struct ggw_slot_grant *grant, ggw_ms waited);

/* No slot was granted. */
void ggw_proxy_log_no_slot(const struct ggw_request *r,
                           const struct ggw_slot_refuse *refuse);

/* The request is over its customer's allotment. */
void ggw_proxy_log_over_allotment(const struct ggw_request *r,
                                  const struct ggw_allotment_result *result);

/* An attempt has ended; @result: name of its result in the metrics. */
void ggw_proxy_log_attempt(const struct ggw_attempt *a, const char *result,
                           ggw_ms latency);

/* The client gets the response of the second attempt, on server @vm. */
void ggw_proxy_log_hedge_won(const struct ggw_request *r, const char *vm);
/* A hedge is requested; @after: time since the request was received. */
void ggw_proxy_log_hedge(const struct ggw_request *r, ggw_ms after);

/* A failed attempt is retried, or @verdict says why not. */
void ggw_proxy_log_retry(const struct ggw_request *r,
                         enum ggw_attempt_result result,
                         enum ggw_retry_verdict verdict);

/* The response of a backend server is forwarded to the client. */
void ggw_proxy_log_response(const struct ggw_request *r, int status);

/* A response that has been started is cut, because @a ended with @end. */
void ggw_proxy_log_truncated(const struct ggw_attempt *a,
                             enum ggw_call_end end);

/* A server's headers say in a malformed way that it wants no requests. */
void ggw_proxy_log_malformed_backoff(const char *vm, const char *request,
                                     const struct ggw_backoff_notice *notice);

/* The gateway responds itself. */
void ggw_proxy_log_refused(const struct ggw_request *r, int status,
                           const char *reason, enum ggw_outcome outcome,
                           ggw_ms retry_after);

/*
 * A request without a valid key of a customer is refused; the key itself is
 * not logged.
 * @id: id of the request, or NULL
 */
void ggw_proxy_log_key_refused(const char *id, const char *route,
                               const char *reason, uint64_t revision);

/*
 * The client disconnected before it had its response, or the request was cut
 * because the gateway stops.
 */
void ggw_proxy_log_disconnected(const struct ggw_request *r,
                                enum ggw_exchange_end end,
                                enum ggw_outcome outcome);

#endif
