#ifndef GGW_HTTP_CALL_FACTS_H
#define GGW_HTTP_CALL_FACTS_H

#include <stddef.h>

/*
 * What is known of the response to a call.
 */

/**
 * enum ggw_call_fault - why a response is broken
 * @GGW_FAULT_NONE: it is not, as far as is known
 * @GGW_FAULT_RESET: the connection was reset
 * @GGW_FAULT_CUT: the connection was closed before the response was complete
 * @GGW_FAULT_MALFORMED: the bytes are no HTTP response, or switch to another
 *                       protocol
 * @GGW_FAULT_TOO_LARGE: the head is too large
 * @GGW_FAULT_OTHER_ID: it has another request's id, or none
 * @GGW_FAULT_SURPLUS: another response stands within it, or may do so
 */
enum ggw_call_fault {
    GGW_FAULT_NONE,
    GGW_FAULT_RESET,
    GGW_FAULT_CUT,
    GGW_FAULT_MALFORMED,
    GGW_FAULT_TOO_LARGE,
    GGW_FAULT_OTHER_ID,
    GGW_FAULT_SURPLUS,
};

/**
 * enum ggw_framing - what ends the body of a response
 * @GGW_FRAMING_UNKNOWN: the head has not arrived
 * @GGW_FRAMING_LENGTH: its length, or the response has no body
 * @GGW_FRAMING_CHUNKED: the last chunk
 * @GGW_FRAMING_CLOSE: the end of the connection
 */
enum ggw_framing {
    GGW_FRAMING_UNKNOWN,
    GGW_FRAMING_LENGTH,
    GGW_FRAMING_CHUNKED,
    GGW_FRAMING_CLOSE,
};

/**
 * struct ggw_call_facts - what is known of a response, for the log
 * @fault: why it is broken
 * @framing: what ends its body
 * @body_bytes: body bytes received
 * @carried: number of earlier requests on its connection
 */
struct ggw_call_facts {
    enum ggw_call_fault fault;
    enum ggw_framing framing;
    size_t body_bytes;
    unsigned carried;
};

/**
 * ggw_call_fault_name() - get the name of a fault for the log
 */
const char *ggw_call_fault_name(enum ggw_call_fault fault);

/**
 * ggw_framing_name() - get the name of a framing for the log
 */
const char *ggw_framing_name(enum ggw_framing framing);

#endif
