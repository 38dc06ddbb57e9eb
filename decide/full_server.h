#ifndef GGW_DECIDE_FULL_SERVER_H
#define GGW_DECIDE_FULL_SERVER_H

#include <stdbool.h>

#include "kernel/clock.h"
#include "slots/slots.h"

/**
 * DOC: What the full servers of a service do with a further request
 *
 * Answers the load of servers that reset or ignore a request when they are
 * full. The outcome of such a request is unknown, so that one that may not be
 * repeated is lost to its caller. What servers do is learned from the attempts
 * of a service; requests that may not be repeated then go only to servers
 * where a slot is free by all that is known.
 */

/**
 * enum ggw_full_behaviour - what a full server does
 * @GGW_FULL_UNKNOWN: not seen yet
 * @GGW_FULL_ANSWERS: responds that it did not run the request
 * @GGW_FULL_RESETS: resets the connection
 * @GGW_FULL_HANGS: never responds
 */
enum ggw_full_behaviour {
    GGW_FULL_UNKNOWN,
    GGW_FULL_ANSWERS,
    GGW_FULL_RESETS,
    GGW_FULL_HANGS,
};

/**
 * struct ggw_full_server - what was seen of the servers of a service
 * @behaviour: what a full server does
 * @attempts: private; attempts on servers with room left and, second, on
 *            servers whose last slot they took
 * @events: private; the same for attempts that showed a behaviour
 *
 * Zero-initialised for a new service.
 */
struct ggw_full_server {
    enum ggw_full_behaviour behaviour;
    double attempts[2];
    double events[GGW_FULL_HANGS + 1][2];
};

/**
 * ggw_full_server_add_attempt() - count an attempt that has ended
 * @last_slot: the attempt took the last slot of its server
 */
void ggw_full_server_add_attempt(struct ggw_full_server *f, bool last_slot);

/**
 * ggw_full_server_add_event() - add an attempt that showed a behaviour
 * @event: what the server did. Resets and hangs count only if the process
 *         was alive: it completed a request that had started before.
 * @last_slot: the attempt took the last slot of its server
 *
 * Call it beside ggw_full_server_add_attempt(). Servers reset connections for
 * other reasons, too, so attempts on servers with room are compared.
 */
void ggw_full_server_add_event(struct ggw_full_server *f,
                               enum ggw_full_behaviour event, bool last_slot);

/**
 * ggw_full_server_event() - what the result of an attempt suggests
 * @latency: time until the end of the attempt, ms
 * @median: median latency of the service, ms; 0: not known
 *
 * A reset for lack of room comes well before the usual end of a request.
 *
 * Return: GGW_FULL_UNKNOWN if the result says nothing.
 */
enum ggw_full_behaviour ggw_full_server_event(enum ggw_attempt_result result,
                                              ggw_ms latency, ggw_ms median);

/* A server whose count was wrong keeps one slot free for this time, in ms. */
#define GGW_FULL_DISTRUST 5000.0

/* Load reports show requests of others for this time, in ms. */
#define GGW_FULL_REPORT_AGE 300.0

/**
 * struct ggw_full_load - what is known of the slots of a server
 * @slots: requests that the server may run
 * @in_flight: requests that count as running on it
 * @abandoned: cancelled requests that it may still run
 * @foreign: requests in its last load report beyond @in_flight at that time
 * @report_age: age of the last load report, ms; INFINITY: none
 * @event_age: time since the server last reset or ignored a request, ms;
 *             INFINITY: never
 */
struct ggw_full_load {
    int slots;
    int in_flight;
    int abandoned;
    int foreign;
    ggw_ms report_age;
    ggw_ms event_age;
};

/**
 * ggw_full_server_has_room() - check whether a slot is free by all that is
 *                              known
 */
bool ggw_full_server_has_room(const struct ggw_full_load *load);

#endif
