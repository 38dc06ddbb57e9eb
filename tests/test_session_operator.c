#include <string.h>

#include "tests/session.h"
#include "tests/suite.h"

static const char slots_path[] = "services.strand-status.slots";

/*
 * Guards against unintended changes in the output, exit status and revision
 * of a refused change, of an accepted one, and of taking a failure domain out
 * of service and putting it back.
 */
static void
test_changes(void)
{
    struct system *s = system_new(&system_cairo, 1);
    struct session *t = session_new("operator", s);
    const char *gateway = s->gateways[0].address;

    session_note(t, "values and settings that are refused");
    session_verb(t, (const char *[]){"set", slots_path, "0", NULL});
    session_verb(
        t, (const char *[]){"set", "services.strand-status.slotz", "2", NULL});
    session_note(t, "a change");
    session_verb(t, (const char *[]){"set", slots_path, "3", "--wait",
                                     "--gateway", gateway, NULL});
    session_note(t, "a failure domain out and in");
    session_verb(t, (const char *[]){"domain-out", "cairo-b", "--wait",
                                     "--gateway", gateway, NULL});
    session_verb(t, (const char *[]){"domain-in", "cairo-b", "--wait",
                                     "--gateway", gateway, NULL});
    CU_ASSERT(session_end(t));
    CU_ASSERT(system_free(s));
}

static bool
write_is_held(void *data)
{
    const struct system *s = data;

    return platform_process_stat(&s->platform, "fault_count") == 0;
}

/*
 * Guards against a change that overwrites another operator's: the first
 * operator has read revision 1 and its write is held, and the second operator
 * changes the same setting before that write takes effect.
 */
static void
test_lost_race(void)
{
    struct system *s = system_new(&system_cairo, 0);
    struct session *t = session_new("lost_race", s);
    const char *first[] = {"set",   slots_path, "3", "--request-timeout",
                           "60000", NULL};
    struct system_process verb;
    int64_t writes = platform_process_stat(&s->platform, "txns");

    session_note(t, "the second command starts after the first has read");
    system_platform_fault(s, "{\"mode\":\"held-write\",\"count\":1,"
                             "\"prefix\":\"config/nile-strand\"}");
    system_verb_start(s, &verb, first);
    CU_ASSERT(client_await(write_is_held, s, 10000));
    session_verb(t, (const char *[]){"set", slots_path, "4", NULL});
    system_platform_fault(s, "{\"mode\":\"none\"}");
    CU_ASSERT_EQUAL(platform_process_stat(&s->platform, "txns"), writes + 2);
    session_verb_finish(t, &verb, first);
    CU_ASSERT(session_end(t));
    CU_ASSERT(system_free(s));
}

/* Number of requests after which each server has been asked at least once. */
#define REQUESTS 24

/*
 * Guards against an operator who cannot see why a server gets no requests: it
 * has asked for a pause.
 */
static void
test_pausing_server_shown(void)
{
    struct system *s = system_new(&system_cairo, 2);
    const char *const args[] = {"status", "--gateway", s->gateways[0].address,
                                NULL};
    g_autofree char *before = NULL, *after = NULL;

    CU_ASSERT_EQUAL(system_verb(s, &before, args), 0);
    CU_ASSERT_PTR_NULL(strstr(before, "pausing"));
    system_set_backend(s, "strand-status",
                       "{\"server\":\"*\",\"retry_after\":40}");
    for (int i = 0; i < REQUESTS; i++) {
        reply_free(client_request(s->gateways[1].address, "GET",
                                  "/nile-strand/strand-status/status/1", NULL,
                                  NULL));
    }
    CU_ASSERT_EQUAL(system_verb(s, &after, args), 0);
    CU_ASSERT_PTR_NOT_NULL(strstr(after, "pausing, "));
    CU_ASSERT_PTR_NOT_NULL(strstr(after, " ms left\n"));
    CU_ASSERT(system_free(s));
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"changes", test_changes},
        {"lost race", test_lost_race},
        {"pausing server shown", test_pausing_server_shown},
        CU_TEST_INFO_NULL,
    };

    return suite_run("sessions of operators", tests);
}
