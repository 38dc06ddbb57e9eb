#include "rig.h"

#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/*
 * Some clients leave before their order (non_idempotent) is answered, and a
 * faulty instance answers with bytes that do not end until the gateway closes
 * the connection. The platform kills a process that exceeds MemoryMb; this
 * program does the same. "Fault" is broken if processes on a tenth of the
 * machines, two at least, end in this way three times.
 */

#define GATEWAYS 3
#define INSTANCES 6

/* MemoryMb of the machines. */
#define MEMORY_MB 650.0

/* Orders per second and in all, and the work of one. */
#define ORDER_INTERVAL_MS 100.0
#define RUN_MS 70000.0
#define WORK_MS 300.0
#define TIMEOUT_MS 1500.0
#define DEADLINE_MS 3000.0

/* One client in CLIENTS_PER_LEAVING leaves after LEAVE_MS. */
#define CLIENTS_PER_LEAVING 5
#define LEAVE_MS 150.0

/* One order in ORDERS_PER_GARBLED gets an answer without an end. */
#define ORDERS_PER_GARBLED 20

/* Rate of that answer, MB/s: 1,600 of the link's 2,500 Mbit/s. */
#define RATE_MB_S 200.0

#define MAX_ORDERS 1000

struct order {
    char id[32];
    int gateway;
    bool leaves;
    bool endless;
};

static struct order orders[MAX_ORDERS];
static int orders_len;
static int kills[GATEWAYS];

static struct order *
find_order(const char *id)
{
    for (int i = 0; i < orders_len; i++) {
        if (strcmp(orders[i].id, id) == 0) {
            return &orders[i];
        }
    }
    return NULL;
}

/* Sends bytes until the gateway closes the connection. */
static void
send_without_end(int fd, const char *id)
{
    static char block[1000000];
    double started = rig_now();
    double sent = 0;

    while (rig_send(fd, block, sizeof(block))) {
        sent += sizeof(block) / 1e6;
        rig_sleep(started + sent / RATE_MB_S * 1e3 - rig_now());
    }
    rig_record("the answer to %s ended after %.0f MB, %.0f ms", id, sent,
               rig_now() - started);
}

static bool
run(struct rig_instance *inst, const struct rig_request *req, int fd)
{
    const struct order *o = find_order(req->id);
    g_autofree char *head = NULL;

    rig_sleep(WORK_MS);
    if (o != NULL && o->endless) {
        head = rig_format_answer(inst, req, 200, -1, true);
        if (rig_send(fd, head, strlen(head))) {
            send_without_end(fd, req->id);
        }
        return false;
    }
    head = rig_format_answer(inst, req, 200, 2, false);
    return rig_send(fd, head, strlen(head)) && rig_send(fd, "ok", 2);
}

static gpointer
order_thread(gpointer data)
{
    struct order *o = data;
    g_autofree char *text =
        rig_format_request("POST", "/orders/1", o->id, DEADLINE_MS, 4);
    int fd = rig_connect(rig_gateway_host(o->gateway), RIG_FRONT_PORT, 0);
    struct rig_answer a;

    if (fd < 0) {
        return NULL;
    }
    if (rig_send(fd, text, strlen(text)) && rig_send(fd, "body", 4)) {
        if (o->leaves) {
            rig_sleep(LEAVE_MS);
            rig_record("client of %s at gateway %d leaves", o->id, o->gateway);
        }
        else {
            rig_read_answer(fd, DEADLINE_MS, 0, 0, NULL, &a);
            rig_record("client gets status %d for %s at gateway %d", a.status,
                       o->id, o->gateway);
            rig_answer_clear(&a);
        }
    }
    close(fd);
    return NULL;
}

/* Kills processes over the limit and starts them again, as the platform does. */
static gpointer
watch_thread(gpointer data)
{
    double peak[GATEWAYS] = {0};
    int status;

    for (;;) {
        for (int i = 0; i < GATEWAYS; i++) {
            double mb = rig_memory_mb(i);

            if (mb > peak[i] + 100) {
                peak[i] = mb;
                rig_record("gateway %d uses %.0f MB", i, mb);
            }
            if (mb > MEMORY_MB) {
                rig_record("gateway %d exceeds MemoryMb", i);
                rig_signal(i, SIGKILL);
                kills[i]++;
                peak[i] = 0;
                while (!rig_ended(i, &status)) {
                    rig_sleep(5);
                }
                rig_sleep(300);
                rig_start_gateway(i);
            }
        }
        rig_sleep(20);
    }
    return NULL;
}

static int
machines_with_three_ends(void)
{
    int n = 0;

    for (int i = 0; i < GATEWAYS; i++) {
        n += kills[i] >= 3;
    }
    return n;
}

int
main(void)
{
    int machines;
    double started;

    rig_open(GATEWAYS, 100000);
    for (int i = 0; i < INSTANCES; i++) {
        rig_add_instance("orderbook", i % 3, 2, run, NULL);
    }
    rig_add_route("/orders/", "non_idempotent", "orderbook", 400, TIMEOUT_MS);
    rig_start();
    g_thread_unref(g_thread_new("watch", watch_thread, NULL));
    started = rig_now();
    for (int i = 0; i < MAX_ORDERS && rig_now() < started + RUN_MS &&
                    machines_with_three_ends() < 2;
         i++) {
        struct order *o = &orders[i];

        g_snprintf(o->id, sizeof(o->id), "order%011d", i);
        o->gateway = i / ORDERS_PER_GARBLED % GATEWAYS;
        o->leaves = rig_trouble() && i % CLIENTS_PER_LEAVING == 0;
        o->endless = rig_trouble() && i % ORDERS_PER_GARBLED == 0;
        orders_len = i + 1;
        g_thread_unref(g_thread_new("order", order_thread, o));
        rig_sleep(started + (i + 1) * ORDER_INTERVAL_MS - rig_now());
    }
    rig_sleep(4000);
    machines = machines_with_three_ends();
    for (int i = 0; i < GATEWAYS; i++) {
        rig_record("gateway %d was killed %d times for its memory", i,
                   kills[i]);
    }
    rig_record("%d orders, %d machines with three ends or more", orders_len,
               machines);
    rig_exit(machines >= 2 ? RIG_BROKEN : RIG_HELD);
}
