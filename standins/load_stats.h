#ifndef GGW_STANDINS_LOAD_STATS_H
#define GGW_STANDINS_LOAD_STATS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "common/histogram.h"

/*
 * Counts of the load tool: results of each kind of request, and what clients
 * learned of each order compared with what the backend servers ran.
 */

/**
 * struct load_stats - results of one kind of request
 * @served: complete, with the expected body
 * @wrong: complete, with a body that is not the request's own
 * @results: counts of every other result by name
 */
struct load_stats {
    uint64_t sent, served, wrong, retried;
    uint64_t done, not_run, unknown, no_outcome;
    GHashTable *results;
    struct ggw_histogram latency;
};

/**
 * struct load_order - what the client of one order learned
 * @served: a response said that it ran
 * @maybe: some try did not end with proof that it had not run
 */
struct load_order {
    bool served, maybe;
};

static inline struct load_stats *
load_stats_new(void)
{
    struct load_stats *s = g_new0(struct load_stats, 1);

    s->results = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return s;
}

static inline void
load_stats_result(struct load_stats *s, const char *name)
{
    gpointer n = g_hash_table_lookup(s->results, name);

    g_hash_table_insert(s->results, g_strdup(name),
                        GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
}

static inline void
load_stats_outcome(struct load_stats *s, const char *outcome)
{
    if (strcmp(outcome, "done") == 0) {
        s->done++;
    }
    else if (strcmp(outcome, "not-run") == 0) {
        s->not_run++;
    }
    else if (strcmp(outcome, "unknown") == 0) {
        s->unknown++;
    }
    else {
        s->no_outcome++;
    }
}

static inline void
load_line(const char *prefix, const char *kind, const char *name, double value,
          const char *unit)
{
    printf("%s%s_%s %.10g %s\n", prefix, kind, name, value, unit);
}

static inline void
load_stats_print(const struct load_stats *s, const char *prefix,
                 const char *kind)
{
    GHashTableIter iter;
    gpointer name, n;

    load_line(prefix, kind, "sent", (double)s->sent, "requests");
    load_line(prefix, kind, "served", (double)s->served, "requests");
    load_line(prefix, kind, "wrong", (double)s->wrong, "requests");
    load_line(prefix, kind, "retried", (double)s->retried, "requests");
    g_hash_table_iter_init(&iter, s->results);
    while (g_hash_table_iter_next(&iter, &name, &n)) {
        load_line(prefix, kind, name, GPOINTER_TO_INT(n), "requests");
    }
    load_line(prefix, kind, "outcome_done", (double)s->done, "responses");
    load_line(prefix, kind, "outcome_not_run", (double)s->not_run,
              "responses");
    load_line(prefix, kind, "outcome_unknown", (double)s->unknown,
              "responses");
    load_line(prefix, kind, "outcome_none", (double)s->no_outcome,
              "responses");
    load_line(prefix, kind, "p50", ggw_histogram_quantile(&s->latency, 0.5),
              "ms");
    load_line(prefix, kind, "p99", ggw_histogram_quantile(&s->latency, 0.99),
              "ms");
    load_line(prefix, kind, "p99.9",
              ggw_histogram_quantile(&s->latency, 0.999), "ms");
}

static inline json_t *
load_stats_json(const struct load_stats *s)
{
    json_t *results = json_object();
    GHashTableIter iter;
    gpointer name, n;

    g_hash_table_iter_init(&iter, s->results);
    while (g_hash_table_iter_next(&iter, &name, &n)) {
        json_object_set_new(results, name, json_integer(GPOINTER_TO_INT(n)));
    }
    return json_pack("{s:I, s:I, s:I, s:o}", "sent", (json_int_t)s->sent,
                     "served", (json_int_t)s->served, "wrong",
                     (json_int_t)s->wrong, "results", results);
}

/**
 * load_orders_check() - compare the clients' knowledge with the runs
 * @orders: order to struct load_order
 * @runs: order to its number of runs, summed over the backend servers
 *
 * Prints the violations; returns their number.
 */
static inline int
load_orders_check(GHashTable *orders, GHashTable *runs, const char *prefix)
{
    int twice = 0, refused_ran = 0, served_not_ran = 0, ran = 0;
    GHashTableIter iter;
    gpointer id, value;

    g_hash_table_iter_init(&iter, orders);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const struct load_order *o = value;
        int n = GPOINTER_TO_INT(g_hash_table_lookup(runs, id));

        ran += n > 0;
        twice += n > 1;
        refused_ran += n > 0 && !o->served && !o->maybe;
        served_not_ran += n == 0 && o->served;
    }
    load_line(prefix, "orders", "ran", ran, "orders");
    load_line(prefix, "orders", "ran_twice", twice, "orders");
    load_line(prefix, "orders", "refused_but_ran", refused_ran, "orders");
    load_line(prefix, "orders", "served_but_not_ran", served_not_ran,
              "orders");
    return twice + refused_ran + served_not_ran;
}

/* Adds the runs in a backend stand-in's GET /-/counts to @runs. */
static inline void
load_runs_add(GHashTable *runs, const char *text, size_t len)
{
    json_t *counts = json_loadb(text, len, 0, NULL);
    const char *name, *order;
    json_t *server, *n;

    json_object_foreach(json_object_get(counts, "servers"), name, server)
    {
        json_object_foreach(json_object_get(server, "runs"), order, n)
        {
            gpointer sum = g_hash_table_lookup(runs, order);

            g_hash_table_insert(runs, g_strdup(order),
                                GINT_TO_POINTER(GPOINTER_TO_INT(sum) +
                                                (int)json_integer_value(n)));
        }
    }
    json_decref(counts);
}

#endif
