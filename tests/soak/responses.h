#ifndef GGW_SOAK_RESPONSES_H
#define GGW_SOAK_RESPONSES_H

#include <glib.h>
#include <stdbool.h>

#include "common/fine_timer.h"
#include "tests/soak/record.h"
#include "tests/soak/wire.h"

/*
 * What a backend server of the soak sends on one connection: responses with
 * or without a length, copies of earlier ones, bytes without end, and heads
 * that are no HTTP.
 */

/**
 * struct soak_response_faults - what is unusual about a server's responses
 * @unframed_ratio: ratio of responses without a length, which the server ends
 *                  by closing the connection in order
 * @repeat_ratio: ratio of responses with a copy of the same or of an earlier
 *                response before, in or behind them
 * @endless_ratio: ratio of responses whose head or body has no end
 * @malformed_ratio: ratio of responses whose head is no HTTP
 */
struct soak_response_faults {
    double unframed_ratio;
    double repeat_ratio;
    double endless_ratio;
    double malformed_ratio;
};

/**
 * struct soak_response - a response
 * @id: attempt-id header; NULL: there is none
 * @headers: all other header lines, without a length
 */
struct soak_response {
    int status;
    const char *id;
    const char *headers;
    const char *body;
    size_t len;
};

struct soak_responder;

struct soak_responder *soak_responder_new(struct soak_wire *w, GRand *rand,
                                          struct ggw_fine_timers *timers);
void soak_responder_free(struct soak_responder *r);

/* Sends a response as it is, with a length. */
void soak_responder_send(struct soak_responder *r,
                         const struct soak_response *response);

/**
 * soak_responder_send_faulty() - send the response to @a, perhaps with a fault
 *
 * It sets @response_sent of @a if all bytes of the response are sent, and
 * @server_broke_off if foreign bytes are in or behind the body.
 */
void soak_responder_send_faulty(struct soak_responder *r,
                                const struct soak_response *response,
                                const struct soak_response_faults *faults,
                                struct soak_attempt *a);

/*
 * Sends the head and the first half of the body of the response to @a, then
 * ends the connection in order if the length was sent, else resets it.
 */
void soak_responder_send_half(struct soak_responder *r,
                              const struct soak_response *response,
                              bool framed, struct soak_attempt *a);

/* Whether the server has ended the connection, or is about to. */
bool soak_responder_is_ended(const struct soak_responder *r);

/* Records that the response that is being sent, if any, is cut. */
void soak_responder_record_cut(struct soak_responder *r);

#endif
