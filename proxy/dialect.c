#include "proxy/dialect.h"

#include "proxy/headers.h"

static const char *const stripped_prefixes[] = {
    "greengageway-",
    "backend-load",
    "backend-outcome",
    NULL,
};

static bool
not_run(int status, const h2o_header_t *headers, size_t len)
{
    return (status == 503 || status == 504) &&
           ggw_headers_not_run(headers, len);
}

/* A server that sheds a request may ask for a pause. */
static struct ggw_backoff_notice
parse_backoff(int status, const h2o_header_t *headers, size_t len)
{
    struct ggw_backoff_notice notice = {0};

    if (not_run(status, headers, len)) {
        ggw_headers_parse_pause(headers, len, &notice);
    }
    return notice;
}

const struct ggw_dialect ggw_default_dialect = {
    .name = "greengageway",
    .attempt_id = "greengageway-request",
    .deadline = "greengageway-deadline",
    .retry_count = "greengageway-attempt",
    .customer_key = "greengageway-key",
    .customer = "greengageway-customer",
    .stripped_prefixes = stripped_prefixes,
    .not_run = not_run,
    .load = ggw_headers_parse_load,
    .probe_load = ggw_headers_parse_load,
    .backoff = parse_backoff,
};
