#include "decide/admission.h"

#include <glib.h>
#include <math.h>

/* Weight of a new hold time in their moving average. */
#define HELD_WEIGHT (1.0 / 16)

/* The classes of those that will miss their target follow the others. */
#define CLASSES (2 * GGW_ADMISSION_CLASSES)

struct item {
    struct ggw_waiter waiter;
    int class;
    GList link; /* in its class */
    GSequenceIter *iter;
};

struct ggw_admission {
    size_t max;
    size_t len;
    int slots;
    ggw_ms held; /* mean time that an attempt holds a slot; 0: not known */
    GQueue classes[CLASSES];
    GSequence *by_deadline; /* of struct item */
    GHashTable *by_id;
};

struct ggw_admission *
ggw_admission_new(size_t max)
{
    struct ggw_admission *a = g_new0(struct ggw_admission, 1);

    a->max = max;
    a->by_deadline = g_sequence_new(NULL);
    a->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    for (int i = 0; i < CLASSES; i++) {
        g_queue_init(&a->classes[i]);
    }
    return a;
}

static void
take(struct ggw_admission *a, struct item *item, struct ggw_waiter *waiter)
{
    if (waiter != NULL) {
        *waiter = item->waiter;
    }
    g_queue_unlink(&a->classes[item->class], &item->link);
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

        take(a, g_sequence_get(first), NULL);
    }
    g_sequence_free(a->by_deadline);
    g_hash_table_destroy(a->by_id);
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
    a->held += a->held > 0 ? (held - a->held) * HELD_WEIGHT : held;
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
    return (ahead + 1) * a->held / a->slots;
}

static int
compare_deadlines(gconstpointer a, gconstpointer b, gpointer data)
{
    const struct item *x = a, *y = b;

    return (x->waiter.deadline > y->waiter.deadline) -
           (x->waiter.deadline < y->waiter.deadline);
}

static void
insert(struct ggw_admission *a, const struct ggw_waiter *waiter, bool late)
{
    struct item *item = g_new0(struct item, 1);

    item->waiter = *waiter;
    item->class =
        class_of(waiter->priority) + (late ? GGW_ADMISSION_CLASSES : 0);
    item->link.data = item;
    g_queue_push_tail_link(&a->classes[item->class], &item->link);
    item->iter = g_sequence_insert_sorted(a->by_deadline, item,
                                          compare_deadlines, NULL);
    g_hash_table_insert(a->by_id, &item->waiter.id, item);
    a->len++;
}

/* The newest waiter below a class, in the lowest class that has one. */
static struct item *
find_displaceable(struct ggw_admission *a, int class)
{
    for (int i = CLASSES - 1; i > class; i--) {
        if (a->classes[i].length > 0) {
            return g_queue_peek_tail(&a->classes[i]);
        }
    }
    return NULL;
}

static guint
late_len(const struct ggw_admission *a)
{
    guint n = 0;

    for (int i = GGW_ADMISSION_CLASSES; i < CLASSES; i++) {
        n += a->classes[i].length;
    }
    return n;
}

static bool
is_useful(const struct ggw_waiter *waiter, ggw_ms start)
{
    return waiter->useful <= 0 || start <= waiter->useful;
}

enum ggw_admission_result
ggw_admission_push(struct ggw_admission *a, const struct ggw_waiter *waiter,
                   ggw_ms now, struct ggw_waiter *displaced)
{
    struct item *victim = NULL;
    ggw_ms start = now + ggw_admission_wait(a, waiter->priority);
    bool late = !is_useful(waiter, start);

    g_assert(!g_hash_table_contains(a->by_id, &waiter->id));
    if (now >= waiter->deadline || start > waiter->deadline ||
        (late && late_len(a) >= GGW_ADMISSION_LATE_PART * a->slots)) {
        return GGW_ADMISSION_TOO_LATE;
    }
    if (a->len >= a->max) {
        victim = find_displaceable(a, class_of(waiter->priority));
        if (victim == NULL) {
            return GGW_ADMISSION_FULL;
        }
        take(a, victim, displaced);
    }
    insert(a, waiter, late);
    return victim != NULL ? GGW_ADMISSION_DISPLACED : GGW_ADMISSION_QUEUED;
}

/* Moves the waiters of a class that can no longer meet their target. */
static void
demote(struct ggw_admission *a, int class, ggw_ms now)
{
    GList *next;

    for (GList *at = a->classes[class].head; at != NULL; at = next) {
        struct item *item = at->data;

        next = at->next;
        if (!is_useful(&item->waiter, now)) {
            g_queue_unlink(&a->classes[class], &item->link);
            item->class = class + GGW_ADMISSION_CLASSES;
            g_queue_push_tail_link(&a->classes[item->class], &item->link);
        }
    }
}

bool
ggw_admission_pop(struct ggw_admission *a, ggw_ms now,
                  struct ggw_waiter *waiter)
{
    for (int i = 0; i < CLASSES; i++) {
        if (i < GGW_ADMISSION_CLASSES) {
            demote(a, i, now);
        }
        for (GList *at = a->classes[i].head; at != NULL; at = at->next) {
            struct item *item = at->data;

            if (item->waiter.deadline > now) {
                take(a, item, waiter);
                return true;
            }
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
    take(a, g_sequence_get(g_sequence_get_begin_iter(a->by_deadline)), waiter);
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
    take(a, item, waiter);
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
