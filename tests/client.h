#ifndef GGW_TESTS_CLIENT_H
#define GGW_TESTS_CLIENT_H

#include <glib.h>
#include <stdbool.h>

/* A blocking HTTP/1.1 client for tests; one connection per request. */

/**
 * struct reply - a response
 * @status: 0 when no response came
 * @head: status line and headers, each line ending in CRLF
 * @body: what came of the body
 * @complete: the framing of the response says that the body is whole
 */
struct reply {
    int status;
    GString *head;
    GByteArray *body;
    bool complete;
};

/**
 * client_request() - send a request and read the response
 * @address: "IP:PORT"
 * @headers: lines that each end in CRLF, or NULL
 * @body: text, or NULL
 */
struct reply *client_request(const char *address, const char *method,
                             const char *path, const char *headers,
                             const char *body);

/**
 * client_raw() - send bytes as they are and read until the peer closes or the
 *                response is complete
 */
struct reply *client_raw(const char *address, const char *bytes, size_t len);

/* The two halves of client_raw(), for requests at the same time; the second
 * closes the descriptor. */
int client_send(const char *address, const char *bytes, size_t len);
struct reply *client_read(int fd);

/* Value of a header of a reply, to be freed; NULL when it is not there. */
char *reply_header(const struct reply *reply, const char *name);

/* The body as text that lives as long as the reply. */
const char *reply_text(struct reply *reply);
void reply_free(struct reply *reply);

/**
 * client_await() - call @condition until it holds
 * @limit_ms: longest wait; each caller derives it from a promised bound
 */
bool client_await(bool (*condition)(void *data), void *data, int limit_ms);

#endif
