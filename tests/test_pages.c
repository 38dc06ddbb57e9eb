#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/metrics.h"
#include "config/config.h"
#include "config/vms.h"
#include "peers/peers.h"
#include "platform/pages.h"
#include "platform/settings.h"
#include "tests/platform_process.h"
#include "tests/suite.h"

/* Pages for the users' platform, from start to shutdown. */

/* The test gives up after this time in ms. */
#define WAIT_LIMIT 10000.0

#define HOST "127.0.0.1"

/* Address of this gateway for clients, as the directory lists it. */
#define FRONT "10.1.0.18:8381"

/**
 * struct fixture - a kernel with the service "pages" only
 */
struct fixture {
    struct ggw_kernel *kernel;
    struct ggw_node_settings settings;
};

static struct ggw_address
unused_address(void)
{
    struct ggw_address address = {.port = unused_port()};

    g_strlcpy(address.host, HOST, sizeof(address.host));
    return address;
}

static void
fixture_start(struct fixture *f)
{
    GError *error = NULL;

    memset(f, 0, sizeof(*f));
    f->settings.directory = unused_address();
    f->settings.ready = unused_address();
    f->settings.control = unused_address();
    f->kernel = ggw_kernel_new(ggw_clock_system());
    ggw_kernel_add(f->kernel, ggw_pages_service_new(&f->settings, 1000, NULL));
    CU_ASSERT_TRUE(ggw_kernel_start(f->kernel, &error));
    CU_ASSERT_PTR_NULL(error);
}

static void
fixture_stop(struct fixture *f)
{
    ggw_kernel_stop(f->kernel);
    ggw_kernel_destroy(f->kernel);
}

static int
connect_to(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    CU_ASSERT_EQUAL(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    0);
    return fd;
}

/* Requests a page and returns the response, read to the end. */
static GString *
ask(struct fixture *f, uint16_t port)
{
    static const char request[] =
        "GET /?Zone=a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    const struct ggw_clock *clock = ggw_clock_system();
    ggw_ms end = ggw_clock_now(clock) + WAIT_LIMIT;
    GString *r = g_string_new(NULL);
    int fd = connect_to(port);
    char buf[4096];
    ssize_t n = -1;

    CU_ASSERT_TRUE(write(fd, request, strlen(request)) > 0);
    while (n != 0 && ggw_clock_now(clock) < end) {
        uv_run(ggw_kernel_loop(f->kernel), UV_RUN_NOWAIT);
        n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
        g_string_append_len(r, buf, MAX(n, 0));
    }
    CU_ASSERT_EQUAL(n, 0);
    close(fd);
    return r;
}

/* Whether a page has this status, and @text in its head or body. */
static bool
shows(struct fixture *f, uint16_t port, int status, const char *text)
{
    GString *r = ask(f, port);
    bool ok = r->len > 9 && atoi(r->str + 9) == status &&
              strstr(r->str, text) != NULL;

    if (!ok) {
        printf("expected %d with \"%s\", got: %s\n", status, text, r->str);
    }
    g_string_free(r, TRUE);
    return ok;
}

static bool
has_no_gateway(struct fixture *f)
{
    uint16_t port = f->settings.directory.port;

    return shows(f, port, 503, "greengageway-reason: no-gateway") &&
           shows(f, port, 503, "greengageway-outcome: not-run") &&
           shows(f, port, 503, "retry-after: ");
}

/* Publishes that this gateway is the only one. */
static void
publish_members(struct fixture *f)
{
    struct ggw_message *m = ggw_members_changed_new();
    const struct ggw_member self = {.name = "n1",
                                    .failure_domain = "a",
                                    .host = "10.1.0.18",
                                    .port = 8381,
                                    .self = true};

    ggw_members_add((struct ggw_members_changed *)m, &self);
    ggw_kernel_publish(f->kernel, NULL, m);
}

static void
publish_config(struct fixture *f)
{
    GError *error = NULL;
    struct ggw_tree *tree =
        ggw_tree_parse("site", 1, "{\"services\":{}}", &error);

    CU_ASSERT_PTR_NOT_NULL_FATAL(tree);
    ggw_kernel_publish(f->kernel, NULL, ggw_config_in_force_new(tree));
    ggw_tree_unref(tree);
}

static void
publish_servers(struct fixture *f)
{
    struct ggw_vm_list *list = g_new0(struct ggw_vm_list, 1);

    list->refs = 1;
    list->vms = g_new0(struct ggw_vm, 1);
    ggw_kernel_publish(f->kernel, NULL, ggw_vms_changed_new(list));
    ggw_vm_list_unref(list);
}

/*
 * Guards against a directory that names a gateway before it can serve, or
 * while it leaves, and against a refusal without the time of the next try.
 */
static void
test_directory(void)
{
    struct fixture f;

    fixture_start(&f);
    CU_ASSERT_TRUE(has_no_gateway(&f));
    publish_members(&f);
    CU_ASSERT_TRUE(has_no_gateway(&f));
    publish_config(&f);
    CU_ASSERT_TRUE(has_no_gateway(&f));
    publish_servers(&f);
    CU_ASSERT_TRUE(shows(&f, f.settings.directory.port, 200, FRONT));
    ggw_kernel_publish(f.kernel, NULL, ggw_shutdown_new());
    CU_ASSERT_TRUE(has_no_gateway(&f));
    fixture_stop(&f);
}

/* Guards against readiness that is reported too early or for too long. */
static void
test_ready(void)
{
    struct fixture f;
    uint16_t port;

    fixture_start(&f);
    port = f.settings.ready.port;
    CU_ASSERT_TRUE(shows(&f, port, 503, "no configuration or no servers"));
    publish_config(&f);
    CU_ASSERT_TRUE(shows(&f, port, 503, "no configuration or no servers"));
    publish_servers(&f);
    CU_ASSERT_TRUE(shows(&f, port, 200, "ready"));
    ggw_kernel_publish(f.kernel, NULL, ggw_shutdown_new());
    CU_ASSERT_TRUE(shows(&f, port, 503, "leaving"));
    fixture_stop(&f);
}

int
main(void)
{
    static CU_TestInfo tests[] = {
        {"directory", test_directory},
        {"ready", test_ready},
        CU_TEST_INFO_NULL,
    };
    int status = suite_run("pages", tests);

    ggw_metrics_fini();
    return status;
}
