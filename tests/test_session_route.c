#include "tests/session.h"
#include "tests/suite.h"

static const char route[] =
    "{\"host\":\"web.example\",\"path_prefix\":\"/s/\","
    "\"services\":{\"strand-status\":3,\"archive\":1}}";

/*
 * Guards against an operator who cannot see where a request goes: by team and
 * service, by a route, with a failure domain and a server out of service, and
 * without a route that matches. The age of the route must not change with
 * other settings. Compares the output with a golden file.
 */
static void
test_where_requests_go(void)
{
    struct system *s = system_new(&system_cairo, 2);
    struct session *t = session_new("route", s);
    const char *gateway = s->gateways[1].address;
    const char *const web[] = {"route",     "GET",   "web.example/s/1?q=1",
                               "--gateway", gateway, NULL};

    session_note(t, "a request to a team's service");
    session_verb(t, (const char *[]){"route", "GET",
                                     "/nile-strand/strand-status/status/7",
                                     "--gateway", gateway, NULL});
    session_note(t, "a new route");
    session_verb(t, (const char *[]){"set", "routes.web", route, "--wait",
                                     "--gateway", gateway, NULL});
    session_verb(t, web);
    session_note(t, "a failure domain and a server out of service");
    session_verb(t, (const char *[]){"domain-out", "cairo-b", "--wait",
                                     "--gateway", gateway, NULL});
    session_verb(t, (const char *[]){"drain", "strand-status-0", "--wait",
                                     "--gateway", gateway, NULL});
    session_verb(t, web);
    session_note(t, "nothing that matches");
    session_verb(t, (const char *[]){"route", "GET", "nowhere.example/s/1",
                                     "--gateway", gateway, NULL});
    session_verb(t, (const char *[]){"route", "GET", "web.example",
                                     "--gateway", gateway, NULL});
    CU_ASSERT(session_end(t));
    CU_ASSERT(system_free(s));
}

int
main(void)
{
    CU_TestInfo tests[] = {
        {"where requests go", test_where_requests_go},
        CU_TEST_INFO_NULL,
    };

    return suite_run("sessions about routes", tests);
}
