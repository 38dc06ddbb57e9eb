#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * An instance answers without a length, and its connection is reset on the
 * way. MIXED is broken if the client's answer looks complete.
 */

/* Size of the answer: the mean of "diagram-fetch" in the site files. */
#define BODY_BYTES 90000
#define SENT_BYTES 45000

#define DOWNLOADS 100
#define INTERVAL_MS 50.0
#define WORK_MS 96.0
#define DEADLINE_MS 2500.0

/* One answer in ANSWERS_PER_RESET is reset. */
#define ANSWERS_PER_RESET 20

struct download {
    char id[32];
    int sent; /* answers of instances */
    bool done;
    struct rig_answer answer;
};

static struct download downloads[DOWNLOADS];
static char body[BODY_BYTES];

static struct download *
find_download(const char *id)
{
    for (int i = 0; i < DOWNLOADS; i++) {
        if (strcmp(downloads[i].id, id) == 0) {
            return &downloads[i];
        }
    }
    return NULL;
}

static bool
run(struct rig_instance *inst, const struct rig_request *req, int fd)
{
    g_autofree char *head = rig_format_answer(inst, req, 200, -1, true);
    struct download *d = find_download(req->id);
    bool first = d != NULL && d->sent++ == 0;
    bool resets =
        rig_trouble() && first && (d - downloads) % ANSWERS_PER_RESET == 0;
    struct linger reset = {.l_onoff = 1};

    rig_sleep(WORK_MS);
    rig_send(fd, head, strlen(head));
    if (resets) {
        rig_send(fd, body, SENT_BYTES);
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        rig_record("the connection of %s to %s is reset after %d of %d bytes",
                   inst->id, req->id, SENT_BYTES, BODY_BYTES);
        return false;
    }
    rig_send(fd, body, sizeof(body));
    return false;
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
        rig_add_instance("drawings", i % 3, 2, run, NULL);
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
