#include <math.h>
#include <string.h>

#include "config/exchange.h"
#include "config/row.h"
#include "config/tree.h"
#include "config/vms.h"
#include "decide/claim.h"
#include "peers/frame.h"
#include "platform/config.h"
#include "platform/dialect.h"
#include "platform/servers.h"
#include "platform/settings.h"
#include "platform/store.h"
#include "proxy/dialect.h"
#include "tests/suite.h"

/*
 * Texts of the store, of settings files, of backend servers and of other
 * gateways that are changed at random. Each may be refused; none may end the
 * process, which the sanitizers watch, and what is accepted must be in range.
 */

#define SEED 20261206

/* Changed texts of each sample. */
#define ROUNDS 4000

#define SETTINGS                                                              \
    "{\"NodeName\":\"n1\",\"Zone\":\"a\",\"Ip\":\"10.1.0.18\","               \
    "\"InternalPorts\":[7200,7215],\"Seeds\":[\"10.1.0.18:8382\"],"           \
    "\"Platform\":{\"Address\":\"10.200.1.7:8384\"},"                         \
    "\"Bounds\":{\"GraceS\":6,\"ttl_max_s\":5,\"RetryRatio\":0.2,"            \
    "\"RetryWindowS\":10,\"RetrySlack\":58,\"ProbesPerS\":60},"               \
    "\"Limits\":{\"LinkMbps\":1500,\"CpuShare\":0.3,\"Cores\":1},"            \
    "\"Listen\":{\"Front\":\"10.1.0.18:8381\",\"Ready\":\"10.1.0.18:8388\","  \
    "\"Control\":\"10.1.0.18:8382\",\"Directory\":\"10.1.0.18:8383\"}}"

#define CONFIG                                                                \
    "{\"Version\":\"00000007\",\"Listeners\":[{\"Host\":\"h.example\","       \
    "\"Rules\":[{\"Name\":\"r\",\"RouteType\":\"idempotent\","                \
    "\"TargetLatencyMs\":300,\"Priority\":2,\"Match\":{\"Prefix\":\"/p/\"},"  \
    "\"Action\":{\"TrafficSplit\":[{\"Service\":\"s\",\"Weight\":90},"        \
    "{\"Service\":\"t\",\"Weight\":10}],\"TimeoutMs\":1200,"                  \
    "\"MaxAttempts\":2}}]}],\"Clusters\":[{\"Name\":\"s\","                   \
    "\"HealthPath\":\"/health\",\"MaxConns\":220,\"ColdStartS\":3.0,"         \
    "\"ColdPerS\":3.4},{\"Name\":\"t\",\"HealthPath\":\"/h\","                \
    "\"MaxConns\":220}]}"

#define ENTRY                                                                 \
    "{\"Service\":\"s\",\"Address\":\"10.128.0.9:8080\",\"Zone\":\"a\","      \
    "\"Version\":\"1\",\"Slots\":4,\"State\":\"ready\",\"ColdLeftMs\":20.5,"  \
    "\"Sequence\":3,\"born\":1700}"

#define ROWS                                                                  \
    "{\"Rows\":[{\"Table\":\"servers\",\"Key\":\"i-1\",\"Ver\":5,"            \
    "\"Value\":\"e30=\"},{\"Key\":\"i-2\",\"Ver\":6,\"Deleted\":true}],"      \
    "\"Ver\":7,\"HasMore\":false}"

#define VMS                                                                   \
    "{\"version\":3,\"vms\":[{\"name\":\"g1\",\"role\":\"gateway\","          \
    "\"failure_domain\":\"a\",\"address\":\"127.0.0.1:80\","                  \
    "\"peer_address\":\"127.0.0.1:90\",\"incarnation\":\"\","                 \
    "\"state\":\"leaving\"},{\"name\":\"s1\",\"role\":\"backend_server\","    \
    "\"team\":\"t\",\"service\":\"s\",\"failure_domain\":\"b\","              \
    "\"address\":\"127.0.0.2:8080\",\"incarnation\":\"12345678901\","         \
    "\"state\":\"live\"}]}"

#define TREE                                                                  \
    "{\"failure_domains\":{\"a\":{\"state\":\"in\"}},\"backend_servers\":{"   \
    "\"s1\":{\"state\":\"draining\"}},\"services\":{\"s\":{\"slots\":2,"      \
    "\"ahead\":1,\"cold_limit\":1,\"policy\":\"slots\",\"retry_percent\":10," \
    "\"kinds\":{\"k\":{\"methods\":[\"GET\"],\"path_prefix\":\"/\","          \
    "\"timeout_ms\":1000,\"idempotency\":\"order\","                          \
    "\"order_from\":\"header:X-Order-Id\",\"attempts\":3}}}}}"

#define ROW                                                                   \
    "{\"revision\":2,\"change\":\"c\",\"who\":\"w\","                         \
    "\"when\":\"2026-01-01T00:00:00Z\",\"tree\":{\"services\":{}}}"

#define CLAIM                                                                 \
    "{\"gateway\":\"g\",\"incarnation\":17,\"nonce\":\"n\","                  \
    "\"state\":\"done\",\"status\":200}"

static const char *const tokens[] = {
    "null",
    "-1",
    "0",
    "1e308",
    "99999999999999999999",
    "0.1",
    "[]",
    "{}",
    "\"\"",
    "true",
    "\"\\u0000\"",
    "\"\\ud800\"",
    "\xff",
    "[[[[[[",
    ",",
    "\"",
    "}",
    "\\",
    "1e999",
    "-0",
    ":",
    "65536",
    "\"10.1.0.18:0\"",
    ";",
    "=",
    "inf",
    "nan",
    "0x1p99",
    " ",
    "\r\n",
};

/* Inserts, removes, repeats or overwrites a part of a text. */
static void
change(GString *s, GRand *rand)
{
    gint32 len = (gint32)s->len;
    gssize at = g_rand_int_range(rand, 0, len + 1);
    gssize max = g_rand_int_range(rand, 1, 12);
    gssize n = MIN(max, len - at);
    g_autofree char *part = g_strndup(s->str + at, (gsize)n);
    const char *token =
        tokens[g_rand_int_range(rand, 0, (gint32)G_N_ELEMENTS(tokens))];

    switch (g_rand_int_range(rand, 0, 5)) {
    case 0:
        g_string_insert(s, at, token);
        break;
    case 1:
        g_string_erase(s, at, n);
        break;
    case 2:
        g_string_insert(s, at, part);
        break;
    case 3:
        g_string_erase(s, at, n);
        g_string_insert(s, at, token);
        break;
    default:
        if (at < len) {
            s->str[at] = (char)g_rand_int_range(rand, 1, 256);
        }
        break;
    }
}

static char *
mutate(const char *text, GRand *rand)
{
    GString *s = g_string_new(text);

    for (int i = g_rand_int_range(rand, 1, 4); i > 0; i--) {
        change(s, rand);
    }
    return g_string_free(s, FALSE);
}

static bool
read_rows(const char *text)
{
    struct ggw_store_response response = {
        .rows = g_ptr_array_new_with_free_func(ggw_store_row_free),
    };
    bool ok = ggw_store_decode("test", text, strlen(text), &response);

    g_ptr_array_unref(response.rows);
    return ok;
}

static bool
read_vms(const char *text)
{
    struct ggw_vm_list *list = ggw_vm_list_parse(text, NULL);

    if (list == NULL) {
        return false;
    }
    ggw_vm_list_unref(list);
    return true;
}

static bool
read_tree(const char *text)
{
    struct ggw_tree *tree = ggw_tree_parse("t", 1, text, NULL);

    if (tree == NULL) {
        return false;
    }
    ggw_tree_unref(tree);
    return true;
}

static bool
read_row(const char *text)
{
    struct ggw_config_row row;
    bool ok = ggw_config_row_parse(text, &row, NULL);

    ggw_config_row_clear(&row);
    return ok;
}

static bool
read_claim(const char *text)
{
    struct ggw_claim_row row;
    bool ok = ggw_claim_row_parse(text, &row);

    ggw_claim_row_clear(&row);
    return ok;
}

static bool
read_settings(const char *text)
{
    struct ggw_node_settings *s = ggw_node_settings_parse(text, "file", NULL);

    if (s == NULL) {
        return false;
    }
    CU_ASSERT_TRUE(isfinite(s->grace) && isfinite(s->max_change_delay) &&
                   isfinite(s->retry_percent) && isfinite(s->probe_rate));
    ggw_node_settings_free(s);
    return true;
}

static bool
read_config(const char *text)
{
    struct ggw_node_settings *s =
        ggw_node_settings_parse(SETTINGS, "file", NULL);
    g_autoptr(GBytes) config = g_bytes_new(text, strlen(text));
    g_autoptr(GHashTable) domains_out =
        g_hash_table_new(g_str_hash, g_str_equal);
    g_autofree char *version = NULL;
    g_autofree char *json =
        ggw_site_translate(config, domains_out, s, &version, NULL);
    bool ok = json != NULL && read_tree(json);

    ggw_node_settings_free(s);
    return ok;
}

static bool
read_entry(const char *text)
{
    g_autoptr(GBytes) value = g_bytes_new(text, strlen(text));
    struct ggw_servers *s = ggw_servers_new();
    struct ggw_vm_list *list;
    bool ok;

    ggw_servers_put(s, "i-1", value, 100);
    list = ggw_servers_list(s);
    ok = list->len == 1;
    ggw_vm_list_unref(list);
    ggw_servers_free(s);
    return ok;
}

struct sample {
    const char *name;
    const char *text;
    bool (*read)(const char *text);
};

static const struct sample samples[] = {
    {"rows", ROWS, read_rows},
    {"VM list", VMS, read_vms},
    {"settings", TREE, read_tree},
    {"settings row", ROW, read_row},
    {"order", CLAIM, read_claim},
    {"settings file", SETTINGS, read_settings},
    {"configuration", CONFIG, read_config},
    {"entry", ENTRY, read_entry},
};

/* Guards against a text that ends the process. */
static void
test_texts(void)
{
    GRand *rand = g_rand_new_with_seed(SEED);

    for (size_t i = 0; i < G_N_ELEMENTS(samples); i++) {
        const struct sample *s = &samples[i];
        int accepted = 0;

        CU_ASSERT_TRUE(s->read(s->text));
        for (int round = 0; round < ROUNDS; round++) {
            g_autofree char *text = mutate(s->text, rand);

            accepted += s->read(text);
        }
        if (accepted == 0 || accepted == ROUNDS) {
            printf("%s: %d accepted ", s->name, accepted);
        }
        CU_ASSERT_TRUE(accepted > 0 && accepted < ROUNDS);
    }
    g_rand_free(rand);
}

static const char *const header_samples[][2] = {
    {"backend-load", "slots=2; busy=1; queue=0; cold=0; draining=0; "
                     "incarnation=17"},
    {"backend-outcome", "not-run"},
    {"instance-load", "{\"Slots\":4,\"Busy\":1,\"Waiting\":0}"},
    {"instance-load", "slots=4 busy=1 waiting=0"},
    {"cold-remaining", "3.5"},
    {"server-leaving", "1"},
    {"retry-after", "2.5"},
    {"not-executed", "1"},
    {"instance-id", "i-1"},
};

static void
check_report(const struct ggw_load_report *r)
{
    CU_ASSERT_TRUE(isfinite(r->cold_left) && r->cold_left >= 0);
}

static void
read_headers(const struct ggw_dialect *d, const h2o_header_t *headers,
             size_t len)
{
    static const int statuses[] = {200, 204, 421, 429, 503};

    for (size_t i = 0; i < G_N_ELEMENTS(statuses); i++) {
        int status = statuses[i];
        struct ggw_load_report load = d->load(headers, len);
        struct ggw_load_report probe = d->probe_load(headers, len);
        struct ggw_backoff_notice notice = {0};

        check_report(&load);
        check_report(&probe);
        d->not_run(status, headers, len);
        if (d->probe_misdirected != NULL) {
            d->probe_misdirected(status, headers, len, "i-1");
        }
        if (d->backoff != NULL) {
            notice = d->backoff(status, headers, len);
        }
        CU_ASSERT_TRUE(notice.pause >= 0 &&
                       notice.pause <= GGW_BACKOFF_MAX_PAUSE);
    }
}

/* Guards against a load report or another header that ends the process. */
static void
test_headers(void)
{
    GRand *rand = g_rand_new_with_seed(SEED);

    for (int round = 0; round < ROUNDS; round++) {
        h2o_iovec_t names[G_N_ELEMENTS(header_samples)];
        h2o_header_t headers[G_N_ELEMENTS(header_samples)];
        g_autoptr(GPtrArray) values = g_ptr_array_new_with_free_func(g_free);

        for (size_t i = 0; i < G_N_ELEMENTS(header_samples); i++) {
            const char *name = header_samples[i][0];
            char *value = mutate(header_samples[i][1], rand);

            g_ptr_array_add(values, value);
            names[i] = h2o_iovec_init(name, strlen(name));
            headers[i] = (h2o_header_t){
                .name = &names[i],
                .value = h2o_iovec_init(value, strlen(value)),
            };
        }
        read_headers(&ggw_default_dialect, headers, G_N_ELEMENTS(headers));
        read_headers(&ggw_site_dialect, headers, G_N_ELEMENTS(headers));
    }
    g_rand_free(rand);
}

static GBytes *
mutate_bytes(GBytes *payload, GRand *rand)
{
    gsize len;
    gconstpointer data = g_bytes_get_data(payload, &len);
    g_autofree guint8 *changed = g_memdup2(data, len);

    for (int i = g_rand_int_range(rand, 1, 4); i > 0; i--) {
        changed[g_rand_int_range(rand, 0, (gint32)len)] =
            (guint8)g_rand_int(rand);
    }
    return g_bytes_new(changed, len);
}

static bool
is_valid(GBytes *payload)
{
    return ggw_frame_payload_is_valid(g_bytes_get_data(payload, NULL),
                                      g_bytes_get_size(payload));
}

/* Guards against settings from another gateway that end the process. */
static void
test_settings_frames(void)
{
    struct ggw_config_update out = {(char *)"t", 7, (char *)TREE, 7};
    struct ggw_config_query asked;
    GRand *rand = g_rand_new_with_seed(SEED);
    g_autoptr(GBytes) put = ggw_config_update_pack(&out);
    g_autoptr(GBytes) get = NULL;
    int valid = 0;

    ggw_config_query_init(&asked);
    ggw_config_query_add(&asked, "t", 7);
    get = ggw_config_query_pack(&asked);
    ggw_config_query_clear(&asked);
    for (int round = 0; round < ROUNDS; round++) {
        g_autoptr(GBytes) a = mutate_bytes(put, rand);
        g_autoptr(GBytes) b = mutate_bytes(get, rand);
        struct ggw_config_update update;
        struct ggw_config_query query;

        if (is_valid(a)) {
            valid++;
            ggw_config_update_unpack(a, &update);
            ggw_config_update_clear(&update);
        }
        if (is_valid(b)) {
            ggw_config_query_unpack(b, &query);
            ggw_config_query_clear(&query);
        }
    }
    CU_ASSERT_TRUE(valid > 0);
    g_rand_free(rand);
}

/* Guards against a time that no integer can hold. */
static void
test_large_times(void)
{
    static const char *const fields[] = {"\"TimeoutMs\":", "\"ColdStartS\":"};

    CU_ASSERT_TRUE(read_config(CONFIG));
    for (size_t i = 0; i < G_N_ELEMENTS(fields); i++) {
        g_autofree char *large = g_strconcat(fields[i], "1e300,\"x\":", NULL);
        g_auto(GStrv) parts = g_strsplit(CONFIG, fields[i], 2);
        g_autofree char *text = g_strjoinv(large, parts);

        CU_ASSERT_FALSE(read_config(text));
    }
}

/* Guards against an empty name, for which msgpack-c may give no pointer. */
static void
test_empty_team(void)
{
    static const char bytes[] = "\x81\xa0\x07";
    g_autoptr(GBytes) payload = g_bytes_new_static(bytes, sizeof(bytes) - 1);
    struct ggw_config_query query;

    CU_ASSERT_TRUE(is_valid(payload));
    CU_ASSERT_TRUE(ggw_config_query_unpack(payload, &query));
    ggw_config_query_clear(&query);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"texts", test_texts},
        {"headers", test_headers},
        {"settings from gateways", test_settings_frames},
        {"large times", test_large_times},
        {"empty team", test_empty_team},
        CU_TEST_INFO_NULL,
    };

    return suite_run("mutated texts", tests);
}
