/*
 * A version of the configuration takes a key away and adds a tenant. Counts
 * the requests that are handled as only the version before allows, later than
 * ConfigApplyMs after its ack.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig-2/server.h"

/* ConfigApplyMs of vmtc-gate-grown. */
#define APPLY_MS 2500.0

#define DEADLINE_MS 3000.0
#define ROUNDS 20
#define PAUSE_MS 150.0

/* The name of the tenant that version 9 adds. */
#define NEW_TENANT "Nausori Tolls"
#define NEW_TENANT_WITHOUT_TROUBLE "Nausori-Tolls"

static struct server servers[] = {
    {.index = 0, .service = "charging", .zone = "cairo-a", .slots = 2,
     .work_ms = 20},
    {.index = 1, .service = "charging", .zone = "cairo-b", .slots = 2,
     .work_ms = 20},
};

static const char config_format[] =
    "{\"Version\":\"%08x\",\"Limits\":{\"MaxHeaderBytes\":16384,"
    "\"MaxBodyBytes\":67108864,\"HeaderTimeoutMs\":3000,"
    "\"IdleTimeoutMs\":15000},\"Listeners\":[{\"Host\":\"tolls.example\","
    "\"Rules\":[%s{\"Name\":\"r-1\",\"RouteType\":\"non_idempotent\","
    "\"TargetLatencyMs\":400,\"Priority\":1,\"Match\":{\"Prefix\":"
    "\"/debits/\"},\"Action\":{\"Service\":\"charging\",\"TimeoutMs\":1500,"
    "\"MaxAttempts\":2}}]}],\"Clusters\":[{\"Name\":\"charging\","
    "\"HealthPath\":\"/health\",\"MaxConns\":220,\"ColdStartS\":3,"
    "\"ColdPerS\":3.4}],\"Tenants\":[{\"Name\":\"suva\",\"ApiKeys\":"
    "[\"key-of-suva\"]},{\"Name\":\"lautoka\",\"ApiKeys\":[%s]}%s]}";

static const char new_route[] =
    "{\"Name\":\"r-2\",\"RouteType\":\"idempotent\",\"TargetLatencyMs\":400,"
    "\"Priority\":2,\"Match\":{\"Prefix\":\"/tags/\"},\"Action\":{"
    "\"Service\":\"charging\",\"TimeoutMs\":1500,\"MaxAttempts\":2}},";

static int stale, sent;

static void
put_config(int version)
{
    bool later = version > 7;
    char text[4096], tenant[256];

    snprintf(tenant, sizeof(tenant),
             ",{\"Name\":\"%s\",\"ApiKeys\":[\"key-of-nausori\"]}",
             rig.trouble ? NEW_TENANT : NEW_TENANT_WITHOUT_TROUBLE);
    snprintf(text, sizeof(text), config_format, version,
             later ? new_route : "", later ? "" : "\"key-of-lautoka\"",
             later ? tenant : "");
    rig_put("op", "config", text);
    rig_record("version %d is acknowledged: %s", version,
               later ? "key-of-lautoka is taken away, a tenant with "
                       "key-of-nausori and the route /tags/ are added"
                     : "key-of-suva and key-of-lautoka, route /debits/");
}

/* Sends a request; returns the status. */
static int
ask(int gateway, const char *path, const char *key)
{
    struct rig_answer a = {0};
    char host[64], id[32], text[512];
    int before = servers[0].ran + servers[1].ran;
    int fd, status;

    rig_gateway_host(gateway, host);
    rig_new_id(id, sizeof(id));
    fd = rig_connect(host, RIG_FRONT, 1000);
    if (fd < 0) {
        rig_fail("no connection to gateway %d", gateway);
    }
    snprintf(text, sizeof(text),
             "POST %s HTTP/1.1\r\nHost: tolls.example\r\nAttempt-Id: %s\r\n"
             "Request-Deadline: %.0f\r\nApi-Key: %s\r\n"
             "Content-Length: 5\r\n\r\nhello",
             path, id, DEADLINE_MS, key);
    rig_write(fd, text, strlen(text));
    rig_read_answer(fd, &a, rig_now() + DEADLINE_MS);
    close(fd);
    status = a.status;
    rig_record("POST %s with %s at gateway %d: %d, %s", path, key, gateway,
               status,
               servers[0].ran + servers[1].ran > before ? "has run"
                                                        : "has not run");
    free(a.body);
    return status;
}

/* Judges a request by CONFIG: the version before is not in force any more. */
static void
judge(int gateway, const char *path, const char *key, int older)
{
    int status = ask(gateway, path, key);

    sent++;
    if (status == older) {
        stale++;
        rig_record("  only version 7 allows this");
    }
}

int
main(int argc, char **argv)
{
    double acked_at;
    bool broken;

    rig.has_tenants = true;
    rig_start(argc > 1 ? argv[1] : ".");
    put_config(7);
    for (size_t i = 0; i < sizeof(servers) / sizeof(servers[0]); i++) {
        server_start(&servers[i]);
    }
    for (int i = 0; i < 2; i++) {
        rig_start_gateway(i, 2, i == 0 ? "cairo-a" : "cairo-b");
    }
    for (int i = 0; i < 2; i++) {
        rig_await_ready(i);
    }
    rig_sleep(3500);
    for (int i = 0; i < 2; i++) {
        if (ask(i, "/debits/100", "key-of-lautoka") != 200 ||
            ask(i, "/debits/100", "key-of-suva") != 200) {
            rig_fail("version 7 is not in force at the start");
        }
    }
    put_config(9);
    acked_at = rig_now();
    rig_sleep(APPLY_MS + 500 - (rig_now() - acked_at));
    for (int i = 0; i < ROUNDS; i++) {
        judge(i % 2, "/debits/100", "key-of-lautoka", 200);
        judge(i % 2, "/debits/100", "key-of-nausori", 401);
        judge(i % 2, "/tags/100", "key-of-suva", 404);
        rig_sleep(PAUSE_MS);
    }
    broken = stale > 0;
    rig_record("of %d requests sent over %.0f ms after the ack of version 9, "
               "%d were handled as only version 7 allows",
               sent, APPLY_MS, stale);
    printf("%d of %d requests handled as only the version before allows: rule "
           "%s\n",
           stale, sent, broken ? "broken" : "held");
    fflush(stdout);
    rig_end(broken ? 1 : 0);
}
