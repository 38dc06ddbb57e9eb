#include "common/metrics.h"

#include <string.h>

static GHashTable *counters;
static GHashTable *histograms;

static void *
find_or_create(GHashTable **table, const char *name, size_t size)
{
    void *value;

    if (*table == NULL) {
        *table =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    }
    value = g_hash_table_lookup(*table, name);
    if (value == NULL) {
        value = g_malloc0(size);
        g_hash_table_insert(*table, g_strdup(name), value);
    }
    return value;
}

uint64_t *
ggw_counter(const char *name)
{
    return find_or_create(&counters, name, sizeof(uint64_t));
}

void
ggw_count(const char *name)
{
    (*ggw_counter(name))++;
}

struct ggw_histogram *
ggw_metric_histogram(const char *name)
{
    return find_or_create(&histograms, name, sizeof(struct ggw_histogram));
}

static GList *
sorted_names(GHashTable *table)
{
    if (table == NULL) {
        return NULL;
    }
    return g_list_sort(g_hash_table_get_keys(table), (GCompareFunc)strcmp);
}

static void
print_histogram(GString *out, const char *name, const struct ggw_histogram *h)
{
    static const double quantiles[] = {0.5, 0.99, 0.999};
    const char *brace = strchr(name, '{');
    int base_len = brace != NULL ? (int)(brace - name) : (int)strlen(name);
    g_autofree char *labels = g_strdup(brace != NULL ? brace + 1 : "}");

    labels[strlen(labels) - 1] = '\0'; /* removes the closing brace */
    for (size_t i = 0; i < G_N_ELEMENTS(quantiles); i++) {
        g_string_append_printf(out, "%.*s{%s%squantile=\"%g\"} %g\n", base_len,
                               name, labels, *labels != '\0' ? "," : "",
                               quantiles[i],
                               ggw_histogram_quantile(h, quantiles[i]));
    }
    g_string_append_printf(out, "%.*s_sum%s %g\n", base_len, name,
                           brace != NULL ? brace : "", h->sum);
    g_string_append_printf(out, "%.*s_count%s %" G_GUINT64_FORMAT "\n",
                           base_len, name, brace != NULL ? brace : "",
                           (guint64)h->count);
}

char *
ggw_metric_label(const char *text)
{
    GString *out = g_string_new(NULL);

    for (const char *c = text; *c != '\0'; c++) {
        if (*c == '"' || *c == '\\') {
            g_string_append_c(out, '\\');
        }
        if (*c == '\n') {
            g_string_append(out, "\\n");
        }
        else {
            g_string_append_c(out, g_ascii_iscntrl(*c) ? '?' : *c);
        }
    }
    return g_string_free(out, FALSE);
}

void
ggw_metrics_print(GString *out)
{
    GList *names = sorted_names(counters);

    for (GList *l = names; l != NULL; l = l->next) {
        uint64_t *value = g_hash_table_lookup(counters, l->data);

        g_string_append_printf(out, "%s %" G_GUINT64_FORMAT "\n",
                               (const char *)l->data, (guint64)*value);
    }
    g_list_free(names);
    names = sorted_names(histograms);
    for (GList *l = names; l != NULL; l = l->next) {
        print_histogram(out, l->data,
                        g_hash_table_lookup(histograms, l->data));
    }
    g_list_free(names);
}

void
ggw_metrics_fini(void)
{
    g_clear_pointer(&counters, g_hash_table_destroy);
    g_clear_pointer(&histograms, g_hash_table_destroy);
}
