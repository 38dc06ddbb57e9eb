#include <signal.h>

#include "tests/suite.h"
#include "tests/system.h"

/* Longest time in ms for the responses of one phase of a test, long enough for
 * a sanitizer build. */
#define PROGRESS_LIMIT_MS 60000

/* Pause of a gateway in ms: longer than the 700 ms after which its peers
 * suspect it and the 2 s after which they declare it dead. */
#define PAUSE_MS 3000

/* Time in ms in which a server returns from a pause of 1.5 s. */
#define RETURN_MS 4000

static const char *const return_load[] = {
    "--kind",
    "status,1,GET,/nile-strand/strand-status/status/{id}?id={id}",
    "--rate",
    "150",
    "--timeout-ms",
    "2000",
    NULL,
};

static const char *const lookup_load[] = {
    "--kind",
    "status,1,GET,/nile-strand/strand-status/status/{id}?id={id}",
    "--rate",
    "300",
    "--timeout-ms",
    "2000",
    NULL,
};

static struct system_load *load;

/* Number of served requests that has_served() waits for. */
static double served_target;

static bool
has_served(void *data)
{
    return system_load_served(load, "status") >= served_target;
}

static bool
await_more_served(double more)
{
    served_target = system_load_served(load, "status") + more;
    return client_await(has_served, NULL, PROGRESS_LIMIT_MS);
}

/* Requirement R2. Guards against gateways that each grant a new server its
 * full cold limit, so that their sum exceeds it. */
static void
test_cold_from_start(void)
{
    static const char *const flags[] = {"--cold-ms", "20000", NULL};
    struct system_options options = system_cairo;
    struct system *s;

    options.backend_flags = flags;
    options.cold_ms = 20000;
    s = system_new(&options, SYSTEM_GATEWAYS);
    load = system_load_start(s, lookup_load);
    CU_ASSERT(await_more_served(300));
    printf("    cold_start_max %.0f requests\n",
           system_count_max(s, "max_cold", "strand-status", NULL));
    CU_ASSERT(system_count_max(s, "max_cold", "strand-status", NULL) <= 1);
    CU_ASSERT_EQUAL(system_load_finish(load), 0);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

/* Requirement R2. Guards against a server that becomes cold without notice and
 * is sent as many requests as a warm one after it has reported this. */
static void
test_cold_without_warning(void)
{
    struct system *s = system_new(&system_cairo, SYSTEM_GATEWAYS);

    load = system_load_start(s, lookup_load);
    CU_ASSERT(await_more_served(200));
    system_set_backend(s, "strand-status",
                       "{\"server\":\"strand-status-0\",\"cold\":4000}");
    CU_ASSERT(await_more_served(600));
    printf("    cold_sudden_max %.0f requests, after its report %.0f\n",
           system_count_max(s, "max_cold", "strand-status", NULL),
           system_count_max(s, "max_cold_told", "strand-status", NULL));
    CU_ASSERT(system_count_max(s, "max_cold_told", "strand-status", NULL) <=
              1);
    CU_ASSERT_EQUAL(system_load_finish(load), 0);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

static double resume_time;

static bool
resume_time_reached(void *data)
{
    return system_wall_ms() >= resume_time;
}

/*
 * Requirement R2, design 5.1. Guards against more requests at a cold server
 * than its limit, and at a warm one than its limit times the number of owners.
 * This comes about when an owner is paused, another gateway takes over, and
 * the first one resumes with outdated state.
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
    load = system_load_start(s, lookup_load);
    CU_ASSERT(await_more_served(100));
    for (int i = 0; i < 3; i++) {
        system_signal_gateway(s, i, SIGSTOP);
        before = system_load_served(load, "status");
        resume_time = system_wall_ms() + PAUSE_MS;
        CU_ASSERT(client_await(resume_time_reached, NULL, PAUSE_MS + 1000));
        printf("    served_while_paused %.0f requests\n",
               system_load_served(load, "status") - before);
        CU_ASSERT(system_load_served(load, "status") > before);
        system_signal_gateway(s, i, SIGCONT);
        CU_ASSERT(await_more_served(100));
    }
    printf("    owner_paused_max_cold %.0f requests\n",
           system_count_max(s, "max_cold", "strand-status", NULL));
    CU_ASSERT(system_count_max(s, "max_cold", "strand-status", NULL) <= 1);
    CU_ASSERT_EQUAL(system_load_finish(load), 0);
    CU_ASSERT_EQUAL(system_load_figure(load, "status_wrong"), 0);
    system_load_free(load);
    CU_ASSERT(system_free(s));
}

/* Number of servers, from the first on, that ask for a pause. */
static int pausing;

static bool
have_all_shed(void *data)
{
    for (int i = 0; i < pausing; i++) {
        g_autofree char *name = g_strdup_printf("strand-status-%d", i);

        if (system_server_count(data, name, "shed") == 0) {
            return false;
        }
    }
    return true;
}

static void
set_pauses(struct system *s, double seconds)
{
    for (int i = 0; i < pausing; i++) {
        g_autofree char *json =
            g_strdup_printf("{\"server\":\"strand-status-%d\","
                            "\"reset\":true,\"retry_after\":%.1f}",
                            i, seconds);

        system_set_backend(s, "strand-status", json);
    }
}

/* Waits until all pausing servers have asked for it, and then no longer do. */
static void
pause_servers(struct system *s)
{
    set_pauses(s, 1.5);
    CU_ASSERT(client_await(have_all_shed, s, PROGRESS_LIMIT_MS));
    resume_time = system_wall_ms() + 300;
    CU_ASSERT(client_await(resume_time_reached, NULL, 2000));
    set_pauses(s, 0);
}

/*
 * Guards against more requests of all gateways together at a server whose
 * pause has ended than its cold limit, before it has answered one: where one
 * server returns, and where all servers of the service return at once.
 */
static void
test_return_after_pause(void)
{
    static const char *const flags[] = {"--service", "const", "--service-ms",
                                        "50", NULL};
    static const int counts[] = {1, 6};
    struct system_options options = system_cairo;
    struct system *s;

    options.backend_flags = flags;
    s = system_new(&options, SYSTEM_GATEWAYS);
    load = system_load_start(s, return_load);
    CU_ASSERT(await_more_served(200));
    for (guint i = 0; i < G_N_ELEMENTS(counts); i++) {
        pausing = counts[i];
        pause_servers(s);
        resume_time = system_wall_ms() + RETURN_MS;
        CU_ASSERT(client_await(resume_time_reached, NULL, RETURN_MS + 1000));
        printf("    return_max %.0f requests\n",
               system_count_max(s, "max_return", "strand-status", NULL));
        CU_ASSERT_EQUAL(
            system_count_max(s, "max_return", "strand-status", NULL), 1);
    }
    CU_ASSERT_EQUAL(system_load_finish(load), 0);
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
        {"return after a pause", test_return_after_pause},
        CU_TEST_INFO_NULL,
    };

    return suite_run("proof of cold servers", tests);
}
