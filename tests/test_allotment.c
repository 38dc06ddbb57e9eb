#include <CUnit/CUnit.h>
#include <glib.h>
#include <math.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include "decide/allotment.h"
#include "tests/suite.h"

/*
 * Model of one customer: gateways and owners in virtual time, with delays of
 * frames. It follows customers/: an owner grants, a gateway asks its owner
 * again when an answer is missing, requests wait for an answer.
 */

#define STEP_MS 1.0
#define MAX_GATEWAYS 64
#define MAX_FRAMES 20000
#define MAX_WAITING 4096
#define MAX_RUNS 200000
#define WINDOW_MS 5000.0
#define NO_OWNER (-1)

/* Time after which the others notice a gateway that is silent, in ms. */
#define SUSPECT_MS 700.0

struct frame {
    bool is_answer;
    int from, to;
    ggw_ms arrives;
    ggw_ms asked_at;
    unsigned needed, ahead, returned, granted, refused;
};

struct gateway {
    struct ggw_allotment_holder holder;
    struct ggw_allotment_bucket bucket;
    bool owned;
    ggw_ms since;
    ggw_ms waiting[MAX_WAITING];
    unsigned waiting_len;
    bool dead;
    bool paused;
    bool cut;
    bool minority;
    int owner;
    double load; /* requests per second */
    double arrivals;
};

struct model {
    GRand *rand;
    ggw_ms now;
    double rate, burst;
    struct gateway gateways[MAX_GATEWAYS];
    int len;
    struct frame frames[MAX_FRAMES];
    size_t frames_len;
    ggw_ms runs[MAX_RUNS];
    size_t runs_len;
    unsigned sent, permitted, refused, late;
    uint64_t frames_total;
    ggw_ms checked_from;
    double checked_rate, checked_burst;
    ggw_ms longest_wait;
};

static struct model *
model_new(uint32_t seed, int len, double rate, double burst)
{
    struct model *m = g_new0(struct model, 1);

    m->rand = g_rand_new_with_seed(seed);
    m->now = 20000; /* all gateways have run for a while */
    m->len = len;
    m->rate = rate;
    m->burst = burst;
    for (int i = 0; i < len; i++) {
        m->gateways[i].arrivals = g_rand_double(m->rand);
    }
    return m;
}

static void
model_free(struct model *m)
{
    g_rand_free(m->rand);
    g_free(m);
}

static bool
reachable(const struct model *m, int a, int b)
{
    return a == b || (!m->gateways[a].dead && !m->gateways[b].dead &&
                      m->gateways[a].cut == m->gateways[b].cut);
}

static void
send_frame(struct model *m, struct frame f)
{
    if (!reachable(m, f.from, f.to) || m->frames_len == MAX_FRAMES) {
        return;
    }
    m->frames_total += f.from != f.to;
    f.arrives =
        m->now + (f.from == f.to ? 0 : g_rand_double_range(m->rand, 0.3, 3));
    m->frames[m->frames_len++] = f;
}

static void
run_one(struct model *m)
{
    m->permitted++;
    if (m->runs_len < MAX_RUNS) {
        m->runs[m->runs_len++] = m->now;
    }
}

static void
drop_first(struct gateway *g)
{
    g->waiting_len--;
    memmove(g->waiting, g->waiting + 1, g->waiting_len * sizeof(ggw_ms));
}

static void
permit_waiting(struct model *m, struct gateway *g)
{
    while (g->waiting_len > 0 &&
           ggw_allotment_holder_use(&g->holder, m->now)) {
        m->longest_wait = fmax(m->longest_wait, m->now - g->waiting[0]);
        run_one(m);
        drop_first(g);
    }
}

static void
ask(struct model *m, int i)
{
    struct gateway *g = &m->gateways[i];
    unsigned ahead;

    if (g->owner == NO_OWNER || (g->owner == i && g->waiting_len == 0) ||
        !ggw_allotment_holder_ask(&g->holder, g->waiting_len, &ahead,
                                  m->now)) {
        return;
    }
    send_frame(m, (struct frame){
                      .from = i,
                      .to = g->owner,
                      .asked_at = m->now,
                      .needed = g->waiting_len,
                      .ahead = g->owner == i ? 0 : ahead,
                      .returned = g->holder.expired,
                  });
    g->holder.expired = 0;
}

static unsigned
count_reachable(const struct model *m, int i)
{
    unsigned n = 0;

    for (int j = 0; j < m->len; j++) {
        n += reachable(m, i, j);
    }
    return n;
}

static void
on_ask(struct model *m, const struct frame *f)
{
    struct gateway *g = &m->gateways[f->to];
    struct ggw_allotment_answer a;
    double share = g->minority ? GGW_ALLOTMENT_MINORITY_SHARE *
                                     count_reachable(m, f->to) / m->len
                               : 1;

    if (!g->owned) {
        g->owned = true;
        ggw_allotment_bucket_init(&g->bucket, m->rate, m->burst,
                                  g->minority ? m->now : g->since, m->now);
    }
    ggw_allotment_bucket_set(&g->bucket, m->rate, m->burst, share, m->now);
    ggw_allotment_bucket_put(&g->bucket, f->returned, m->now);
    a = ggw_allotment_bucket_take(&g->bucket, f->needed, f->ahead, m->now);
    send_frame(m, (struct frame){
                      .is_answer = true,
                      .from = f->to,
                      .to = f->from,
                      .asked_at = f->asked_at,
                      .granted = a.granted,
                      .refused = g->minority ? 0 : a.refused,
                  });
}

static void
on_answer(struct model *m, const struct frame *f)
{
    struct gateway *g = &m->gateways[f->to];

    ggw_allotment_holder_answered(&g->holder, f->granted, f->asked_at,
                                  f->refused > 0 || f->granted == 0, m->now);
    permit_waiting(m, g);
    for (unsigned i = 0; i < f->refused && g->waiting_len > 0; i++) {
        m->refused++;
        drop_first(g);
    }
}

static void
deliver(struct model *m)
{
    for (size_t i = 0; i < m->frames_len;) {
        struct frame f = m->frames[i];
        const struct gateway *to = &m->gateways[f.to];

        if (f.arrives > m->now || to->paused) {
            i++;
            continue;
        }
        m->frames[i] = m->frames[--m->frames_len];
        if (!reachable(m, f.from, f.to)) {
            continue;
        }
        if (f.is_answer) {
            on_answer(m, &f);
        }
        else {
            on_ask(m, &f);
        }
    }
}

static void
receive_requests(struct model *m, struct gateway *g)
{
    g->arrivals +=
        g->load * STEP_MS / 1000 * g_rand_double_range(m->rand, 0, 2);
    for (; g->arrivals >= 1; g->arrivals--) {
        m->sent++;
        ggw_allotment_holder_count(&g->holder, m->now);
        if (g->waiting_len == 0 &&
            ggw_allotment_holder_use(&g->holder, m->now)) {
            run_one(m);
        }
        else if (g->waiting_len < MAX_WAITING) {
            g->waiting[g->waiting_len++] = m->now;
        }
    }
}

static void
run(struct model *m, ggw_ms duration)
{
    ggw_ms end = m->now + duration;

    for (; m->now < end; m->now += STEP_MS) {
        deliver(m);
        for (int i = 0; i < m->len; i++) {
            struct gateway *g = &m->gateways[i];

            if (g->dead || g->paused) {
                continue;
            }
            receive_requests(m, g);
            while (g->waiting_len > 0 &&
                   m->now >= g->waiting[0] + GGW_ALLOTMENT_MAX_WAIT) {
                m->late++;
                drop_first(g);
            }
            ask(m, i);
        }
    }
}

/* All reachable gateways use a new owner. */
static void
set_owner(struct model *m, int owner)
{
    for (int i = 0; i < m->len; i++) {
        struct gateway *g = &m->gateways[i];

        if (!reachable(m, i, owner) || g->owner == owner) {
            continue;
        }
        if (i == g->owner) {
            g->owned = false;
        }
        g->owner = owner;
        g->holder.asked_at = 0;
        g->holder.next_ask = 0;
        g->holder.expired = 0;
    }
    m->gateways[owner].since = m->now;
}

/* Spreads the load over the first @n gateways, most of it on the first. */
static void
set_load(struct model *m, double load, int n)
{
    double weights = 0;

    for (int i = 0; i < n; i++) {
        weights += 1.0 / (i + 1);
    }
    for (int i = 0; i < m->len; i++) {
        m->gateways[i].load = i < n ? load / (i + 1) / weights : 0;
    }
}

/* Most runs in any window that begins at or after @from, less the bound. */
static double
worst_excess(const struct model *m, ggw_ms from, double rate, double burst)
{
    double bound = (rate * 5 + burst) * 1.1 + 20; /* of the users */
    double worst = -INFINITY;
    size_t first = 0;

    for (size_t i = 0; i < m->runs_len; i++) {
        while (m->runs[first] <= m->runs[i] - WINDOW_MS ||
               m->runs[first] < from) {
            if (first == i) {
                break;
            }
            first++;
        }
        if (m->runs[i] >= from) {
            worst = fmax(worst, (double)(i - first + 1) - bound);
        }
    }
    return worst;
}

static void
report(const char *load, const struct model *m)
{
    printf("%s: sent %u, permitted %u, refused %u, unanswered %u, longest "
           "wait %.0f ms, frames %" G_GUINT64_FORMAT ", %.0f to the bound\n",
           load, m->sent, m->permitted, m->refused, m->late, m->longest_wait,
           m->frames_total, -worst_excess(m, 0, m->rate, m->burst));
}

static void
check_bound(const struct model *m)
{
    CU_ASSERT_TRUE(worst_excess(m, 0, m->rate, m->burst) <= 0);
}

static double
permitted_share(const struct model *m)
{
    return m->sent > 0 ? (double)m->permitted / m->sent : 1;
}

struct customer {
    double rate, burst;
    int spread; /* gateways that its callers use */
};

/* Rates are 1.6 times the usual load, as is common. */
#define RATE_PER_LOAD 1.6

static const struct customer customers[] = {
    {2, 0, 2},  {258, 0, 4}, {258, 258, 4}, {60, 600, 4},  {2, 2, 3},
    {2, 2, 56}, {20, 12, 2}, {60, 40, 5},   {258, 160, 4}, {258, 160, 56},
};

#define OWNER 7

/*
 * Usual load of customers of 2 to 258 requests a second at 56 gateways, spread
 * unevenly over 2 to 56 of them.
 */
static void
test_calm(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(customers); i++) {
        for (uint32_t seed = 1; seed <= 3; seed++) {
            const struct customer *c = &customers[i];
            struct model *m = model_new(seed, 56, c->rate, c->burst);

            set_owner(m, OWNER);
            m->gateways[OWNER].since = 0;
            set_load(m, c->rate / RATE_PER_LOAD, c->spread);
            run(m, 30000);
            report("usual load", m);
            CU_ASSERT_TRUE(permitted_share(m) >= 0.999);
            CU_ASSERT_TRUE(m->longest_wait <= 10);
            check_bound(m);
            model_free(m);
        }
    }
}

/* A customer that sends ten times its rate after a time without requests. */
static void
test_ten_times(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(customers); i++) {
        for (uint32_t seed = 1; seed <= 3; seed++) {
            const struct customer *c = &customers[i];
            struct model *m = model_new(seed, 56, c->rate, c->burst);

            set_owner(m, OWNER);
            m->gateways[OWNER].since = 0;
            set_load(m, c->rate * 10, c->spread);
            run(m, 20000);
            report("ten times the rate", m);
            check_bound(m);
            CU_ASSERT_TRUE(m->permitted >= c->rate * 19);
            model_free(m);
        }
    }
}

/*
 * The owner is killed, under usual load and ten times the rate. The links end
 * at once, and the next owner must not grant the burst again.
 */
static void
test_owner_killed(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(customers); i++) {
        for (int hot = 0; hot <= 1; hot++) {
            const struct customer *c = &customers[i];
            struct model *m = model_new(9, 56, c->rate, c->burst);

            set_owner(m, 50);
            m->gateways[50].since = 0;
            set_load(m, hot ? c->rate * 10 : c->rate / RATE_PER_LOAD,
                     MIN(c->spread, 49));
            for (int kill = 50; kill > 45; kill--) {
                run(m, 4000);
                m->gateways[kill].dead = true;
                run(m, 5);
                set_owner(m, kill - 1);
            }
            run(m, 6000);
            report(hot ? "owners killed, ten times the rate"
                       : "owners killed, usual load",
                   m);
            check_bound(m);
            CU_ASSERT_TRUE(hot || permitted_share(m) >= 0.99);
            model_free(m);
        }
    }
}

/* The owner is paused for 4 s and owns the customer again afterwards. */
static void
test_owner_paused(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(customers); i++) {
        for (int hot = 0; hot <= 1; hot++) {
            const struct customer *c = &customers[i];
            struct model *m = model_new(4, 56, c->rate, c->burst);

            set_owner(m, 55);
            m->gateways[55].since = 0;
            set_load(m, hot ? c->rate * 10 : c->rate / RATE_PER_LOAD,
                     MIN(c->spread, 50));
            run(m, 6000);
            m->gateways[55].paused = true;
            run(m, SUSPECT_MS);
            set_owner(m, 54);
            m->gateways[55].owner = 55;
            m->gateways[55].owned = true;
            run(m, 4000 - SUSPECT_MS);
            m->gateways[55].paused = false;
            ggw_allotment_bucket_reset(&m->gateways[55].bucket, m->now);
            run(m, 300);
            set_owner(m, 55);
            run(m, 8000);
            report(hot ? "owner paused, ten times the rate"
                       : "owner paused, usual load",
                   m);
            check_bound(m);
            CU_ASSERT_TRUE(hot || permitted_share(m) >= 0.85);
            model_free(m);
        }
    }
}

/*
 * 27 of 56 gateways are cut off with half of the callers; each side has an
 * owner. The larger side keeps the whole rate.
 */
static void
test_partition(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(customers); i++) {
        for (int hot = 0; hot <= 1; hot++) {
            const struct customer *c = &customers[i];
            struct model *m = model_new(5, 56, c->rate, c->burst);
            double load = hot ? c->rate * 10 : c->rate / RATE_PER_LOAD;

            set_owner(m, 55);
            m->gateways[55].since = 0;
            for (int j = 0; j < m->len; j++) {
                m->gateways[j].load = load / m->len;
            }
            run(m, 6000);
            for (int j = 0; j < 27; j++) {
                m->gateways[j].cut = true;
            }
            run(m, SUSPECT_MS);
            for (int j = 0; j < 27; j++) {
                m->gateways[j].minority = true;
            }
            set_owner(m, 3);
            run(m, 8000);
            for (int j = 0; j < 27; j++) {
                m->gateways[j].cut = false;
                m->gateways[j].minority = false;
                m->gateways[j].owner = 55;
            }
            run(m, 8000);
            report(hot ? "27 of 56 cut off, ten times the rate"
                       : "27 of 56 cut off, usual load",
                   m);
            check_bound(m);
            model_free(m);
        }
    }
}

/* A limit that falls to a tenth while ten times the old rate is sent. */
static void
test_limit_falls(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(customers); i++) {
        const struct customer *c = &customers[i];
        struct model *m = model_new(6, 56, c->rate, c->burst);
        ggw_ms changed;

        set_owner(m, OWNER);
        m->gateways[OWNER].since = 0;
        set_load(m, c->rate * 10, c->spread);
        run(m, 8000);
        changed = m->now;
        m->rate /= 10;
        m->burst /= 10;
        run(m, 20000);
        CU_ASSERT_TRUE(worst_excess(m, changed + GGW_ALLOTMENT_LEASE, m->rate,
                                    m->burst) <= 0);
        model_free(m);
    }
}

/* A limit that rises to ten times serves the new usual load at once. */
static void
test_limit_rises(void)
{
    struct model *m = model_new(6, 56, 25, 16);

    set_owner(m, OWNER);
    set_load(m, 160, 4);
    run(m, 8000);
    m->rate = 258;
    m->burst = 160;
    m->sent = m->permitted = m->refused = 0;
    run(m, 10000);
    report("limit risen tenfold", m);
    CU_ASSERT_TRUE(permitted_share(m) >= 0.99);
    check_bound(m);
    model_free(m);
}

/*
 * All gateways are killed and return 0.5 s later under ten times the rate. No
 * gateway knows what the others ran before.
 */
static void
test_all_killed(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(customers); i++) {
        const struct customer *c = &customers[i];
        struct model *m = model_new(8, 56, c->rate, c->burst);

        set_owner(m, OWNER);
        m->gateways[OWNER].since = 0;
        set_load(m, c->rate * 10, c->spread);
        for (int round = 0; round < 4; round++) {
            run(m, 1500);
            m->now += 500;
            m->frames_len = 0;
            for (int j = 0; j < m->len; j++) {
                struct gateway *g = &m->gateways[j];

                g->holder = (struct ggw_allotment_holder){0};
                g->owned = false;
                g->since = m->now;
                g->waiting_len = 0;
            }
        }
        run(m, 8000);
        report("all killed and back, ten times the rate", m);
        check_bound(m);
        model_free(m);
    }
}

/*
 * Gateways with load stall for 0.3 to 2 s at random. Tokens that they held
 * must not be used afterwards.
 */
static void
test_holders_stall(void)
{
    for (uint32_t seed = 1; seed <= 5; seed++) {
        struct model *m = model_new(seed, 56, 258, 160);

        set_owner(m, OWNER);
        m->gateways[OWNER].since = 0;
        set_load(m, 2580, 56);
        for (int n = 0; n < 40; n++) {
            int i = g_rand_int_range(m->rand, 8, 56);

            m->gateways[i].paused = true;
            run(m, g_rand_double_range(m->rand, 300, 700));
            m->gateways[i].paused = false;
        }
        report("gateways stall, ten times the rate", m);
        check_bound(m);
        model_free(m);
    }
}

/* Clients that are refused together must not return together. */
static void
test_retry_after(void)
{
    struct ggw_allotment_bucket b;
    struct ggw_allotment_answer a, next;

    ggw_allotment_bucket_init(&b, 20, 0, 0, 1000);
    a = ggw_allotment_bucket_take(&b, 0, 100, 1000);
    CU_ASSERT_EQUAL(a.granted, 6);
    b.rate = 20;
    a = ggw_allotment_bucket_take(&b, 5, 0, 1000);
    CU_ASSERT_EQUAL(a.granted, 0);
    CU_ASSERT_EQUAL(a.refused, 5);
    CU_ASSERT_DOUBLE_EQUAL(a.retry_after, 50, 0.1);
    CU_ASSERT_DOUBLE_EQUAL(a.step, 50, 0.1);
    next = ggw_allotment_bucket_take(&b, 5, 0, 1000);
    CU_ASSERT_DOUBLE_EQUAL(next.retry_after, 300, 0.1);
    for (int i = 0; i < 100; i++) {
        next = ggw_allotment_bucket_take(&b, 5, 0, 1000);
        CU_ASSERT_TRUE(next.retry_after <= 1300);
    }
}

/* Nothing is refused while a new owner cannot know what was used before. */
static void
test_settle(void)
{
    struct ggw_allotment_bucket b;
    struct ggw_allotment_answer a;

    ggw_allotment_bucket_init(&b, 20, 100, 1000, 1000);
    a = ggw_allotment_bucket_take(&b, 50, 0, 1000);
    CU_ASSERT_TRUE(a.granted <= 3);
    CU_ASSERT_EQUAL(a.refused, 0);
    a = ggw_allotment_bucket_take(&b, 100, 0, 1000 + GGW_ALLOTMENT_SETTLE);
    CU_ASSERT_TRUE(a.granted >= 20 && a.granted < 50);
    CU_ASSERT_EQUAL(a.refused, 100 - a.granted);
    ggw_allotment_bucket_reset(&b, 4000);
    a = ggw_allotment_bucket_take(&b, 50, 0, 4001);
    CU_ASSERT_EQUAL(a.granted, 0);
    CU_ASSERT_EQUAL(a.refused, 0);
}

/* A returned token is usable for the rest of its validity only. */
static void
test_return(void)
{
    struct ggw_allotment_holder h = {0};

    ggw_allotment_holder_answered(&h, 1, 1000, false, 1001);
    CU_ASSERT_TRUE(ggw_allotment_holder_use(&h, 1002));
    CU_ASSERT_FALSE(ggw_allotment_holder_use(&h, 1002));
    ggw_allotment_holder_return(&h, 1002, 1050);
    CU_ASSERT_TRUE(ggw_allotment_holder_use(&h, 1060));
    ggw_allotment_holder_return(&h, 1060, 3000);
    CU_ASSERT_FALSE(ggw_allotment_holder_use(&h, 3000));
}

/* Time of a permission with 10,000 customers in turn. */
static void
test_cost(void)
{
    enum {
        CUSTOMERS = 10000,
        PERMISSIONS = 1000000
    };
    struct ggw_allotment_holder *h =
        g_new0(struct ggw_allotment_holder, CUSTOMERS);
    struct ggw_allotment_bucket *b =
        g_new0(struct ggw_allotment_bucket, CUSTOMERS);
    gint64 start;
    unsigned used = 0;

    for (int i = 0; i < CUSTOMERS; i++) {
        ggw_allotment_bucket_init(&b[i], 1e6, 1e6, 0, 1000);
    }
    start = g_get_monotonic_time();
    for (int n = 0; n < PERMISSIONS; n++) {
        int i = n % CUSTOMERS;
        ggw_ms now = 1000 + n / 1000.0;
        struct ggw_allotment_answer a;
        unsigned ahead;

        ggw_allotment_holder_count(&h[i], now);
        if (!ggw_allotment_holder_use(&h[i], now) &&
            ggw_allotment_holder_ask(&h[i], 1, &ahead, now)) {
            a = ggw_allotment_bucket_take(&b[i], 1, ahead, now);
            ggw_allotment_holder_answered(&h[i], a.granted, now, false, now);
            used += ggw_allotment_holder_use(&h[i], now);
        }
    }
    printf("%.0f ns a permission\n",
           (double)(g_get_monotonic_time() - start) * 1000 / PERMISSIONS);
    CU_ASSERT_TRUE(used > 0);
    g_free(h);
    g_free(b);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"usual load", test_calm},
        {"ten times the rate", test_ten_times},
        {"owner killed", test_owner_killed},
        {"owner paused", test_owner_paused},
        {"partition", test_partition},
        {"limit falls", test_limit_falls},
        {"limit rises", test_limit_rises},
        {"all killed", test_all_killed},
        {"gateways stall", test_holders_stall},
        {"retry after", test_retry_after},
        {"settle", test_settle},
        {"return", test_return},
        {"cost", test_cost},
        CU_TEST_INFO_NULL,
    };

    return suite_run("allotment", tests);
}
