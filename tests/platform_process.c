#include "tests/platform_process.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

/* Runs in the child before exec: the kernel kills the platform when the test
 * process terminates, so a test that aborts leaves no process behind. */
static void
kill_with_parent(void *data)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
}

void
platform_process_start(struct platform_process *p, const char *lag)
{
    const char *build = g_getenv("GGW_BUILD");
    g_autofree char *path = g_strdup_printf(
        "%s/standins/platform", build != NULL ? build : "build/asan");
    char *argv[] = {path, (char *)"--lag", (char *)(lag != NULL ? lag : "0"),
                    NULL};
    int fd;
    FILE *out;
    char line[32] = "";

    if (!g_spawn_async_with_pipes(NULL, argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD,
                                  kill_with_parent, NULL, &p->pid, NULL, &fd,
                                  NULL, NULL)) {
        g_error("cannot start %s", path);
    }
    out = fdopen(fd, "r");
    if (fgets(line, sizeof(line), out) == NULL) {
        g_error("%s: exited before it printed its port", path);
    }
    fclose(out);
    p->port = (uint16_t)strtoul(line, NULL, 10);
}

int
platform_process_stop(struct platform_process *p)
{
    int status;

    kill(p->pid, SIGTERM);
    waitpid(p->pid, &status, 0);
    g_spawn_close_pid(p->pid);
    return status;
}

static struct sockaddr_in
loopback(uint16_t port)
{
    return (struct sockaddr_in){
        .sin_family = AF_INET,
        .sin_port = htons(port),
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
}

uint16_t
unused_port(void)
{
    struct sockaddr_in sa = loopback(0);
    socklen_t len = sizeof(sa);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    if (bind(fd, (struct sockaddr *)&sa, len) != 0 ||
        getsockname(fd, (struct sockaddr *)&sa, &len) != 0) {
        g_error("cannot bind to an unused port on 127.0.0.1");
    }
    close(fd);
    return ntohs(sa.sin_port);
}

char *
http_exchange(uint16_t port, const char *method, const char *path,
              const char *body)
{
    struct sockaddr_in sa = loopback(port);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    g_autofree char *request = g_strdup_printf(
        "%s %s HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n"
        "content-length: %zu\r\n\r\n%s",
        method, path, strlen(body), body);
    size_t len = strlen(request), sent = 0;
    GString *answer = g_string_new(NULL);
    char buf[4096];
    const char *end;
    char *result;
    ssize_t n;

    if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0) {
        g_error("cannot connect to 127.0.0.1:%u", port);
    }
    while (sent < len && (n = write(fd, request + sent, len - sent)) > 0) {
        sent += (size_t)n;
    }
    while ((n = read(fd, buf, sizeof(buf))) > 0) {
        g_string_append_len(answer, buf, n);
    }
    close(fd);
    end = strstr(answer->str, "\r\n\r\n");
    result = g_strdup(end != NULL ? end + 4 : "");
    g_string_free(answer, TRUE);
    return result;
}

void
platform_process_fault(const struct platform_process *p, const char *json)
{
    g_free(http_exchange(p->port, "POST", "/-/fault", json));
}

void
platform_process_put_object(const struct platform_process *p, const char *key,
                            const char *body)
{
    g_autofree char *path = g_strconcat("/v1/blob-put/", key, NULL);

    g_free(http_exchange(p->port, "PUT", path, body));
}

int64_t
platform_process_stat(const struct platform_process *p, const char *name)
{
    g_autofree char *text = http_exchange(p->port, "GET", "/-/stats", "");
    json_t *stats = json_loads(text, 0, NULL);
    int64_t value = json_integer_value(json_object_get(stats, name));

    json_decref(stats);
    return value;
}
