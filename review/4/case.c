#include "rig.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Clients send a second idempotent request on their connection before the
 * first one is answered, and their gateway gets SIGTERM. LOST is broken if the
 * first request, which was passed on to an instance, gets no complete answer.
 * The second one does not count.
 */

/* Size of an answer: the largest of "archive-lookup" in the site files. */
#define BODY_BYTES 30000

/* Path of the client: segments of an Ethernet, a small window, 10 Mbit/s. */
#define SEGMENT_BYTES 1460
#define WINDOW_BYTES 8192
#define PACE_MS 2.0
#define PACE_BYTES 2500

#define CLIENTS 6
#define WORK_MS 480.0
#define DEADLINE_MS 8000.0

/* Times after SIGTERM of the first requests, and from these to the second. */
#define FIRST_MS 300.0
#define FIRST_INTERVAL_MS 50.0
#define SECOND_AFTER_MS 100.0

struct client {
    char ids[2][32];
    int fd;
    bool ran;
    struct rig_answer answers[2];
};

static struct client clients[CLIENTS];
static char body[BODY_BYTES];

static bool
run(struct rig_instance *inst, const struct rig_request *req, int fd)
{
    g_autofree char *head = NULL;
    bool sent;

    for (int i = 0; i < CLIENTS; i++) {
        if (strcmp(clients[i].ids[0], req->id) == 0) {
            clients[i].ran = true;
        }
    }
    rig_sleep(WORK_MS);
    head = rig_format_answer(inst, req, 200, BODY_BYTES, false);
    sent =
        rig_send(fd, head, strlen(head)) && rig_send(fd, body, sizeof(body));
    rig_record("instance %s has %s the whole answer to %s", inst->id,
               sent ? "sent" : "NOT sent", req->id);
    return sent;
}

static int
connect_client(void)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_port = htons(RIG_FRONT_PORT)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int segment = SEGMENT_BYTES;
    int window = WINDOW_BYTES;
    int on = 1;

    inet_pton(AF_INET, rig_gateway_host(0), &sa.sin_addr);
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static bool
send_request(struct client *c, int index)
{
    g_autofree char *text =
        rig_format_request("GET", "/archive/1", c->ids[index], DEADLINE_MS, 0);

    rig_record("client sends GET /archive/1 %s", c->ids[index]);
    return rig_send(c->fd, text, strlen(text));
}

static gpointer
client_thread(gpointer data)
{
    struct client *c = data;
    g_autoptr(GByteArray) carry = g_byte_array_new();

    if (!send_request(c, 0)) {
        return NULL;
    }
    rig_sleep(SECOND_AFTER_MS);
    send_request(c, 1);
    for (int i = 0; i < 2; i++) {
        struct rig_answer *a = &c->answers[i];

        rig_read_answer(c->fd, DEADLINE_MS, PACE_MS, PACE_BYTES, carry, a);
        rig_record("client gets status %d for %s, %u of %d bytes, %s",
                   a->status, c->ids[i], a->body->len, BODY_BYTES,
                   a->reset    ? "connection reset"
                   : a->closed ? "connection closed"
                               : "connection open");
        if (a->closed) {
            break;
        }
    }
    close(c->fd);
    return NULL;
}

int
main(void)
{
    GThread *threads[CLIENTS];
    double start_at;
    int whole = 0, lost = 0;

    memset(body, 'x', sizeof(body));
    rig_open(3, 60000);
    for (int i = 0; i < 6; i++) {
        rig_add_instance("archive", i % 3, 2, run, NULL);
    }
    rig_add_route("/archive/", "idempotent", "archive", 1200, 4000);
    rig_start();
    for (int i = 0; i < CLIENTS; i++) {
        for (int j = 0; j < 2; j++) {
            g_snprintf(clients[i].ids[j], sizeof(clients[i].ids[j]),
                       "look%010d-%d", i, j);
        }
        clients[i].fd = connect_client();
        if (clients[i].fd < 0) {
            rig_exit(RIG_CANNOT_RUN);
        }
    }
    rig_sleep(200);
    start_at = rig_now();
    if (rig_trouble()) {
        rig_signal(0, SIGTERM);
    }
    for (int i = 0; i < CLIENTS; i++) {
        rig_sleep(start_at + FIRST_MS + i * FIRST_INTERVAL_MS - rig_now());
        threads[i] = g_thread_new("client", client_thread, &clients[i]);
    }
    for (int i = 0; i < CLIENTS; i++) {
        g_thread_join(threads[i]);
    }
    for (int i = 0; i < CLIENTS; i++) {
        const struct client *c = &clients[i];

        if (c->answers[0].complete) {
            whole++;
        }
        else if (c->ran) {
            lost++;
            rig_record("BROKEN: %s was passed on and got %u of %d bytes",
                       c->ids[0], c->answers[0].body->len, BODY_BYTES);
        }
    }
    rig_record("%d clients, %d first requests answered, %d passed on and lost",
               CLIENTS, whole, lost);
    if (whole + lost == 0) {
        rig_exit(RIG_CANNOT_RUN);
    }
    rig_exit(lost > 0 ? RIG_BROKEN : RIG_HELD);
}
