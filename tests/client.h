#ifndef GGW_TESTS_CLIENT_H
#define GGW_TESTS_CLIENT_H

#include <glib.h>
#include <stdbool.h>

/**
 * DOC: blocking HTTP/1.1 client for tests, with one connection per request
 */

/**
 * struct reply - a response
 * @status: status code; 0 when no complete head was received
 * @head: status line and headers, each line ending in CRLF
 * @body: the part of the body that was received, without chunk framing when
 *        @complete
 * @complete: by its framing the response was received in full
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
 * @headers: header lines, each ending in CRLF, or NULL
 * @body: text that is sent with its Content-Length, or NULL
 *
 * Return: the response, to be freed with reply_free(); its status is 0 when
 * the connection failed.
 */
struct reply *client_request(const char *address, const char *method,
                             const char *path, const char *headers,
                             const char *body);

/**
 * client_raw() - send bytes unchanged and read until the response is complete
 *                or the peer closes the connection
 */
struct reply *client_raw(const char *address, const char *bytes, size_t len);

/* client_raw() in two steps, for concurrent requests. client_send() connects,
 * sends and returns the socket, or -1 when the connection failed. Then
 * client_read() reads the response and closes the socket. */
int client_send(const char *address, const char *bytes, size_t len);
struct reply *client_read(int fd);

/* Value of a header, to be freed with g_free(); NULL when it is absent. */
char *reply_header(const struct reply *reply, const char *name);

/* The body as NUL-terminated text, valid until the reply is freed. */
const char *reply_text(struct reply *reply);
void reply_free(struct reply *reply);

/**
 * client_await() - poll @condition until it holds
 * @limit_ms: longest wait in ms; callers derive it from a guaranteed bound
 *
 * Return: false when the condition didn't hold in time.
 */
bool client_await(bool (*condition)(void *data), void *data, int limit_ms);

#endif
