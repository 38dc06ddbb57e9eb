#ifndef GGW_STANDINS_LOAD_STATS_H
#define GGW_STANDINS_LOAD_STATS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "common/histogram.h"

/**
 * DOC: counts of the load generator
 *
 * Results per kind of request, and a check of what clients were told about
 * each order against what the backend servers ran.
 */

/**
 * struct load_stats - results of one kind of request
 * @sent: requests; retries are not counted
 * @served: complete responses with the expected body
 * @wrong: complete responses with any other body
 * @retried: retries
 * @done: requests whose last response had the outcome "done"
 * @not_run: requests whose last response had the outcome "not-run"
 * @unknown: requests whose last response had the outcome "unknown"
 * @no_outcome: requests whose last attempt ended without an outcome
 * @results: name of every other result to its count
 * @latency: of served requests in ms, from the scheduled arrival
 */
struct load_stats {
    uint64_t sent, served, wrong, retried;
    uint64_t done, not_run, unknown, no_outcome;
    GHashTable *results;
    struct ggw_histogram latency;
};

/**
 * struct load_order_result - what the client of one order was told
 * @served: a response confirmed that the order ran
 * @may_have_run: at least one attempt ended without proof that the order had
 *                not run
 */
struct load_order_result {
    bool served, may_have_run;
};

/**
 * load_stats_new() - create empty counts
 */
static inline struct load_stats *
load_stats_new(void)
{
    struct load_stats *s = g_new0(struct load_stats, 1);

    s->results = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return s;
}

/**
 * load_stats_count_result() - count a result that is neither served nor wrong
 */
static inline void
load_stats_count_result(struct load_stats *s, const char *name)
{
    gpointer count = g_hash_table_lookup(s->results, name);

    g_hash_table_insert(s->results, g_strdup(name),
                        GINT_TO_POINTER(GPOINTER_TO_INT(count) + 1));
}

/**
 * load_stats_count_outcome() - count the Greengageway-Outcome of a response
 * @outcome: empty when the request ended without one
 */
static inline void
load_stats_count_outcome(struct load_stats *s, const char *outcome)
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

/**
 * load_print_figure() - print a figure as "PREFIXKIND_NAME VALUE UNIT"
 */
static inline void
load_print_figure(const char *prefix, const char *kind, const char *name,
                  double value, const char *unit)
{
    printf("%s%s_%s %.10g %s\n", prefix, kind, name, value, unit);
}

/**
 * load_stats_print() - print the counts and latency quantiles of a kind
 */
static inline void
load_stats_print(const struct load_stats *s, const char *prefix,
                 const char *kind)
{
    GHashTableIter iter;
    gpointer name, count;

    load_print_figure(prefix, kind, "sent", (double)s->sent, "requests");
    load_print_figure(prefix, kind, "served", (double)s->served, "requests");
    load_print_figure(prefix, kind, "wrong", (double)s->wrong, "requests");
    load_print_figure(prefix, kind, "retried", (double)s->retried, "requests");
    g_hash_table_iter_init(&iter, s->results);
    while (g_hash_table_iter_next(&iter, &name, &count)) {
        load_print_figure(prefix, kind, name, GPOINTER_TO_INT(count),
                          "requests");
    }
    load_print_figure(prefix, kind, "outcome_done", (double)s->done,
                      "responses");
    load_print_figure(prefix, kind, "outcome_not_run", (double)s->not_run,
                      "responses");
    load_print_figure(prefix, kind, "outcome_unknown", (double)s->unknown,
                      "responses");
    load_print_figure(prefix, kind, "outcome_none", (double)s->no_outcome,
                      "responses");
    load_print_figure(prefix, kind, "p50",
                      ggw_histogram_quantile(&s->latency, 0.5), "ms");
    load_print_figure(prefix, kind, "p99",
                      ggw_histogram_quantile(&s->latency, 0.99), "ms");
    load_print_figure(prefix, kind, "p99.9",
                      ggw_histogram_quantile(&s->latency, 0.999), "ms");
}

/**
 * load_stats_json() - build the counts of a kind for the control page
 */
static inline json_t *
load_stats_json(const struct load_stats *s)
{
    json_t *results = json_object();
    GHashTableIter iter;
    gpointer name, count;

    g_hash_table_iter_init(&iter, s->results);
    while (g_hash_table_iter_next(&iter, &name, &count)) {
        json_object_set_new(results, name,
                            json_integer(GPOINTER_TO_INT(count)));
    }
    return json_pack("{s:I, s:I, s:I, s:o}", "sent", (json_int_t)s->sent,
                     "served", (json_int_t)s->served, "wrong",
                     (json_int_t)s->wrong, "results", results);
}

/**
 * load_orders_check() - check what clients were told against what ran
 * @orders: order id to struct load_order_result
 * @runs: order id to its number of runs, summed over the backend servers
 *
 * Violations are orders that ran more than once, that ran although the client
 * was told that they had not, or that did not run although the client was told
 * that they had. Prints the number of each.
 *
 * Return: the number of violations.
 */
static inline int
load_orders_check(GHashTable *orders, GHashTable *runs, const char *prefix)
{
    int ran_twice = 0, refused_but_ran = 0, served_but_not_ran = 0, ran = 0;
    GHashTableIter iter;
    gpointer id, value;

    g_hash_table_iter_init(&iter, orders);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        const struct load_order_result *o = value;
        int count = GPOINTER_TO_INT(g_hash_table_lookup(runs, id));

        ran += count > 0;
        ran_twice += count > 1;
        refused_but_ran += count > 0 && !o->served && !o->may_have_run;
        served_but_not_ran += count == 0 && o->served;
    }
    load_print_figure(prefix, "orders", "ran", ran, "orders");
    load_print_figure(prefix, "orders", "ran_twice", ran_twice, "orders");
    load_print_figure(prefix, "orders", "refused_but_ran", refused_but_ran,
                      "orders");
    load_print_figure(prefix, "orders", "served_but_not_ran",
                      served_but_not_ran, "orders");
    return ran_twice + refused_but_ran + served_but_not_ran;
}

/**
 * load_runs_add() - add the runs counted by a backend stand-in
 * @runs: order id to its number of runs
 * @text: response body of GET /-/counts
 * @len: length of @text in bytes
 */
static inline void
load_runs_add(GHashTable *runs, const char *text, size_t len)
{
    json_t *counts = json_loadb(text, len, 0, NULL);
    const char *name, *order;
    json_t *server, *count;

    json_object_foreach(json_object_get(counts, "servers"), name, server)
    {
        json_object_foreach(json_object_get(server, "runs"), order, count)
        {
            gpointer total = g_hash_table_lookup(runs, order);

            g_hash_table_insert(
                runs, g_strdup(order),
                GINT_TO_POINTER(GPOINTER_TO_INT(total) +
                                (int)json_integer_value(count)));
        }
    }
    json_decref(counts);
}

#endif
