#include <CUnit/Basic.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "ctl/blocking.h"
#include "ctl/ctl.h"
#include "ctl/keys.h"
#include "ctl/path.h"
#include "ctl/table.h"
#include "tests/platform_process.h"

/* Delay of a write in ms; the other operator reads the settings meanwhile. */
#define WRITE_DELAY_MS "3000"

/* Timeout of requests that must be answered, in ms. */
#define LONG_TIMEOUT_MS 10000

static struct platform_process process;

/* A verb that runs in a child process; @out reads its output. */
struct operation {
    pid_t pid;
    FILE *out;
};

static const struct ggw_ctl_verb *
find_verb(const char *name)
{
    const struct ggw_ctl_verb *verb = ggw_ctl_verbs;

    while (verb->name != NULL && strcmp(verb->name, name) != 0) {
        verb++;
    }
    g_assert_nonnull(verb->name);
    return verb;
}

/*
 * Starts a command line in a child process. Each "PORT" in it is replaced by
 * the platform's port.
 */
static struct operation
start(const char *line)
{
    g_autofree char *port = g_strdup_printf("%u", process.port);
    g_auto(GStrv) parts = g_strsplit(line, "PORT", -1);
    g_autofree char *with_port = g_strjoinv(port, parts);
    struct operation op;
    g_auto(GStrv) argv = NULL;
    int argc, fds[2];

    g_assert_true(g_shell_parse_argv(with_port, &argc, &argv, NULL));
    g_assert_true(pipe(fds) == 0);
    fflush(stdout);
    op.pid = fork();
    if (op.pid == 0) {
        dup2(fds[1], STDOUT_FILENO);
        dup2(fds[1], STDERR_FILENO);
        close(fds[0]);
        close(fds[1]);
        setvbuf(stdout, NULL, _IOLBF, 0);
        exit(find_verb(argv[0])->run(argc, argv));
    }
    close(fds[1]);
    op.out = fdopen(fds[0], "r");
    return op;
}

/*
 * Waits for the verb to end. Returns its exit status, -1 when a signal ended
 * it, and sets @out to its output.
 */
static int
finish(struct operation *op, char **out)
{
    GString *text = g_string_new(NULL);
    char buf[1024];
    size_t n;
    int status;

    while ((n = fread(buf, 1, sizeof(buf), op->out)) > 0) {
        g_string_append_len(text, buf, (gssize)n);
    }
    fclose(op->out);
    waitpid(op->pid, &status, 0);
    *out = g_string_free(text, FALSE);
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

static int
run(const char *line, char **out)
{
    struct operation op = start(line);

    return finish(&op, out);
}

/* Runs a command line, checks its exit status and a part of its output. */
static void
expect(const char *line, int status, const char *part)
{
    g_autofree char *out = NULL;
    int got = run(line, &out);

    CU_ASSERT_EQUAL(got, status);
    CU_ASSERT_PTR_NOT_NULL(strstr(out, part));
    if (got != status || strstr(out, part) == NULL) {
        fprintf(stderr, "%s: exit %d\n%s", line, got, out);
    }
}

static guint
count_lines(const char *text)
{
    guint n = 0;

    for (const char *p = text; *p != '\0'; p++) {
        n += *p == '\n';
    }
    return n;
}

static guint
count_audit_rows(const char *team)
{
    g_autofree char *line =
        g_strdup_printf("audit --team %s --platform 127.0.0.1:PORT", team);
    g_autofree char *out = NULL;

    CU_ASSERT_EQUAL(run(line, &out), 0);
    return count_lines(out);
}

/* Replaces change ids, times and ports, which differ from run to run. */
static char *
mask_output(const char *text)
{
    static const char *const masks[][2] = {
        {"[0-9a-f]{8}-[0-9a-f-]{27}", "CHANGE"},
        {"[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:]{8}Z", "TIME"},
        {"127.0.0.1:[0-9]+", "127.0.0.1:PORT"},
    };
    char *result = g_strdup(text);

    for (size_t i = 0; i < G_N_ELEMENTS(masks); i++) {
        g_autoptr(GRegex) regex = g_regex_new(masks[i][0], 0, 0, NULL);
        char *next = g_regex_replace_literal(regex, result, -1, 0, masks[i][1],
                                             0, NULL);

        g_free(result);
        result = next;
    }
    return result;
}

/*
 * Runs the commands of a golden file, the lines that begin with "$ ", and
 * compares the commands, their output and exit statuses with the whole file.
 */
static void
check_session(const char *path)
{
    g_autofree char *want = NULL;
    g_autofree char *got_path = NULL;
    g_auto(GStrv) lines = NULL;
    GString *got = g_string_new(NULL);

    g_assert_true(g_file_get_contents(path, &want, NULL, NULL));
    lines = g_strsplit(want, "\n", -1);
    for (int i = 0; lines[i] != NULL; i++) {
        g_autofree char *out = NULL;
        g_autofree char *text = NULL;
        int status;

        if (!g_str_has_prefix(lines[i], "$ ")) {
            continue;
        }
        status = run(lines[i] + 2, &out);
        text = mask_output(out);
        g_string_append_printf(got, "%s\n%sexit %d\n", lines[i], text, status);
    }
    CU_ASSERT_STRING_EQUAL(got->str, want);
    if (strcmp(got->str, want) != 0) {
        fprintf(stderr, "%s differs; got:\n%s", path, got->str);
    }
    g_string_free(got, TRUE);
}

/*
 * Guards against unintended changes in the output and the exit statuses of the
 * verbs, for valid changes and for one that is based on an old revision.
 */
static void
test_session(void)
{
    check_session("tests/golden/ctl_session.txt");
}

/*
 * Guards against error messages for invalid values and command lines that
 * lack the path or the allowed range, and against writing such a value.
 */
static void
test_refusals(void)
{
    check_session("tests/golden/ctl_refusals.txt");
}

/*
 * Guards against a change reported as unknown although it was never sent:
 * nothing listens on the platform's port, or the platform does not answer the
 * read that precedes the write. Verbs that only read must fail as well.
 */
static void
test_outage(void)
{
    g_autofree char *line = g_strdup_printf(
        "set services.s.slots 3 --team out --platform 127.0.0.1:%u",
        unused_port());

    expect(line, 1, "the change is not made");
    platform_process_fault(&process, "{\"mode\":\"silent\"}");
    expect("set services.s.slots 3 --team out --platform 127.0.0.1:PORT "
           "--request-timeout 200",
           1, "the change is not made");
    expect("show --team out --platform 127.0.0.1:PORT --request-timeout 200",
           1, "gives no answer");
    platform_process_fault(&process, "{\"mode\":\"down\"}");
    expect("audit --team out --platform 127.0.0.1:PORT", 1, "gives no answer");
    platform_process_fault(&process, "{\"mode\":\"none\"}");
}

/*
 * Guards against reporting a write without an answer as made or not made: the
 * platform drops every request that concerns the audit row, so the operator's
 * client cannot learn the outcome.
 */
static void
test_unknown(void)
{
    platform_process_fault(&process,
                           "{\"mode\":\"down\",\"prefix\":\"audit/\"}");
    expect("set services.s.slots 3 --team unknown --timeout 300 "
           "--platform 127.0.0.1:PORT",
           1, "it is unknown whether the change is made");
    platform_process_fault(&process, "{\"mode\":\"none\"}");
    CU_ASSERT_EQUAL(count_audit_rows("unknown"), 0);
}

/*
 * Guards against a change that fails or is written twice because the platform
 * answers each request 100 ms late, within the request timeout.
 */
static void
test_slow(void)
{
    platform_process_fault(&process, "{\"mode\":\"slow\",\"ms\":100}");
    expect("set services.s.slots 3 --team slow --platform 127.0.0.1:PORT", 0,
           "slow: revision 1\n");
    platform_process_fault(&process, "{\"mode\":\"none\"}");
    CU_ASSERT_EQUAL(count_audit_rows("slow"), 1);
}

/*
 * Guards against a second write, or a change wrongly reported as not made,
 * when the write takes effect and its answer is lost.
 */
static void
test_lost_answer(void)
{
    platform_process_fault(&process, "{\"mode\":\"lost-answer\",\"count\":1}");
    expect("set services.s.slots 3 --team lost --platform 127.0.0.1:PORT", 0,
           "lost: revision 1\n");
    CU_ASSERT_EQUAL(count_audit_rows("lost"), 1);
    expect("show --team lost --platform 127.0.0.1:PORT", 0, "\"slots\": 3");
}

/* Polls until the platform will delay only @remaining more requests. */
static void
wait_for_delayed_writes(int64_t remaining)
{
    gint64 deadline = g_get_monotonic_time() + LONG_TIMEOUT_MS * 1000;

    while (platform_process_stat(&process, "fault_count") != remaining) {
        g_assert_true(g_get_monotonic_time() < deadline);
    }
}

/*
 * Guards against a lost update: both operators read the same revision before
 * the delayed write of either takes effect.
 */
static void
test_race(void)
{
    struct operation a, b;
    g_autofree char *a_out = NULL;
    g_autofree char *b_out = NULL;
    int a_status, b_status;

    platform_process_fault(&process,
                           "{\"mode\":\"slow\",\"ms\":" WRITE_DELAY_MS
                           ",\"count\":2,\"prefix\":\"audit/\"}");
    a = start("set services.a.slots 3 --team race --who amina "
              "--platform 127.0.0.1:PORT --request-timeout 20000");
    wait_for_delayed_writes(1);
    b = start("set services.b.slots 3 --team race --who baraka "
              "--platform 127.0.0.1:PORT --request-timeout 20000");
    wait_for_delayed_writes(0);
    a_status = finish(&a, &a_out);
    b_status = finish(&b, &b_out);
    CU_ASSERT_EQUAL(a_status, 0);
    CU_ASSERT_EQUAL(b_status, 3);
    CU_ASSERT_STRING_EQUAL(b_out,
                           "greengageway set: lost the race: revision 1 by "
                           "amina won; the change is not made\n");
    expect("show --team race --platform 127.0.0.1:PORT", 0,
           "revision 1 by amina");
    CU_ASSERT_EQUAL(count_audit_rows("race"), 1);
}

/*
 * Guards against lost updates and missing or extra audit rows when eight
 * operators change the settings concurrently.
 */
static void
test_many_operators(void)
{
    enum {
        N = 8,
    };
    struct operation ops[N];
    g_autofree char *shown = NULL;
    guint won = 0;

    for (int i = 0; i < N; i++) {
        g_autofree char *line = g_strdup_printf(
            "set services.s%d.slots 3 --team many --request-timeout 20000 "
            "--platform 127.0.0.1:PORT",
            i);

        ops[i] = start(line);
    }
    for (int i = 0; i < N; i++) {
        g_autofree char *out = NULL;
        int status = finish(&ops[i], &out);

        CU_ASSERT_TRUE(status == 0 || status == 3);
        won += status == 0;
    }
    CU_ASSERT_TRUE(won > 0);
    CU_ASSERT_EQUAL(count_audit_rows("many"), won);
    CU_ASSERT_EQUAL(run("show --team many --platform 127.0.0.1:PORT", &shown),
                    0);
    for (guint i = 0; i < won; i++) {
        char *next = strstr(shown, "\"slots\": 3");

        CU_ASSERT_PTR_NOT_NULL(next);
        if (next != NULL) {
            memset(next, ' ', 1);
        }
    }
    CU_ASSERT_PTR_NULL(strstr(shown, "\"slots\": 3"));
}

/* Stores the status page of a gateway that has a revision of team "t". */
static void
put_page(const struct platform_process *gateway, const char *name,
         int revision, const char *members)
{
    g_autofree char *page = g_strdup_printf(
        "{\"name\":\"%s\",\"revisions\":{\"t\":%d},\"members\":%s,"
        "\"backend_servers\":[{\"name\":\"s1\",\"team\":\"t\",\"service\":"
        "\"archive\",\"failure_domain\":\"a\",\"state\":\"warm\"}]}",
        name, revision, members);

    platform_process_put_object(gateway, "-/status", page);
}

/*
 * Guards against a list that shows a gateway's view of a roll-out in place of
 * the one of the gateway that decides on it.
 */
static void
test_rollouts(void)
{
    struct platform_process g[2];
    g_autofree char *line = NULL;
    g_autofree char *out = NULL;

    for (int i = 0; i < 2; i++) {
        platform_process_start(&g[i], NULL);
    }
    for (int i = 0; i < 2; i++) {
        g_autofree char *page = g_strdup_printf(
            "{\"name\":\"g%d\",\"members\":["
            "{\"name\":\"g0\",\"failure_domain\":\"a\",\"address\":"
            "\"127.0.0.1:%u\",\"state\":\"alive\"},"
            "{\"name\":\"g1\",\"failure_domain\":\"b\",\"address\":"
            "\"127.0.0.1:%u\",\"state\":\"alive\"}],"
            "\"rollouts\":[{\"service\":\"orders\",\"target\":\"v2\","
            "\"stage\":\"trial\",\"decider\":%s,\"left_ms\":5000,"
            "\"granted\":%d,\"granted_others\":100,\"results\":4,"
            "\"failed\":1,\"slow\":0,\"reason\":\"because %d\"}]}",
            i, g[0].port, g[1].port, i == 1 ? "true" : "false", 25 * i, i);

        platform_process_put_object(&g[i], "-/status", page);
    }
    line = g_strdup_printf("rollouts --gateway 127.0.0.1:%u", g[0].port);
    CU_ASSERT_EQUAL(run(line, &out), 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(out, "because 1\n"));
    CU_ASSERT_PTR_NULL(strstr(out, "because 0\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(out, " 20.0 "));
    platform_process_stop(&g[0]);
    platform_process_stop(&g[1]);
}

/*
 * Guards against a wait that ends before every alive gateway has the revision
 * or that waits for a dead one, and against a status that omits a gateway.
 */
static void
test_gateways(void)
{
    struct platform_process g[2];
    g_autofree char *members = NULL;
    g_autofree char *line = NULL;
    g_autofree char *out = NULL;
    struct operation op;
    int64_t asked;

    platform_process_start(&g[0], NULL);
    platform_process_start(&g[1], NULL);
    members = g_strdup_printf(
        "[{\"name\":\"g0\",\"failure_domain\":\"a\",\"address\":"
        "\"127.0.0.1:%u\",\"state\":\"alive\"},"
        "{\"name\":\"g1\",\"failure_domain\":\"b\",\"address\":"
        "\"127.0.0.1:%u\",\"state\":\"alive\"},"
        "{\"name\":\"g2\",\"failure_domain\":\"b\",\"address\":"
        "\"127.0.0.1:1\",\"state\":\"dead\"}]",
        g[0].port, g[1].port);
    put_page(&g[0], "g0", 2, members);
    put_page(&g[1], "g1", 1, members);

    line = g_strdup_printf("wait 2 --team t --timeout 300 "
                           "--gateway 127.0.0.1:%u",
                           g[0].port);
    expect(line, 1, "revision 2 is not on every gateway: g1 has 1");
    g_free(line);
    line = g_strdup_printf("status --gateway 127.0.0.1:%u", g[0].port);
    CU_ASSERT_EQUAL(run(line, &out), 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(out, "t=2\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(out, "t=1\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(out, "no answer\n"));
    CU_ASSERT_PTR_NOT_NULL(strstr(out, "archive"));
    g_clear_pointer(&out, g_free);

    g_free(line);
    line = g_strdup_printf("wait 2 --team t --timeout 60000 "
                           "--gateway 127.0.0.1:%u",
                           g[0].port);
    asked = platform_process_stat(&g[1], "gets");
    op = start(line);
    while (platform_process_stat(&g[1], "gets") == asked) {
    }
    put_page(&g[1], "g1", 3, members);
    CU_ASSERT_EQUAL(finish(&op, &out), 0);
    CU_ASSERT_STRING_EQUAL(out, "t: every gateway has revision 2\n");
    CU_ASSERT_EQUAL(platform_process_stop(&g[0]), 0);
    CU_ASSERT_EQUAL(platform_process_stop(&g[1]), 0);
    g_free(line);
    line = g_strdup_printf("status --gateway 127.0.0.1:%u", g[0].port);
    expect(line, 1, "gives no answer");
}

/*
 * Guards against differences that are missed or reported at the wrong path:
 * changed, added and removed values, and an empty object.
 */
static void
test_compare(void)
{
    json_t *a = json_loads("{\"x\":{\"y\":1,\"z\":[1]},\"e\":{}}", 0, NULL);
    json_t *b = json_loads("{\"x\":{\"y\":2},\"n\":{\"m\":true}}", 0, NULL);
    GArray *d = ggw_json_diff(a, b);
    static const char *const want[] = {"e", "n.m", "x.y", "x.z"};

    CU_ASSERT_EQUAL_FATAL(d->len, 4);
    for (guint i = 0; i < d->len; i++) {
        CU_ASSERT_STRING_EQUAL(g_array_index(d, struct ggw_difference, i).path,
                               want[i]);
    }
    g_array_unref(d);
    json_decref(a);
    json_decref(b);
}

/* Settings with the given keys of one customer. */
static json_t *
settings_with_keys(const char *keys)
{
    g_autofree char *text =
        g_strdup_printf("{\"customers\":{\"c\":{\"keys\":%s}}}", keys);
    json_t *tree = json_loads(text, 0, NULL);

    g_assert_nonnull(tree);
    return tree;
}

/*
 * Guards against a key in the output of a verb, against settings that lose
 * their keys when what was printed is edited and applied, and against a hidden
 * key that is applied as a key.
 */
static void
test_hidden_keys(void)
{
    json_t *current = settings_with_keys("[\"secret-1\",\"secret-2\"]");
    json_t *shown = ggw_ctl_hide_keys(current);
    json_t *again = ggw_ctl_hide_keys(shown);
    json_t *other =
        settings_with_keys("[\"hidden 0123456789abcdef\",\"new\"]");
    static const struct ggw_ctl_usage usage = {.verb = "apply"};
    struct ggw_ctl_args args = {.usage = &usage, .team = "t"};
    char *text = json_dumps(shown, 0);
    json_t *keys;

    CU_ASSERT_PTR_NULL(strstr(text, "secret"));
    CU_ASSERT_TRUE(json_equal(shown, again));
    CU_ASSERT_TRUE(ggw_ctl_has_hidden_keys(shown));
    CU_ASSERT_FALSE(ggw_ctl_has_hidden_keys(current));
    ggw_ctl_restore_keys(shown, current);
    CU_ASSERT_TRUE(json_equal(shown, current));
    ggw_ctl_restore_keys(other, current);
    CU_ASSERT_FALSE(ggw_ctl_check_settings(&args, 1, other));
    keys = json_object_get(
        json_object_get(json_object_get(other, "customers"), "c"), "keys");
    CU_ASSERT_STRING_EQUAL(json_string_value(json_array_get(keys, 1)), "new");
    free(text);
    json_decref(current);
    json_decref(shown);
    json_decref(again);
    json_decref(other);
}

/*
 * Guards against keys of customers in what the verbs print and write to the
 * audit, and against "apply" that replaces them by their hidden form.
 */
static void
test_verbs_hide_keys(void)
{
    static const char *const reads[] = {
        "show --team keys --platform 127.0.0.1:PORT",
        "audit --team keys --platform 127.0.0.1:PORT",
    };
    g_autofree char *shown = NULL;
    g_autofree char *path = g_strdup_printf("/tmp/ggw-keys-%d.json", getpid());
    g_autofree char *diff =
        g_strdup_printf("diff --team keys --platform 127.0.0.1:PORT %s", path);
    g_autofree char *apply = g_strdup_printf(
        "apply --team keys --platform 127.0.0.1:PORT --who ops %s", path);
    const char *json;

    {
        g_autofree char *out = NULL;

        CU_ASSERT_EQUAL(
            run("set --team keys --platform 127.0.0.1:PORT --who ops "
                "customers.c.keys '[\"secret-1\"]'",
                &out),
            0);
        CU_ASSERT_PTR_NOT_NULL(strstr(out, "revision 1"));
        CU_ASSERT_PTR_NOT_NULL(strstr(out, "customers.c.keys"));
        CU_ASSERT_PTR_NULL(strstr(out, "secret"));
    }
    for (size_t i = 0; i < G_N_ELEMENTS(reads); i++) {
        g_autofree char *out = NULL;

        CU_ASSERT_EQUAL(run(reads[i], &out), 0);
        CU_ASSERT_PTR_NULL(strstr(out, "secret"));
    }
    CU_ASSERT_EQUAL(run(reads[0], &shown), 0);
    json = strchr(shown, '{');
    g_assert_nonnull(json);
    CU_ASSERT_TRUE(g_file_set_contents(path, json, -1, NULL));
    expect(diff, 0, "");
    expect(apply, 0, "nothing to change");
    CU_ASSERT_TRUE(g_file_set_contents(
        path, "{\"customers\":{\"c\":{\"keys\":[\"secret-2\"]}}}", -1, NULL));
    {
        g_autofree char *out = NULL;

        CU_ASSERT_EQUAL(run(diff, &out), 0);
        CU_ASSERT_PTR_NOT_NULL(strstr(out, "customers.c.keys"));
        CU_ASSERT_PTR_NULL(strstr(out, "secret"));
    }
    {
        g_autofree char *out = NULL;

        CU_ASSERT_EQUAL(run(apply, &out), 0);
        CU_ASSERT_PTR_NOT_NULL(strstr(out, "customers.c.keys"));
        CU_ASSERT_PTR_NULL(strstr(out, "secret"));
    }
    unlink(path);
}

/*
 * Guards against a reference in docs/settings.md that differs from the schema
 * by which a gateway checks settings.
 */
static void
test_reference(void)
{
    g_autofree char *out = NULL;
    g_autofree char *page = NULL;

    CU_ASSERT_EQUAL(run("settings", &out), 0);
    g_assert_true(g_file_get_contents("docs/settings.md", &page, NULL, NULL));
    CU_ASSERT_STRING_EQUAL(out, page);
}

/* Runs a transaction that must succeed. */
static void
write_rows(struct ggw_txn *txn)
{
    struct ggw_blocking_request r = {"127.0.0.1", process.port, &txn->base,
                                     NULL};

    g_assert_true(ggw_blocking_run(&r, 1, NULL));
    CU_ASSERT_EQUAL(((struct ggw_txn_result *)r.result)->status,
                    GGW_PLATFORM_OK);
    ggw_blocking_clear(&r, 1);
}

/* Removes the row with the settings of a team from the store. */
static void
delete_settings(const char *team)
{
    g_autofree char *key = g_strconcat("config/", team, NULL);
    struct ggw_txn *txn = ggw_txn_new(LONG_TIMEOUT_MS);

    ggw_txn_put(txn, key, NULL);
    write_rows(txn);
}

/* Writes the audit rows of the revisions 1 to @last. */
static void
put_audit_rows(const char *team, int last)
{
    for (int i = 1; i <= last; i++) {
        g_autofree char *key = g_strdup_printf("audit/%s/%010d", team, i);
        struct ggw_txn *txn = ggw_txn_new(LONG_TIMEOUT_MS);

        ggw_txn_put(txn, key, "{}");
        write_rows(txn);
    }
}

/* Guards against a wrong revision after the last of any number of rows. */
static void
test_last_revision(void)
{
    static const int rows[] = {1, 2, 3, 64, 101, 255};

    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        g_autofree char *team = g_strdup_printf("rows-%d", rows[i]);
        g_autofree char *line =
            g_strdup_printf("set services.a.slots 2 --team %s "
                            "--platform 127.0.0.1:PORT",
                            team);
        g_autofree char *revision =
            g_strdup_printf("revision %d\n", rows[i] + 1);

        put_audit_rows(team, rows[i]);
        expect(line, 0, revision);
    }
}

/*
 * Guards against changes that are refused for good once the settings row was
 * deleted, and against a revision that gateways refuse as older.
 */
static void
test_deleted(void)
{
    for (int i = 1; i <= 5; i++) {
        g_autofree char *line =
            g_strdup_printf("set services.a.slots %d --team deleted "
                            "--platform 127.0.0.1:PORT",
                            i + 1);
        g_autofree char *revision = g_strdup_printf("revision %d\n", i);

        expect(line, 0, revision);
    }
    for (int i = 6; i <= 7; i++) {
        g_autofree char *revision = g_strdup_printf("revision %d\n", i);

        delete_settings("deleted");
        expect("set services.a.slots 9 --team deleted "
               "--platform 127.0.0.1:PORT",
               0, revision);
    }
    CU_ASSERT_EQUAL(count_audit_rows("deleted"), 7);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    g_unsetenv("GREENGAGEWAY_TEAM");
    g_unsetenv("GREENGAGEWAY_PLATFORM");
    g_unsetenv("GREENGAGEWAY_GATEWAY");
    g_setenv("GREENGAGEWAY_WHO", "nour", TRUE);
    platform_process_start(&process, NULL);
    CU_initialize_registry();
    suite = CU_add_suite("ctl", NULL, NULL);
    CU_add_test(suite, "session", test_session);
    CU_add_test(suite, "refusals", test_refusals);
    CU_add_test(suite, "outage", test_outage);
    CU_add_test(suite, "unknown", test_unknown);
    CU_add_test(suite, "slow", test_slow);
    CU_add_test(suite, "lost answer", test_lost_answer);
    CU_add_test(suite, "race", test_race);
    CU_add_test(suite, "many operators", test_many_operators);
    CU_add_test(suite, "gateways", test_gateways);
    CU_add_test(suite, "rollouts", test_rollouts);
    CU_add_test(suite, "compare", test_compare);
    CU_add_test(suite, "hidden keys", test_hidden_keys);
    CU_add_test(suite, "verbs hide keys", test_verbs_hide_keys);
    CU_add_test(suite, "reference", test_reference);
    CU_add_test(suite, "deleted", test_deleted);
    CU_add_test(suite, "last revision", test_last_revision);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    failures += platform_process_stop(&process) != 0;
    return failures != 0;
}
