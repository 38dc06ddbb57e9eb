#ifndef RIG_SERVER_H
#define RIG_SERVER_H

#include "rig.h"

/*
 * Stand-in for a backend server. It registers itself in the store, runs as
 * many requests at a time as it has slots, and answers with as many bytes as
 * the last part of the path says.
 */

/**
 * struct server
 * @work_ms: time that a request takes before its response begins
 * @rate: bytes per ms of its link, which its connections share; 0: no limit
 * @dark: it has lost its power: it sends and reads nothing, and opens no
 *        connection, until server_restart()
 * @start: number of its starts
 * @ran: requests that it began to work on
 */
struct server {
    int index;
    char service[32];
    char zone[32];
    int slots;
    double work_ms;
    double rate;
    bool dark;
    int start;
    int sequence;
    double cold_until;
    int ran;
    int running;
    int listener;
    int fillers[3];
    double link_free_at;
    pthread_mutex_t lock;
    pthread_cond_t freed;
};

/* Sets up the server, begins to listen and to report to the store. */
void server_start(struct server *s);

/* Cuts the power of the server. */
void server_darken(struct server *s);

/* Starts it again, cold and under a new id. */
void server_restart(struct server *s, double cold_ms);

/* Whether a server began to work on an attempt of rig_new_id(). */
bool server_has_run(const char *attempt);

/* Signature of a body that a server sends for an attempt. */
void server_signature(const char *attempt, const char *body, size_t len,
                      char *signature, size_t size);

#endif
