#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

/*
 * Some clients leave before their order (non_idempotent) is answered, and a
 * faulty instance answers with bytes that do not end until the gateway closes
 * the connection. The platform kills a process that exceeds MemoryMb; this
 * program does the same. LOST is broken if more than three reads that came on
 * kept connections, and that a sound instance works on, get no answer: a
 * process that ends by itself counts as running all the while.
 */

#define GATEWAYS 3
#define ORDER_SERVERS 6
#define STATUS_SERVERS 6

/* MemoryMb of the machines. */
#define MEMORY_MB 650.0

/* Interval of the orders, duration of the run, and the work of an order. */
#define ORDER_INTERVAL_MS 100.0
#define RUN_MS 40000.0
#define ORDER_WORK_MS 300.0
#define ORDER_TIMEOUT_MS 1500.0
#define ORDER_DEADLINE_MS 3000.0

/* One client in CLIENTS_PER_LEAVING leaves after LEAVE_MS. */
#define CLIENTS_PER_LEAVING 5
#define LEAVE_MS 150.0

/* One order in ORDERS_PER_GARBLED gets an answer without an end. */
#define ORDERS_PER_GARBLED 20

/* Rate of that answer, MB/s: 1,600 of the link's 2,500 Mbit/s. */
#define RATE_MB_S 200.0

/* Clients of each gateway that keep a connection for their reads. */
#define READERS 4
#define READ_WORK_MS 120.0
#define READ_TIMEOUT_MS 1200.0
#define READ_DEADLINE_MS 2500.0
#define REFUSED_PAUSE_MS 500.0

/* More lost reads than this break the rule. */
#define LOST_ALLOWED 3

#define MAX_ORDERS 1000

struct order {
    char id[32];
    int gateway;
    bool leaves;
    bool endless;
};

struct reader {
    int index;
    char id[32]; /* of the current read */
    bool ran;    /* an instance works on it */
};

static struct order orders[MAX_ORDERS];
static int orders_len;
static struct reader readers[GATEWAYS * READERS];
static int kills[GATEWAYS];
static int reads, lost;
static volatile bool ending;
static GMutex lock;

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
send_small_answer(struct rig_instance *inst, const struct rig_request *req,
                  int fd)
{
    g_autofree char *head = rig_format_answer(inst, req, 200, 2, false);

    return rig_send(fd, head, strlen(head)) && rig_send(fd, "ok", 2);
}

static bool
run_order(struct rig_instance *inst, const struct rig_request *req, int fd)
{
    const struct order *o = find_order(req->id);
    g_autofree char *head = NULL;

    rig_sleep(ORDER_WORK_MS);
    if (o == NULL || !o->endless) {
        return send_small_answer(inst, req, fd);
    }
    head = rig_format_answer(inst, req, 200, -1, true);
    if (rig_send(fd, head, strlen(head))) {
        send_without_end(fd, req->id);
    }
    return false;
}

static bool
run_read(struct rig_instance *inst, const struct rig_request *req, int fd)
{
    g_mutex_lock(&lock);
    for (int i = 0; i < GATEWAYS * READERS; i++) {
        if (strcmp(readers[i].id, req->id) == 0) {
            readers[i].ran = true;
        }
    }
    g_mutex_unlock(&lock);
    rig_sleep(READ_WORK_MS);
    return send_small_answer(inst, req, fd);
}

static gpointer
order_thread(gpointer data)
{
    struct order *o = data;
    g_autofree char *text =
        rig_format_request("POST", "/orders/1", o->id, ORDER_DEADLINE_MS, 4);
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
            rig_read_answer(fd, ORDER_DEADLINE_MS, 0, 0, NULL, &a);
            rig_record("client gets status %d for %s at gateway %d", a.status,
                       o->id, o->gateway);
            rig_answer_clear(&a);
        }
    }
    close(fd);
    return NULL;
}

static void
start_read(struct reader *r, int count)
{
    g_mutex_lock(&lock);
    g_snprintf(r->id, sizeof(r->id), "read%05d%07d", r->index, count);
    r->ran = false;
    reads++;
    g_mutex_unlock(&lock);
}

/* Notes a read whose connection was closed without an answer. */
static void
note_cut(struct reader *r, int gateway)
{
    g_mutex_lock(&lock);
    lost += r->ran;
    g_mutex_unlock(&lock);
    rig_record("%s at gateway %d: kept connection closed without an answer%s",
               r->id, gateway,
               r->ran ? ", passed on to a sound instance" : "");
}

/* Sends reads on one connection until it is closed. */
static void
read_on(struct reader *r, int gateway, int fd, int *count)
{
    for (int on_this = 0; !ending; on_this++) {
        g_autofree char *text = NULL;
        struct rig_answer a;
        bool complete, closed;
        int status;

        start_read(r, ++*count);
        text =
            rig_format_request("GET", "/status/1", r->id, READ_DEADLINE_MS, 0);
        if (!rig_send(fd, text, strlen(text))) {
            return;
        }
        rig_read_answer(fd, READ_DEADLINE_MS, 0, 0, NULL, &a);
        complete = a.complete;
        closed = a.closed;
        status = a.status;
        rig_answer_clear(&a);
        if (!complete && closed && on_this > 0 && !ending) {
            note_cut(r, gateway);
        }
        if (!complete || closed) {
            return;
        }
        if (status != 200) {
            rig_sleep(REFUSED_PAUSE_MS); /* as Retry-After asks */
        }
    }
}

static gpointer
reader_thread(gpointer data)
{
    struct reader *r = data;
    int gateway = r->index % GATEWAYS;
    int count = 0;

    while (!ending) {
        int fd = rig_connect(rig_gateway_host(gateway), RIG_FRONT_PORT, 0);

        if (fd >= 0) {
            read_on(r, gateway, fd, &count);
            close(fd);
        }
        rig_sleep(50);
    }
    return NULL;
}

/* Kills processes over the limit and starts them again, as the platform does.
 */
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

static void
send_orders(void)
{
    double started = rig_now();

    for (int i = 0; i < MAX_ORDERS && rig_now() < started + RUN_MS; i++) {
        struct order *o = &orders[i];

        g_snprintf(o->id, sizeof(o->id), "order%011d", i);
        o->gateway = i / ORDERS_PER_GARBLED % GATEWAYS;
        o->leaves = rig_trouble() && i % CLIENTS_PER_LEAVING == 0;
        o->endless = rig_trouble() && i % ORDERS_PER_GARBLED == 0;
        orders_len = i + 1;
        g_thread_unref(g_thread_new("order", order_thread, o));
        rig_sleep(started + (i + 1) * ORDER_INTERVAL_MS - rig_now());
    }
}

int
main(void)
{
    GThread *threads[GATEWAYS * READERS];
    int machines = 0;

    rig_open(GATEWAYS, 100000);
    for (int i = 0; i < ORDER_SERVERS; i++) {
        rig_add_instance("orderbook", i % 3, 2, run_order, NULL);
    }
    for (int i = 0; i < STATUS_SERVERS; i++) {
        rig_add_instance("statusdesk", i % 3, 4, run_read, NULL);
    }
    rig_add_route("/orders/", "non_idempotent", "orderbook", 400,
                  ORDER_TIMEOUT_MS);
    rig_add_route("/status/", "idempotent", "statusdesk", 300,
                  READ_TIMEOUT_MS);
    rig_start();
    g_thread_unref(g_thread_new("watch", watch_thread, NULL));
    for (int i = 0; i < GATEWAYS * READERS; i++) {
        readers[i].index = i;
        threads[i] = g_thread_new("reader", reader_thread, &readers[i]);
    }
    send_orders();
    rig_sleep(4000);
    ending = true;
    for (int i = 0; i < GATEWAYS * READERS; i++) {
        g_thread_join(threads[i]);
    }
    for (int i = 0; i < GATEWAYS; i++) {
        rig_record("gateway %d was killed %d times for its memory", i,
                   kills[i]);
        machines += kills[i] >= 3;
    }
    rig_record("%d orders, %d reads, %d reads passed on and lost; %d machines "
               "with three ends or more",
               orders_len, reads, lost, machines);
    rig_exit(lost > LOST_ALLOWED ? RIG_BROKEN : RIG_HELD);
}
