#include <signal.h>

#include "tests/suite.h"
#include "tests/system.h"

#define PROGRESS_LIMIT_MS 60000

/* Longer than the 700 ms after which a peer is suspected and the 2 s after
 * which it is dead. */
#define PAUSE_MS 3000

static const char *const lookups[] = {
    "--kind",
    "status,1,GET,/nile-strand/strand-status/status/{id}?id={id}",
    "--rate",
    "300",
    "--timeout-ms",
    "2000",
    NULL,
};

static struct system_load *load;
static double wanted;

static bool
has_served(void *data)
{
    return system_load_served(load, "status") >= wanted;
}

static bool
await_more(double more)
{
    wanted = system_load_served(load, "status") + more;
    return client_await(has_served, NULL, PROGRESS_LIMIT_MS);
}

/* R2. Guards against gateways that each give a new server its cold limit. */
static void
test_cold_from_start(void)
{
    static const char *const flags[] = {"--cold-ms", "20000", NULL};
    struct system_options options = system_cairo;
    struct system *s;

    options.backend_flags = flags;
    options.cold_ms = 20000;
    s = system_new(&options, SYSTEM_GATEWAYS);
    load = system_load_start(s, lookups);
    CU_ASSERT(await_more(300));
    printf("    cold_start_max %.0f requests\n",
           system_count_max(s, "max_cold", "strand-status", NULL));
    CU_ASSERT(system_count_max(s, "max_cold", "strand-status", NULL) <= 1);
    CU_ASSERT_EQUAL(system_load_finish(load), 0);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

/* R2. Guards against a server that turns cold without warning and keeps
 * getting the work of a warm one after it has said so. */
static void
test_cold_without_warning(void)
{
    struct system *s = system_new(&system_cairo, SYSTEM_GATEWAYS);

    load = system_load_start(s, lookups);
    CU_ASSERT(await_more(200));
    system_set_backend(s, "strand-status",
                       "{\"server\":\"strand-status-0\",\"cold\":4000}");
    CU_ASSERT(await_more(600));
    printf("    cold_sudden_max %.0f requests, after its report %.0f\n",
           system_count_max(s, "max_cold", "strand-status", NULL),
           system_count_max(s, "max_cold_told", "strand-status", NULL));
    CU_ASSERT(system_count_max(s, "max_cold_told", "strand-status", NULL) <=
              1);
    CU_ASSERT_EQUAL(system_load_finish(load), 0);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

static double resume_at;

static bool
pause_over(void *data)
{
    return system_wall_ms() >= resume_at;
}

/*
 * R2 and 5.1. Guards against a cold server over its limit, and a warm one over
 * the limit times the owners, when owners are paused and go on with old
 * knowledge.
 */
static void
test_owner_paused(void)
{
    static const char *const flags[] = {"--cold-ms", "60000", NULL};
    struct system_options options = system_cairo;
    struct system *s;
    double before;

    options.backend_flags = flags;
    options.cold_ms = 60000;
    s = system_new(&options, SYSTEM_GATEWAYS);
    load = system_load_start(s, lookups);
    CU_ASSERT(await_more(100));
    for (int i = 0; i < 3; i++) {
        system_signal_gateway(s, i, SIGSTOP);
        before = system_load_served(load, "status");
        resume_at = system_wall_ms() + PAUSE_MS;
        CU_ASSERT(client_await(pause_over, NULL, PAUSE_MS + 1000));
        printf("    served_while_paused %.0f requests\n",
               system_load_served(load, "status") - before);
        CU_ASSERT(system_load_served(load, "status") > before);
        system_signal_gateway(s, i, SIGCONT);
        CU_ASSERT(await_more(100));
    }
    printf("    owner_paused_max_cold %.0f requests\n",
           system_count_max(s, "max_cold", "strand-status", NULL));
    CU_ASSERT(system_count_max(s, "max_cold", "strand-status", NULL) <= 1);
    CU_ASSERT_EQUAL(system_load_finish(load), 0);
    CU_ASSERT_EQUAL(system_load_figure(load, "status_wrong"), 0);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"cold from the start", test_cold_from_start},
        {"cold without warning", test_cold_without_warning},
        {"owner paused and resumed", test_owner_paused},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proof of cold servers", tests);
}
