#include "decide/admission.h"

#include <glib.h>
#include <math.h>

#include "decide/fair_share.h"

/* Weight of a new hold time in the moving average. */
#define HOLD_TIME_WEIGHT (1.0 / 16)

/*
 * Each priority has one class for requests that can meet their target. The
 * classes of the requests that will miss it follow in the same order.
 */
#define CLASS_COUNT (2 * GGW_ADMISSION_CLASSES)

/**
 * struct item - a queued request
 * @waiter: the request
 * @class: index in ggw_admission.classes
 * @flow: requests of the same customer
 * @link: link in the queue of the class
 * @iter: position in ggw_admission.by_deadline
 */
struct item {
    struct ggw_waiter waiter;
    int class;
    struct ggw_fair_flow *flow;
    GList link;
    GSequenceIter *iter;
};

/**
 * struct ggw_admission - queue of the requests that wait for a slot
 * @max: maximum number of queued requests
 * @len: number of queued requests
 * @slots: sum of the limits of all servers
 * @mean_hold_time: moving average of the time for which an attempt holds a
 *                  slot, ms; 0: not known
 * @classes: struct item in the order of their arrival, highest priority first
 * @by_deadline: struct item in the order of their deadlines
 * @by_id: identifier of a request to its struct item
 * @shares: whose turn it is among the customers
 */
struct ggw_admission {
    size_t max;
    size_t len;
    int slots;
    ggw_ms mean_hold_time;
    GQueue classes[CLASS_COUNT];
    GSequence *by_deadline;
    GHashTable *by_id;
    struct ggw_fair_share *shares;
};

G_STATIC_ASSERT(GGW_ADMISSION_CLASSES == GGW_FAIR_PRIORITIES);

struct ggw_admission *
ggw_admission_new(size_t max)
{
    struct ggw_admission *a = g_new0(struct ggw_admission, 1);

    a->max = max;
    a->by_deadline = g_sequence_new(NULL);
    a->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    a->shares = ggw_fair_share_new();
    for (int i = 0; i < CLASS_COUNT; i++) {
        g_queue_init(&a->classes[i]);
    }
    return a;
}

static void
remove_item(struct ggw_admission *a, struct item *item,
            struct ggw_waiter *waiter)
{
    if (waiter != NULL) {
        *waiter = item->waiter;
    }
    g_queue_unlink(&a->classes[item->class], &item->link);
    ggw_fair_share_drop_waiting(a->shares, item->flow, item->class);
    g_sequence_remove(item->iter);
    g_hash_table_remove(a->by_id, &item->waiter.id);
    a->len--;
    g_free(item);
}

void
ggw_admission_free(struct ggw_admission *a)
{
    if (a == NULL) {
        return;
    }
    while (a->len > 0) {
        GSequenceIter *first = g_sequence_get_begin_iter(a->by_deadline);

        remove_item(a, g_sequence_get(first), NULL);
    }
    g_sequence_free(a->by_deadline);
    g_hash_table_destroy(a->by_id);
    ggw_fair_share_free(a->shares);
    g_free(a);
}

void
ggw_admission_set_max(struct ggw_admission *a, size_t max)
{
    a->max = max;
}

void
ggw_admission_set_slots(struct ggw_admission *a, int slots)
{
    a->slots = slots;
}

void
ggw_admission_add_hold_time(struct ggw_admission *a, ggw_ms held)
{
    a->mean_hold_time += a->mean_hold_time > 0
                             ? (held - a->mean_hold_time) * HOLD_TIME_WEIGHT
                             : held;
}

void
ggw_admission_add_customer_hold_time(struct ggw_admission *a,
                                     const char *customer, ggw_ms held)
{
    ggw_fair_share_add_hold_time(a->shares, customer, held);
}

static int
class_of(int priority)
{
    return CLAMP(priority, 0, GGW_ADMISSION_CLASSES - 1);
}

ggw_ms
ggw_admission_wait(const struct ggw_admission *a, int priority)
{
    guint ahead = 0;

    if (a->slots <= 0) {
        return INFINITY;
    }
    for (int i = 0; i <= class_of(priority); i++) {
        ahead += a->classes[i].length;
    }
    return (ahead + 1) * a->mean_hold_time / a->slots;
}

/* Slot time that a request of the flow is expected to need. */
static ggw_ms
flow_cost(const struct ggw_admission *a, const struct ggw_fair_flow *flow)
{
    if (flow->hold_time > 0) {
        return flow->hold_time;
    }
    return a->mean_hold_time > 0 ? a->mean_hold_time : 1;
}

/* Virtual time for which one request of the flow is served. */
static double
flow_step(const struct ggw_admission *a, const struct ggw_fair_flow *flow)
{
    return flow_cost(a, flow) / ggw_fair_share_weight(a->shares, flow);
}

/* Requests of another flow that are served before virtual time @start. */
static guint
flow_ahead(const struct ggw_admission *a, const struct ggw_fair_flow *other,
           int class, double start)
{
    double first = ggw_fair_share_start(a->shares, other, class);

    if (other->queued[class] == 0 || start < first) {
        return 0;
    }
    return (guint)MIN(floor((start - first) / flow_step(a, other)) + 1,
                      other->queued[class]);
}

/* Estimated wait of a request of the flow pushed now, ms. */
static ggw_ms
flow_wait(const struct ggw_admission *a, const struct ggw_fair_flow *flow,
          int class)
{
    double start = ggw_fair_share_start(a->shares, flow, class) +
                   flow->queued[class] * flow_step(a, flow);
    guint ahead = flow->queued[class];

    if (a->slots <= 0) {
        return INFINITY;
    }
    for (int i = 0; i < class; i++) {
        ahead += a->classes[i].length;
    }
    for (const GList *i = ggw_fair_share_active(a->shares); i != NULL;
         i = i->next) {
        ahead += i->data != flow ? flow_ahead(a, i->data, class, start) : 0;
    }
    return (ahead + 1) * a->mean_hold_time / a->slots;
}

static int
compare_deadlines(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct item *x = a, *y = b;

    return (x->waiter.deadline > y->waiter.deadline) -
           (x->waiter.deadline < y->waiter.deadline);
}

static void
insert(struct ggw_admission *a, const struct ggw_waiter *waiter,
       struct ggw_fair_flow *flow, int class)
{
    struct item *item = g_new0(struct item, 1);

    item->waiter = *waiter;
    item->waiter.customer = NULL; /* the caller's, not valid any more */
    item->class = class;
    item->flow = flow;
    item->link.data = item;
    g_queue_push_tail_link(&a->classes[item->class], &item->link);
    item->iter = g_sequence_insert_sorted(a->by_deadline, item,
                                          compare_deadlines, NULL);
    g_hash_table_insert(a->by_id, &item->waiter.id, item);
    ggw_fair_share_add_waiting(a->shares, flow, class);
    a->len++;
}

/* Time that the requests of a flow in a class need at the flow's share. */
static double
flow_backlog(const struct ggw_admission *a, const struct ggw_fair_flow *flow,
             int class, guint more)
{
    return (flow->queued[class] + more) * flow_step(a, flow);
}

/* Returns the newest request of the flow with the longest backlog. */
static struct item *
find_longest(const struct ggw_admission *a, int class)
{
    const struct ggw_fair_flow *longest = NULL;
    GList *node = a->classes[class].tail;

    for (const GList *i = ggw_fair_share_active(a->shares); i != NULL;
         i = i->next) {
        if (longest == NULL || flow_backlog(a, i->data, class, 0) >
                                   flow_backlog(a, longest, class, 0)) {
            longest = i->data;
        }
    }
    while (node != NULL && ((struct item *)node->data)->flow != longest) {
        node = node->prev;
    }
    return node != NULL ? node->data : NULL;
}

/*
 * Returns a request of a class that gives way to a further one of @flow, so
 * that a flow with a long backlog does not keep others out, or NULL.
 */
static struct item *
find_longer(const struct ggw_admission *a, const struct ggw_fair_flow *flow,
            int class)
{
    struct item *item = find_longest(a, class);

    return item != NULL && flow_backlog(a, item->flow, class, 0) >
                               flow_backlog(a, flow, class, 1)
               ? item
               : NULL;
}

/*
 * Returns the request that gives way to one of @flow in a full queue, or NULL:
 * one of the lowest class if that is lower than the given one, or else one of
 * a flow with a longer backlog.
 */
static struct item *
find_displaceable(struct ggw_admission *a, const struct ggw_fair_flow *flow,
                  int class)
{
    for (int i = CLASS_COUNT - 1; i > class; i--) {
        if (a->classes[i].length > 0) {
            return find_longest(a, i);
        }
    }
    return find_longer(a, flow, class);
}

static guint
late_count(const struct ggw_admission *a)
{
    guint n = 0;

    for (int i = GGW_ADMISSION_CLASSES; i < CLASS_COUNT; i++) {
        n += a->classes[i].length;
    }
    return n;
}

static bool
is_on_time(const struct ggw_waiter *waiter, ggw_ms start)
{
    return waiter->on_time_until <= 0 || start <= waiter->on_time_until;
}

enum ggw_admission_result
ggw_admission_push(struct ggw_admission *a, const struct ggw_waiter *waiter,
                   ggw_ms now, struct ggw_waiter *displaced)
{
    int class = class_of(waiter->priority);
    struct ggw_fair_flow *flow = ggw_fair_share_flow(
        a->shares, waiter->customer, waiter->customer_rate, now);
    struct item *victim = NULL;
    ggw_ms start;
    bool late;

    g_assert(!g_hash_table_contains(a->by_id, &waiter->id));
    if (a->classes[class].length == 0 &&
        a->classes[class + GGW_ADMISSION_CLASSES].length == 0) {
        ggw_fair_share_restart(a->shares, class);
    }
    ggw_fair_share_request(a->shares, flow, flow_cost(a, flow), now);
    start = now + flow_wait(a, flow, class);
    late = !is_on_time(waiter, start);
    if (now >= waiter->deadline || start > waiter->deadline) {
        return GGW_ADMISSION_TOO_LATE;
    }
    if (late && late_count(a) >= GGW_ADMISSION_LATE_FRACTION * a->slots) {
        victim = find_longer(a, flow, class + GGW_ADMISSION_CLASSES);
        if (victim == NULL) {
            return GGW_ADMISSION_TOO_LATE;
        }
    }
    else if (a->len >= a->max) {
        victim = find_displaceable(a, flow, class);
        if (victim == NULL) {
            return GGW_ADMISSION_FULL;
        }
    }
    if (victim != NULL) {
        remove_item(a, victim, displaced);
    }
    insert(a, waiter, flow, class + (late ? GGW_ADMISSION_CLASSES : 0));
    return victim != NULL ? GGW_ADMISSION_DISPLACED : GGW_ADMISSION_QUEUED;
}

/* Moves the requests of a class that can no longer meet their target. */
static void
demote(struct ggw_admission *a, int class, ggw_ms now)
{
    GList *next;

    for (GList *node = a->classes[class].head; node != NULL; node = next) {
        struct item *item = node->data;

        next = node->next;
        if (!is_on_time(&item->waiter, now)) {
            g_queue_unlink(&a->classes[class], &item->link);
            ggw_fair_share_drop_waiting(a->shares, item->flow, class);
            item->class = class + GGW_ADMISSION_CLASSES;
            ggw_fair_share_add_waiting(a->shares, item->flow, item->class);
            g_queue_push_tail_link(&a->classes[item->class], &item->link);
        }
    }
}

/*
 * Returns the request of a class that is served next: the oldest one of the
 * flow whose turn it is. NULL if none can start.
 */
static struct item *
find_next(const struct ggw_admission *a, int class, ggw_ms now)
{
    int priority = class % GGW_ADMISSION_CLASSES;
    const GList *flows = ggw_fair_share_active(a->shares);
    bool single = flows != NULL && flows->next == NULL;
    struct item *next = NULL;
    double first = INFINITY;

    for (GList *node = a->classes[class].head;
         node != NULL && !(single && next != NULL); node = node->next) {
        struct item *item = node->data;
        double start = ggw_fair_share_start(a->shares, item->flow, priority);

        if (start < first && item->waiter.deadline > now) {
            next = item;
            first = start;
        }
    }
    return next;
}

bool
ggw_admission_pop(struct ggw_admission *a, ggw_ms now,
                  struct ggw_waiter *waiter)
{
    struct item *item;

    for (int i = 0; i < CLASS_COUNT; i++) {
        if (i < GGW_ADMISSION_CLASSES) {
            demote(a, i, now);
        }
        item = find_next(a, i, now);
        if (item != NULL) {
            ggw_fair_share_serve(a->shares, item->flow,
                                 i % GGW_ADMISSION_CLASSES,
                                 flow_cost(a, item->flow));
            remove_item(a, item, waiter);
            return true;
        }
    }
    return false;
}

bool
ggw_admission_expire(struct ggw_admission *a, ggw_ms now,
                     struct ggw_waiter *waiter)
{
    if (ggw_admission_next_deadline(a) > now) {
        return false;
    }
    remove_item(a, g_sequence_get(g_sequence_get_begin_iter(a->by_deadline)),
                waiter);
    return true;
}

bool
ggw_admission_cancel(struct ggw_admission *a, uint64_t id,
                     struct ggw_waiter *waiter)
{
    struct item *item = g_hash_table_lookup(a->by_id, &id);

    if (item == NULL) {
        return false;
    }
    remove_item(a, item, waiter);
    return true;
}

size_t
ggw_admission_len(const struct ggw_admission *a)
{
    return a->len;
}

ggw_ms
ggw_admission_next_deadline(const struct ggw_admission *a)
{
    const struct item *item;

    if (a->len == 0) {
        return INFINITY;
    }
    item = g_sequence_get(g_sequence_get_begin_iter(a->by_deadline));
    return item->waiter.deadline;
}

ggw_ms
ggw_admission_retry_after(const struct ggw_admission *a, int priority,
                          double random)
{
    ggw_ms wait = ggw_admission_wait(a, priority);

    return CLAMP(wait, GGW_RETRY_AFTER_MIN, GGW_RETRY_AFTER_MAX / 2) *
           (1 + random);
}
