/*
 * A version of the configuration removes a route. Its client goes on asking
 * for it, and for routes that never existed. Looks for successes that no
 * backend server has signed.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig-2/server.h"

/* ConfigApplyMs of vmtc-gate-grown, and a margin. */
#define APPLY_MS 2500.0
#define MARGIN_MS 1500.0

#define DEADLINE_MS 2500.0

static struct server server = {
    .index = 0, .service = "orders", .zone = "cairo-a", .slots = 2,
    .work_ms = 20};

static const char config_format[] =
    "{\"Version\":\"%08x\",\"Limits\":{\"MaxHeaderBytes\":16384,"
    "\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,"
    "\"IdleTimeoutMs\":15000},\"Listeners\":[{\"Host\":\"shop.example\","
    "\"Rules\":[%s{\"Name\":\"r-1\",\"RouteType\":\"idempotent\","
    "\"TargetLatencyMs\":400,\"Priority\":2,\"Match\":{\"Prefix\":"
    "\"/orders/\"},\"Action\":{\"Service\":\"orders\",\"TimeoutMs\":1250,"
    "\"MaxAttempts\":2}}]}],\"Clusters\":[{\"Name\":\"orders\","
    "\"HealthPath\":\"/health\",\"MaxConns\":220,\"ColdStartS\":3,"
    "\"ColdPerS\":3.4}],\"Tenants\":[{\"Name\":\"first-millers\","
    "\"ApiKeys\":[\"key-of-first\"],\"RatePerS\":37,\"Burst\":11},"
    "{\"Name\":\"second-bakers\",\"ApiKeys\":[\"key-of-second\"],"
    "\"RatePerS\":50,\"Burst\":20}]}";

static const char dash_route[] =
    "{\"Name\":\"r-0\",\"RouteType\":\"idempotent\",\"TargetLatencyMs\":400,"
    "\"Priority\":2,\"Match\":{\"Prefix\":\"/-/\"},\"Action\":{\"Service\":"
    "\"orders\",\"TimeoutMs\":1250,\"MaxAttempts\":2}},";

static int unsigned_successes, foreign;

static void
put_config(int version, bool with_route)
{
    char text[4096];

    snprintf(text, sizeof(text), config_format, version,
             with_route ? dash_route : "");
    rig_put("op", "config", text);
    rig_record("version %d is acknowledged, route /-/ is %s", version,
               with_route ? "there" : "not there");
}

/* Sends a request and judges its answer by MIXED. */
static void
ask(const char *path, const char *key)
{
    struct rig_answer a = {0};
    char host[64], id[32], text[512], signature[128], own[128];
    bool is_signed, names_other;
    int fd;

    rig_gateway_host(0, host);
    rig_new_id(id, sizeof(id));
    fd = rig_connect(host, RIG_FRONT, 1000);
    if (fd < 0) {
        rig_fail("no connection to the gateway");
    }
    snprintf(text, sizeof(text),
             "GET %s HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: %s\r\n"
             "Request-Deadline: %.0f\r\nApi-Key: %s\r\n\r\n",
             path, id, DEADLINE_MS, key);
    rig_write(fd, text, strlen(text));
    rig_read_answer(fd, &a, rig_now() + DEADLINE_MS);
    close(fd);
    server_signature(id, a.body != NULL ? a.body : "", a.len, own,
                     sizeof(own));
    is_signed = rig_header(a.head, "response-signature", signature,
                           sizeof(signature)) &&
                strcmp(signature, own) == 0;
    names_other = a.body != NULL && strstr(a.body, "first-millers") != NULL &&
                  strcmp(key, "key-of-first") != 0;
    rig_record("GET %s with %s: %d, %zu bytes, %s", path, key, a.status, a.len,
               is_signed ? "signed by a server" : "not signed");
    if (a.status / 100 == 2 && !is_signed) {
        unsigned_successes++;
        rig_record("  a success that no server has given: %.900s",
                   a.body != NULL ? a.body : "");
    }
    if (names_other) {
        foreign++;
        rig_record("  the answer tells of another tenant");
    }
    free(a.body);
}

static void
ask_all(void)
{
    static const char *const paths[] = {"/-/status", "/-/metrics", "/-/entry",
                                        "/-/health", "/-/ready"};

    for (int i = 0; i < 10; i++) {
        ask("/orders/100", "key-of-first");
    }
    for (size_t i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
        ask(paths[i], "key-of-second");
    }
}

int
main(int argc, char **argv)
{
    bool broken;

    rig.has_tenants = true;
    rig_start(argc > 1 ? argv[1] : ".");
    put_config(7, true);
    server_start(&server);
    rig_start_gateway(0, 1, "cairo-a");
    rig_await_ready(0);
    rig_sleep(3500);
    ask_all();
    if (unsigned_successes > 0) {
        rig_fail("the route is not in force at the start");
    }
    put_config(9, !rig.trouble);
    rig_sleep(APPLY_MS + MARGIN_MS);
    ask_all();
    broken = unsigned_successes > 0;
    rig_record("successes without a server's signature: %d; answers that tell "
               "of another tenant: %d",
               unsigned_successes, foreign);
    printf("unsigned successes %d, foreign %d: rule %s\n", unsigned_successes,
           foreign, broken ? "broken" : "held");
    fflush(stdout);
    rig_end(broken ? 1 : 0);
}
