#include "tests/crowd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Bytes that a client sends in one turn, at most. */
#define TURN_BYTES (128 * 1024)

/* Receive buffer of a client that does not read, bytes. */
#define RECEIVE_BYTES 4096

/**
 * struct one - a client
 * @fd: its connection, or -1
 * @at: number of bytes that it has sent
 */
struct one {
    int fd;
    size_t at;
};

struct crowd_run {
    struct crowd crowd;
    size_t head_len, tail_len, total;
    double sent;
    struct one *ones;
};

static int
open_socket(const char *address)
{
    const char *colon = strchr(address, ':');
    g_autofree char *host = g_strndup(address, (gsize)(colon - address));
    struct sockaddr_in sa = {
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)g_ascii_strtoull(colon + 1, NULL, 10)),
    };
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int bytes = RECEIVE_BYTES;

    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    inet_pton(AF_INET, host, &sa.sin_addr);
    if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

struct crowd_run *
crowd_start(const struct crowd *crowd)
{
    struct crowd_run *run = g_new0(struct crowd_run, 1);

    run->crowd = *crowd;
    run->head_len = strlen(crowd->head);
    run->tail_len = crowd->tail != NULL ? strlen(crowd->tail) : 0;
    run->total =
        run->head_len + crowd->part_len * crowd->parts + run->tail_len;
    run->ones = g_new0(struct one, crowd->clients);
    for (int i = 0; i < crowd->clients; i++) {
        run->ones[i].fd = open_socket(crowd->address);
    }
    return run;
}

/* The bytes that a client sends next. */
static const char *
next_bytes(const struct crowd_run *run, size_t at, size_t *len)
{
    const struct crowd *c = &run->crowd;
    size_t parts_len = c->part_len * c->parts;
    size_t offset;

    if (at < run->head_len) {
        *len = run->head_len - at;
        return c->head + at;
    }
    at -= run->head_len;
    if (at < parts_len) {
        offset = at % c->part_len;
        *len = c->part_len - offset;
        return c->part + offset;
    }
    at -= parts_len;
    *len = run->tail_len - at;
    return c->tail + at;
}

static void
close_one(struct one *one)
{
    close(one->fd);
    one->fd = -1;
}

/* Returns whether the client has sent a byte. */
static bool
send_some(struct crowd_run *run, struct one *one)
{
    size_t most = run->crowd.step > 0 ? run->crowd.step : TURN_BYTES;
    size_t done = 0;

    while (done < most && one->at < run->total) {
        size_t len;
        const char *bytes = next_bytes(run, one->at, &len);
        ssize_t n = send(one->fd, bytes, MIN(len, most - done), MSG_NOSIGNAL);

        if (n <= 0) {
            if (errno != EAGAIN && errno != ENOTCONN) {
                close_one(one);
            }
            break;
        }
        one->at += (size_t)n;
        done += (size_t)n;
    }
    run->sent += (double)done;
    return done > 0;
}

static void
read_some(struct one *one)
{
    char buf[65536];
    ssize_t n = recv(one->fd, buf, sizeof(buf), 0);

    if (n == 0 || (n < 0 && errno != EAGAIN && errno != ENOTCONN)) {
        close_one(one);
    }
}

bool
crowd_turn(struct crowd_run *run)
{
    bool progress = false;

    for (int i = 0; i < run->crowd.clients; i++) {
        struct one *one = &run->ones[i];

        if (one->fd >= 0) {
            progress = send_some(run, one) || progress;
        }
        if (one->fd >= 0 && run->crowd.reads) {
            read_some(one);
        }
    }
    return progress;
}

int
crowd_open(const struct crowd_run *run)
{
    int n = 0;

    for (int i = 0; i < run->crowd.clients; i++) {
        n += run->ones[i].fd >= 0;
    }
    return n;
}

double
crowd_sent(const struct crowd_run *run)
{
    return run->sent;
}

void
crowd_end(struct crowd_run *run)
{
    for (int i = 0; i < run->crowd.clients; i++) {
        if (run->ones[i].fd >= 0) {
            close_one(&run->ones[i]);
        }
    }
    g_free(run->ones);
    g_free(run);
}
