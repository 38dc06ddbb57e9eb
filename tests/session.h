#ifndef GGW_TESTS_SESSION_H
#define GGW_TESTS_SESSION_H

#include <glib.h>
#include <stdbool.h>

#include "tests/system.h"

/*
 * A session is a transcript of requests and operators' verbs with their
 * answers. Times, addresses and ids are replaced, then it is compared with
 * tests/golden/NAME.txt. With GGW_GOLDEN=write it is written there instead.
 */

struct session;

struct session *session_new(const char *name, struct system *system);

/* Adds a heading. */
void session_note(struct session *session, const char *text);

/* Sends a request to the first gateway; see client_request(). */
void session_request(struct session *session, const char *method,
                     const char *path, const char *headers, const char *body);

/**
 * session_raw() - send bytes as they are to the first gateway
 * @what: stands in the transcript in place of the bytes
 */
void session_raw(struct session *session, const char *what, const char *bytes,
                 size_t len);

/* Runs an operators' verb; see system_verb(). */
void session_verb(struct session *session, const char *const *args);

/* Adds a verb that was started with system_verb_start() and waits for it. */
void session_verb_finish(struct session *session, struct system_process *verb,
                         const char *const *args);

/* Compares or writes the transcript and frees the session; false when it
 * differs, after printing it. */
bool session_end(struct session *session);

#endif
