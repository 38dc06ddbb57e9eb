#include <CUnit/Basic.h>
#include <glib.h>
#include <string.h>

#include "decide/admission.h"

#define SEED 11
#define MAX_WAITERS 16

static struct ggw_waiter
waiter(uint64_t id, int priority, ggw_ms deadline)
{
    return (struct ggw_waiter){
        .id = id, .priority = priority, .deadline = deadline};
}

static enum ggw_admission_result
push(struct ggw_admission *a, uint64_t id, int priority, ggw_ms deadline,
     struct ggw_waiter *displaced)
{
    struct ggw_waiter w = waiter(id, priority, deadline);

    return ggw_admission_push(a, &w, 0, displaced);
}

/* Guards against an order that waits behind or is refused for an archive. */
static void
test_priority(void)
{
    struct ggw_admission *a = ggw_admission_new(3);
    struct ggw_waiter w;

    ggw_admission_set_slots(a, 2);
    CU_ASSERT_EQUAL(push(a, 1, 2, 50, &w), GGW_ADMISSION_QUEUED);
    CU_ASSERT_EQUAL(push(a, 2, 2, 50, &w), GGW_ADMISSION_QUEUED);
    CU_ASSERT_EQUAL(push(a, 3, 1, 50, &w), GGW_ADMISSION_QUEUED);
    CU_ASSERT_EQUAL(push(a, 4, 2, 50, &w), GGW_ADMISSION_FULL);
    CU_ASSERT_EQUAL(push(a, 5, 0, 50, &w), GGW_ADMISSION_DISPLACED);
    CU_ASSERT_EQUAL(w.id, 2); /* the newest of the lowest priority */
    CU_ASSERT_EQUAL(ggw_admission_len(a), 3);
    CU_ASSERT_TRUE(ggw_admission_pop(a, 0, &w));
    CU_ASSERT_EQUAL(w.id, 5);
    CU_ASSERT_TRUE(ggw_admission_cancel(a, 3, &w));
    CU_ASSERT_FALSE(ggw_admission_cancel(a, 3, &w));
    CU_ASSERT_TRUE(ggw_admission_pop(a, 0, &w));
    CU_ASSERT_EQUAL(w.id, 1);
    CU_ASSERT_FALSE(ggw_admission_pop(a, 0, &w));
    push(a, 9, 0, 50, &w);
    ggw_admission_free(a);
}

/* Guards against a request that waits in vain and takes a place meanwhile. */
static void
test_too_late(void)
{
    struct ggw_admission *a = ggw_admission_new(64);
    struct ggw_waiter w;

    CU_ASSERT_EQUAL(push(a, 1, 0, 1e9, &w), GGW_ADMISSION_TOO_LATE);
    ggw_admission_set_slots(a, 2);
    ggw_admission_add_hold_time(a, 8); /* one slot becomes free every 4 ms */
    for (uint64_t id = 1; id <= 4; id++) {
        CU_ASSERT_EQUAL(push(a, id, 1, 17, &w), GGW_ADMISSION_QUEUED);
    }
    CU_ASSERT_EQUAL(ggw_admission_wait(a, 1), 20);
    CU_ASSERT_EQUAL(ggw_admission_wait(a, 0), 4);
    CU_ASSERT_EQUAL(push(a, 5, 1, 19, &w), GGW_ADMISSION_TOO_LATE);
    CU_ASSERT_EQUAL(push(a, 5, 1, 21, &w), GGW_ADMISSION_QUEUED);
    CU_ASSERT_EQUAL(push(a, 6, 0, 5, &w), GGW_ADMISSION_QUEUED);
    CU_ASSERT_EQUAL(ggw_admission_next_deadline(a), 5);
    CU_ASSERT_FALSE(ggw_admission_expire(a, 4.9, &w));
    CU_ASSERT_TRUE(ggw_admission_expire(a, 5, &w));
    CU_ASSERT_EQUAL(w.id, 6);
    CU_ASSERT_FALSE(ggw_admission_pop(a, 21, &w)); /* all are too late */
    CU_ASSERT_EQUAL(ggw_admission_len(a), 5);
    ggw_admission_free(a);
}

/* Guards against refused clients that return at once, or all together. */
static void
test_retry_after(void)
{
    struct ggw_admission *a = ggw_admission_new(64);

    CU_ASSERT_EQUAL(ggw_admission_retry_after(a, 0, 0.5), 7500); /* no slot */
    ggw_admission_set_slots(a, 1);
    CU_ASSERT_EQUAL(ggw_admission_retry_after(a, 0, 0), GGW_RETRY_AFTER_MIN);
    ggw_admission_add_hold_time(a, 1000);
    CU_ASSERT_EQUAL(ggw_admission_retry_after(a, 0, 0), 1000);
    CU_ASSERT_EQUAL(ggw_admission_retry_after(a, 0, 0.25), 1250);
    ggw_admission_free(a);
}

/* A second, slow implementation: waiters in order of arrival. */
struct model {
    struct ggw_waiter w[MAX_WAITERS];
    size_t len;
};

static void
model_remove(struct model *m, size_t at)
{
    memmove(&m->w[at], &m->w[at + 1], (--m->len - at) * sizeof(m->w[0]));
}

static size_t
model_find(const struct model *m, uint64_t id)
{
    size_t i = 0;

    while (i < m->len && m->w[i].id != id) {
        i++;
    }
    return i;
}

static size_t
model_next(const struct model *m)
{
    size_t best = 0;

    for (size_t i = 1; i < m->len; i++) {
        best = m->w[i].priority < m->w[best].priority ? i : best;
    }
    return best;
}

static size_t
model_displaced(const struct model *m)
{
    size_t last = 0;

    for (size_t i = 1; i < m->len; i++) {
        last = m->w[i].priority >= m->w[last].priority ? i : last;
    }
    return last;
}

static int
check_push(struct ggw_admission *a, struct model *m, struct ggw_waiter w,
           ggw_ms now)
{
    struct ggw_waiter out = {0};
    size_t last = model_displaced(m);

    switch (ggw_admission_push(a, &w, now, &out)) {
    case GGW_ADMISSION_QUEUED:
        if (m->len == MAX_WAITERS) {
            return 1;
        }
        break;
    case GGW_ADMISSION_DISPLACED:
        if (m->len < MAX_WAITERS || out.id != m->w[last].id ||
            out.priority <= w.priority) {
            return 1;
        }
        model_remove(m, last);
        break;
    case GGW_ADMISSION_FULL:
        return m->len < MAX_WAITERS || m->w[last].priority > w.priority;
    default:
        return now + ggw_admission_wait(a, w.priority) <= w.deadline;
    }
    m->w[m->len++] = w;
    return 0;
}

static int
check_step(struct ggw_admission *a, struct model *m, GRand *rand, uint64_t id,
           ggw_ms now)
{
    struct ggw_waiter w, push_me;
    int broken = 0;
    size_t at;

    while (ggw_admission_expire(a, now, &w)) {
        at = model_find(m, w.id);
        broken += at == m->len || w.deadline > now;
        model_remove(m, at);
    }
    switch (g_rand_int_range(rand, 0, 5)) {
    case 0:
        at = model_next(m);
        if (ggw_admission_pop(a, now, &w) != (m->len > 0)) {
            broken++;
        }
        else if (m->len > 0) {
            broken += w.id != m->w[at].id || w.deadline <= now;
            model_remove(m, at);
        }
        break;
    case 1:
        at = model_find(m, id - 5);
        if (ggw_admission_cancel(a, id - 5, &w) != (at < m->len)) {
            broken++;
        }
        else if (at < m->len) {
            model_remove(m, at);
        }
        break;
    default:
        push_me = waiter(id, g_rand_int_range(rand, 0, 4),
                         now + g_rand_double(rand) * 60);
        broken += check_push(a, m, push_me, now);
    }
    return broken + (ggw_admission_len(a) != m->len);
}

/*
 * Random operations against the model. Guards against waiters that are lost
 * or started twice, start past their deadline or out of order, and against a
 * queue above its bound.
 */
static void
test_random_operations(void)
{
    GRand *rand = g_rand_new_with_seed(SEED);
    struct ggw_admission *a = ggw_admission_new(MAX_WAITERS);
    struct model m = {.len = 0};
    ggw_ms now = 0;
    int broken = 0;

    ggw_admission_set_slots(a, 4);
    for (uint64_t id = 1; id < 100000 && broken == 0; id++) {
        now += g_rand_double(rand) * 2;
        ggw_admission_add_hold_time(a, g_rand_double(rand) * 8);
        broken += check_step(a, &m, rand, id, now);
    }
    CU_ASSERT_EQUAL(broken, 0);
    ggw_admission_free(a);
    g_rand_free(rand);
}

/*
 * Guards against requests that miss their target because others, which miss
 * theirs anyway, come first.
 */
static void
test_targets(void)
{
    struct ggw_admission *a = ggw_admission_new(64);
    struct ggw_waiter w;
    struct ggw_waiter late = waiter(1, 0, 1000);
    struct ggw_waiter in_time = waiter(2, 0, 1000);
    struct ggw_waiter none = waiter(3, 0, 1000);

    late.useful = 10;
    in_time.useful = 500;
    ggw_admission_set_slots(a, 8);
    CU_ASSERT_EQUAL(ggw_admission_push(a, &late, 0, &w), GGW_ADMISSION_QUEUED);
    CU_ASSERT_EQUAL(ggw_admission_push(a, &in_time, 0, &w),
                    GGW_ADMISSION_QUEUED);
    CU_ASSERT_EQUAL(ggw_admission_push(a, &none, 0, &w), GGW_ADMISSION_QUEUED);
    CU_ASSERT_TRUE(ggw_admission_pop(a, 20, &w));
    CU_ASSERT_EQUAL(w.id, 2);
    CU_ASSERT_TRUE(ggw_admission_pop(a, 20, &w));
    CU_ASSERT_EQUAL(w.id, 3);
    CU_ASSERT_TRUE(ggw_admission_pop(a, 20, &w));
    CU_ASSERT_EQUAL(w.id, 1);
    ggw_admission_free(a);
}

/* Guards against a crowd that waits although it can only be late. */
static void
test_late_are_few(void)
{
    struct ggw_admission *a = ggw_admission_new(64);
    struct ggw_waiter w;
    int queued = 0;

    ggw_admission_set_slots(a, 8);
    for (uint64_t id = 1; id <= 20; id++) {
        struct ggw_waiter late = waiter(id, 0, 1000);

        late.useful = 10;
        queued += ggw_admission_push(a, &late, 20, &w) == GGW_ADMISSION_QUEUED;
    }
    CU_ASSERT_EQUAL(queued, 2); /* a quarter of the slots */
    ggw_admission_free(a);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("admission", NULL, NULL);
    CU_add_test(suite, "priority", test_priority);
    CU_add_test(suite, "too_late", test_too_late);
    CU_add_test(suite, "retry_after", test_retry_after);
    CU_add_test(suite, "targets", test_targets);
    CU_add_test(suite, "late_are_few", test_late_are_few);
    CU_add_test(suite, "random_operations", test_random_operations);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
