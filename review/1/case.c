#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/*
 * Orders (non_idempotent) reach a gateway shortly after it got SIGTERM, and
 * their instance is slow. REFUSED is broken if such an order is answered with
 * one of the statuses that promise "not run" although an instance ran it.
 */

/* Usual work of an order, ms, and the factor of the slow instances. */
#define WORK_MS 300.0
#define SLOW_FACTOR 12.0

/* Of the ORDER_SERVERS instances, this many are slow: a share of 0.33. */
#define ORDER_SERVERS 6
#define SLOW_SERVERS 2

/* The operator's TimeoutMs and the client's deadline of an order, ms. */
#define TIMEOUT_MS 3000.0
#define DEADLINE_MS 3000.0

/* Orders are sent this long after SIGTERM, ms. */
#define FIRST_ORDER_MS 2450.0
#define ORDER_INTERVAL_MS 25.0
#define ORDERS 16

struct order {
    char id[32];
    bool ran;
    int status;
    bool complete;
    double sent_at;
};

static struct order orders[ORDERS];
static bool slow;

static bool
run(struct rig_instance *inst, const struct rig_request *req, int fd)
{
    double work = WORK_MS * (slow && inst->data != NULL ? SLOW_FACTOR : 1);
    bool late = work > req->deadline_ms;
    g_autofree char *head = NULL;

    for (int i = 0; i < ORDERS; i++) {
        if (strcmp(orders[i].id, req->id) == 0) {
            orders[i].ran = true;
        }
    }
    rig_sleep(late ? req->deadline_ms : work); /* it stops at the deadline */
    rig_record("instance %s %s %s", inst->id,
               late ? "stops at the deadline of" : "has run", req->id);
    head = rig_format_answer(inst, req, late ? 504 : 200, 2, false);
    return rig_send(fd, head, strlen(head)) && rig_send(fd, "ok", 2);
}

static gpointer
order_thread(gpointer data)
{
    struct order *o = data;
    int fd = rig_connect(rig_gateway_host(0), RIG_FRONT_PORT, 0);
    g_autofree char *text =
        rig_format_request("POST", "/orders/1", o->id, DEADLINE_MS, 4);
    struct rig_answer a;

    if (fd < 0) {
        rig_record("client cannot connect for %s", o->id);
        return NULL;
    }
    o->sent_at = rig_now();
    rig_record("client sends POST /orders/1 %s", o->id);
    if (rig_send(fd, text, strlen(text)) && rig_send(fd, "body", 4)) {
        rig_read_answer(fd, DEADLINE_MS + 500, 0, 0, NULL, &a);
        o->status = a.status;
        o->complete = a.complete;
        rig_record("client gets status %d for %s%s", a.status, o->id,
                   a.reset    ? ", connection reset"
                   : a.closed ? ", connection closed"
                              : "");
        rig_answer_clear(&a);
    }
    close(fd);
    return NULL;
}

static bool
promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

int
main(void)
{
    GThread *threads[ORDERS];
    double term_at;
    int ran = 0, broken = 0, status;

    rig_open(3, 60000);
    for (int i = 0; i < ORDER_SERVERS; i++) {
        rig_add_instance("orderbook", i % 3, 2, run,
                         i < SLOW_SERVERS ? &slow : NULL);
    }
    rig_add_route("/orders/", "non_idempotent", "orderbook", 400, TIMEOUT_MS);
    rig_start();
    slow = rig_trouble();
    /* The clients keep an answer of the directory three times its TtlS. */
    if (!rig_directory_names(1, 0)) {
        rig_record("the directory does not name gateway 0");
        rig_exit(RIG_CANNOT_RUN);
    }
    term_at = rig_now();
    rig_signal(0, SIGTERM);
    for (int i = 0; i < ORDERS; i++) {
        g_snprintf(orders[i].id, sizeof(orders[i].id), "order%011d", i);
        rig_sleep(term_at + FIRST_ORDER_MS + i * ORDER_INTERVAL_MS -
                  rig_now());
        threads[i] = g_thread_new("order", order_thread, &orders[i]);
    }
    for (int i = 0; i < ORDERS; i++) {
        g_thread_join(threads[i]);
    }
    while (!rig_ended(0, &status) && rig_now() < term_at + 6000) {
        rig_sleep(20);
    }
    for (int i = 0; i < ORDERS; i++) {
        const struct order *o = &orders[i];

        ran += o->ran;
        if (o->ran && promises_not_run(o->status)) {
            broken++;
            rig_record("BROKEN: %s ran and was answered %d", o->id, o->status);
        }
    }
    rig_record("%d orders sent, %d ran, %d of these refused", ORDERS, ran,
               broken);
    if (ran == 0) {
        rig_exit(RIG_CANNOT_RUN);
    }
    rig_exit(broken > 0 ? RIG_BROKEN : RIG_HELD);
}
