#ifndef GGW_STANDINS_ENDLESS_H
#define GGW_STANDINS_ENDLESS_H

#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>

/**
 * DOC: responses that never end
 *
 * A form begins with some bytes and goes on with others, as fast as the client
 * takes them, until it closes the connection.
 */

#define ENDLESS_OK "HTTP/1.1 200 OK\r\n"
#define ENDLESS_CHUNKED ENDLESS_OK "transfer-encoding: chunked\r\n\r\n"

/* Minimum size in bytes of the bytes that are sent in one call. */
#define ENDLESS_BLOCK 65536

/* Calls of send() before other connections are served. */
#define ENDLESS_SENDS 4

/**
 * struct endless_form - a response that never ends
 * @name: name in the query string and on the control page
 * @first: bytes that are sent once
 * @more: bytes that are sent again and again
 */
struct endless_form {
    const char *name;
    const char *first;
    const char *more;
};

static const struct endless_form endless_forms[] = {
    {"status-line", "HTTP/1.1 200 ", "x"},
    {"header-value", ENDLESS_OK "a: ", "x"},
    {"headers", ENDLESS_OK, "a: b\r\n"},
    {"interim", "HTTP/1.1 100 C\r\n\r\n", "HTTP/1.1 100 C\r\n\r\n"},
    {"no-length", ENDLESS_OK "\r\n", "x"},
    {"length", ENDLESS_OK "content-length: 99999999999\r\n\r\n", "x"},
    {"chunks", ENDLESS_CHUNKED, "5\r\nxxxxx\r\n"},
    {"chunk-extension", ENDLESS_CHUNKED "1;", "x"},
    {"trailers", ENDLESS_CHUNKED "0\r\n", "a: b\r\n"},
    {"behind", ENDLESS_OK "content-length: 2\r\n\r\n{}", "x"},
    {"behind-chunks", ENDLESS_CHUNKED "2\r\n{}\r\n0\r\n\r\n", "x"},
    {"no-content", "HTTP/1.1 204 No Content\r\n\r\n", "x"},
    {"not-modified", "HTTP/1.1 304 Not Modified\r\n\r\n", "x"},
    {"upgrade",
     "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\n"
     "upgrade: x\r\n\r\n",
     "x"},
    {"refusal",
     "HTTP/1.1 503 Busy\r\nbackend-outcome: not-run\r\n"
     "content-length: 99999999999\r\n\r\n",
     "x"},
};

/**
 * struct endless - an endless response that is being sent
 * @form: NULL when the connection sends none
 * @block: @form's bytes that are repeated
 * @first_sent: bytes of @form's beginning that have been sent
 * @offset: bytes of @block that have been sent in this round
 */
struct endless {
    const struct endless_form *form;
    GString *block;
    size_t first_sent;
    size_t offset;
};

/* The form with a name, which ends at the first character of "& ", or NULL. */
static inline const struct endless_form *
endless_find(const char *name)
{
    size_t len;

    if (name == NULL) {
        return NULL;
    }
    len = strcspn(name, "& ");
    for (size_t i = 0; i < G_N_ELEMENTS(endless_forms); i++) {
        const struct endless_form *form = &endless_forms[i];

        if (strlen(form->name) == len && strncmp(form->name, name, len) == 0) {
            return form;
        }
    }
    return NULL;
}

static inline void
endless_start(struct endless *e, const struct endless_form *form)
{
    e->form = form;
    e->block = g_string_new(NULL);
    while (e->block->len < ENDLESS_BLOCK) {
        g_string_append(e->block, form->more);
    }
}

static inline void
endless_clear(struct endless *e)
{
    if (e->block != NULL) {
        g_string_free(e->block, TRUE);
    }
    memset(e, 0, sizeof(*e));
}

/* Sends what the socket takes, up to ENDLESS_SENDS blocks. */
static inline void
endless_send(struct endless *e, int fd)
{
    size_t first_len = strlen(e->form->first);

    for (int i = 0; i < ENDLESS_SENDS; i++) {
        bool first = e->first_sent < first_len;
        const char *bytes =
            first ? e->form->first + e->first_sent : e->block->str + e->offset;
        size_t len =
            first ? first_len - e->first_sent : e->block->len - e->offset;
        ssize_t n = send(fd, bytes, len, MSG_DONTWAIT | MSG_NOSIGNAL);

        if (n <= 0) {
            return;
        }
        if (first) {
            e->first_sent += (size_t)n;
        }
        else {
            e->offset = (e->offset + (size_t)n) % e->block->len;
        }
    }
}

#endif
