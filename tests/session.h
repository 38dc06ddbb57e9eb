#ifndef GGW_TESTS_SESSION_H
#define GGW_TESTS_SESSION_H

#include <glib.h>
#include <stdbool.h>

#include "tests/system.h"

/*
 * A session records a transcript of requests and operator commands (verbs)
 * with their output. Times, addresses and ids in it are replaced by fixed
 * words, and the result is compared with the golden file
 * tests/golden/NAME.txt. With GGW_GOLDEN=write, the golden file is written
 * first.
 */

struct session;

/**
 * session_new() - start a transcript
 * @name: name of the golden file, without folder and suffix
 * @system: the deployment that receives the requests
 */
struct session *session_new(const char *name, struct system *system);

/* Adds a heading to the transcript. */
void session_note(struct session *session, const char *text);

/* Sends a request to the first gateway as client_request() does. */
void session_request(struct session *session, const char *method,
                     const char *path, const char *headers, const char *body);

/**
 * session_raw() - send bytes unchanged to the first gateway
 * @session: the session
 * @what: description of the bytes, which replaces them in the transcript
 * @bytes: bytes to send
 * @len: length of @bytes
 */
void session_raw(struct session *session, const char *what, const char *bytes,
                 size_t len);

/* Runs an operator command (verb) as system_verb() does. */
void session_verb(struct session *session, const char *const *args);

/* Waits for a verb that system_verb_start() started, and adds its output. */
void session_verb_finish(struct session *session, struct system_process *verb,
                         const char *const *args);

/**
 * session_end() - compare the transcript with the golden file
 *
 * Prints the transcript if it differs. Frees the session.
 *
 * Return: whether the transcript equals the golden file.
 */
bool session_end(struct session *session);

#endif
