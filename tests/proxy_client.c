#include <CUnit/CUnit.h>
#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "tests/proxy_env.h"

/* Blocking client for the tests of the service "proxy". */

/* Timeout of a send or receive, s. */
#define WAIT_S 10

int
env_connect(struct env *env)
{
    return env_connect_with_window(env, 0);
}

int
env_connect_with_window(struct env *env, int bytes)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port =
                                      htons(ggw_proxy_port(env->proxy)),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    struct timeval t = {.tv_sec = WAIT_S};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
    if (bytes > 0) {
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    }
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Whether the buffer has a complete response with Content-Length. */
static bool
response_complete(const GString *r)
{
    const char *end = strstr(r->str, "\r\n\r\n");
    const char *length = env_header(r, "content-length");

    return end != NULL && length != NULL &&
           r->len >= (size_t)(end - r->str) + 4 + strtoul(length, NULL, 10);
}

GString *
env_read(int fd, bool to_end)
{
    GString *r = g_string_new(NULL);
    char buf[65536];
    ssize_t n;

    while (to_end || !response_complete(r)) {
        n = recv(fd, buf, sizeof(buf), 0);
        if (n <= 0) {
            break;
        }
        g_string_append_len(r, buf, n);
    }
    return r;
}

GString *
env_read_until(int fd, const char *end)
{
    GString *r = g_string_new(NULL);
    char buf[65536];
    size_t len = strlen(end);
    ssize_t n;

    while (r->len < len || memcmp(r->str + r->len - len, end, len) != 0) {
        n = recv(fd, buf, sizeof(buf), 0);
        if (n <= 0) {
            break;
        }
        g_string_append_len(r, buf, n);
    }
    return r;
}

GString *
env_ask(struct env *env, const char *request)
{
    int fd = env_connect(env);
    GString *r;

    if (fd < 0) {
        return g_string_new(NULL);
    }
    send(fd, request, strlen(request), MSG_NOSIGNAL);
    r = env_read(fd, false);
    close(fd);
    return r;
}

const char *
env_header(const GString *response, const char *name)
{
    static char value[512];
    const char *end = strstr(response->str, "\r\n\r\n");
    size_t len = strlen(name);

    for (const char *line = strchr(response->str, '\n');
         end != NULL && line != NULL && line < end;
         line = strchr(line + 1, '\n')) {
        if (g_ascii_strncasecmp(line + 1, name, len) == 0 &&
            line[1 + len] == ':') {
            g_strlcpy(value, line + len + 3, sizeof(value));
            value[strcspn(value, "\r\n")] = '\0';
            return value;
        }
    }
    return NULL;
}

int
env_status(const GString *response)
{
    return response->len > 12 ? atoi(response->str + 9) : 0;
}

const char *
env_body(const GString *response, size_t *len)
{
    const char *end = strstr(response->str, "\r\n\r\n");

    if (end == NULL) {
        *len = 0;
        return "";
    }
    *len = response->len - (size_t)(end + 4 - response->str);
    return end + 4;
}

const char *
env_header_or(const GString *response, const char *name)
{
    const char *value = env_header(response, name);

    return value != NULL ? value : "";
}

bool
env_expect(struct env *env, const char *request, int status,
           const char *outcome, const char *reason)
{
    GString *r = env_ask(env, request);
    bool ok = env_status(r) == status &&
              strcmp(env_header_or(r, "greengageway-outcome"), outcome) == 0 &&
              strcmp(env_header_or(r, "greengageway-reason"), reason) == 0;

    if (!ok) {
        fprintf(stderr, "expected %d %s %s\n%s\n-> %s\n", status, outcome,
                reason, request, r->str);
    }
    g_string_free(r, TRUE);
    return ok;
}

enum ggw_attempt_result
env_result(struct env *env, guint i)
{
    enum ggw_attempt_result result = GGW_ATTEMPT_UNUSED;

    if (!env_wait_len(env, env->releases, (int)i + 1)) {
        CU_FAIL("no slot was released in time");
        return result;
    }
    pthread_mutex_lock(&env->lock);
    result = g_array_index(env->releases, struct ggw_slot_release, i).result;
    pthread_mutex_unlock(&env->lock);
    return result;
}
