#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Instances answer without a length, and a few connections between a gateway
 * and an instance are reset on the way. MIXED is broken if the client's answer
 * looks complete with a part of the body.
 */

/* Size of the answer: the mean of "diagram-fetch" in the site files. */
#define BODY_BYTES 90000
#define CUT_BYTES 45000

#define DOWNLOADS 100
#define INTERVAL_MS 50.0
#define WORK_MS 96.0
#define DEADLINE_MS 2500.0

/* One connection in CONNECTIONS_PER_RESET is reset. */
#define CONNECTIONS_PER_RESET 20

struct download {
    char id[32];
    bool done;
    struct rig_answer answer;
};

static struct download downloads[DOWNLOADS];
static char body[BODY_BYTES];

static bool
run(struct rig_instance *inst, const struct rig_request *req, int fd)
{
    g_autofree char *head = rig_format_answer(inst, req, 200, -1, true);
    bool sent;

    rig_sleep(WORK_MS);
    sent =
        rig_send(fd, head, strlen(head)) && rig_send(fd, body, sizeof(body));
    rig_record("instance %s has %s the whole answer to %s, %d bytes", inst->id,
               sent ? "sent" : "NOT sent", req->id, BODY_BYTES);
    return false; /* the end of the connection ends the answer */
}

static size_t
cut(void)
{
    static gint connections;
    int n = g_atomic_int_add(&connections, 1);

    return rig_trouble() && n % CONNECTIONS_PER_RESET == 0 ? CUT_BYTES : 0;
}

static gpointer
download_thread(gpointer data)
{
    struct download *d = data;
    g_autofree char *text =
        rig_format_request("GET", "/files/1", d->id, DEADLINE_MS, 0);
    int fd = rig_connect(rig_gateway_host(0), RIG_FRONT_PORT, 0);

    if (fd < 0) {
        return NULL;
    }
    if (rig_send(fd, text, strlen(text))) {
        rig_read_answer(fd, DEADLINE_MS, 0, 0, NULL, &d->answer);
        d->done = true;
        rig_record("client gets status %d for %s, %u bytes, %s",
                   d->answer.status, d->id, d->answer.body->len,
                   d->answer.reset      ? "connection reset"
                   : d->answer.complete ? "complete"
                                        : "not complete");
    }
    close(fd);
    return NULL;
}

int
main(void)
{
    GThread *threads[DOWNLOADS];
    int whole = 0, mixed = 0;

    memset(body, 'x', sizeof(body));
    rig_open(3, 60000);
    for (int i = 0; i < 6; i++) {
        rig_add_relayed_instance("drawings", i % 3, 2, run, NULL, CUT_BYTES,
                                 cut);
    }
    rig_add_route("/files/", "download", "drawings", 400, 0);
    rig_start();
    for (int i = 0; i < DOWNLOADS; i++) {
        g_snprintf(downloads[i].id, sizeof(downloads[i].id), "file%012d", i);
    }
    for (int i = 0; i < DOWNLOADS; i++) {
        threads[i] = g_thread_new("client", download_thread, &downloads[i]);
        rig_sleep(INTERVAL_MS);
    }
    for (int i = 0; i < DOWNLOADS; i++) {
        const struct rig_answer *a = &downloads[i].answer;

        g_thread_join(threads[i]);
        if (downloads[i].done && a->status == 200 && a->complete) {
            if (a->body->len == BODY_BYTES) {
                whole++;
            }
            else {
                mixed++;
                rig_record("BROKEN: %s looks complete with %u of %d bytes",
                           downloads[i].id, a->body->len, BODY_BYTES);
            }
        }
    }
    rig_record("%d downloads, %d whole, %d end early and look complete",
               DOWNLOADS, whole, mixed);
    if (whole == 0) {
        rig_exit(RIG_CANNOT_RUN);
    }
    rig_exit(mixed > 0 ? RIG_BROKEN : RIG_HELD);
}
