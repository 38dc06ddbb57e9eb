#include "store.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "rig.h"

/* Time of an answer, ms. */
#define ANSWER_MS 4

/* Longest wait of a feed, ms, and most rows of an answer. */
#define FEED_MS 30000
#define ROWS_MAX 500

struct row {
    char table[64];
    char part[64];
    char key[64];
    char *value; /* NULL: removed */
    long version;
};

static struct row *rows;
static size_t rows_len;
static long version;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static int
compare_rows(const void *a, const void *b)
{
    return strcmp(((const struct row *)a)->key, ((const struct row *)b)->key);
}

static int
compare_versions(const void *a, const void *b)
{
    long x = ((const struct row *)a)->version;
    long y = ((const struct row *)b)->version;

    return (x > y) - (x < y);
}

void
store_write(const char *table, const char *part, const char *key,
            const char *value)
{
    struct row *r = NULL;

    pthread_mutex_lock(&lock);
    for (size_t i = 0; i < rows_len; i++) {
        if (strcmp(rows[i].table, table) == 0 &&
            strcmp(rows[i].part, part) == 0 && strcmp(rows[i].key, key) == 0) {
            r = &rows[i];
        }
    }
    if (r == NULL) {
        rows = realloc(rows, (rows_len + 1) * sizeof(*rows));
        r = &rows[rows_len++];
        memset(r, 0, sizeof(*r));
        snprintf(r->table, sizeof(r->table), "%s", table);
        snprintf(r->part, sizeof(r->part), "%s", part);
        snprintf(r->key, sizeof(r->key), "%s", key);
    }
    free(r->value);
    r->value = value != NULL ? strdup(value) : NULL;
    r->version = ++version;
    pthread_cond_broadcast(&changed);
    pthread_mutex_unlock(&lock);
}

/* Copies a parameter of the query, with escapes undone. */
static bool
parameter(const char *query, const char *name, char *value, size_t size)
{
    size_t name_len = strlen(name), len = 0;

    *value = '\0';
    for (const char *p = query; p != NULL && *p != '\0';) {
        if (strncmp(p, name, name_len) == 0 && p[name_len] == '=') {
            for (p += name_len + 1; *p != '\0' && *p != '&'; p++) {
                char c = *p;

                if (c == '%') {
                    char hex[3] = {p[1], p[2], '\0'};

                    c = (char)strtoul(hex, NULL, 16);
                    p += 2;
                }
                if (len < size - 1) {
                    value[len++] = c;
                }
            }
            value[len] = '\0';
            return true;
        }
        p = strchr(p, '&');
        p = p != NULL ? p + 1 : NULL;
    }
    return false;
}

static void
append_row(char **body, size_t *len, const struct row *r, bool first)
{
    size_t size = 512 + (r->value != NULL ? strlen(r->value) : 0);

    *body = realloc(*body, *len + size);
    *len += (size_t)snprintf(
        *body + *len, size,
        "%s{\"Table\":\"%s\",\"part\":\"%s\",\"Key\":\"%s\",%s%s%s\"Ver\":%ld}",
        first ? "" : ",", r->table, r->part, r->key,
        r->value != NULL ? "\"Value\":\"" : "\"Deleted\":true,",
        r->value != NULL ? r->value : "", r->value != NULL ? "\"," : "",
        r->version);
}

/* Sends the rows that @wanted holds for; the lock is held. */
static char *
make_answer(const struct row *found, size_t len, bool more)
{
    char *body = NULL;
    size_t used = 0;

    body = malloc(64);
    used = (size_t)sprintf(body, "{\"Rows\":[");
    for (size_t i = 0; i < len; i++) {
        append_row(&body, &used, &found[i], i == 0);
    }
    body = realloc(body, used + 128);
    sprintf(body + used, "],\"HasMore\":%s,\"Ver\":%ld,\"NowMs\":%.0f}",
            more ? "true" : "false", version, rig_now());
    return body;
}

static char *
get_rows(const char *query)
{
    char table[64], part[64], from[64], target[64], limit[32];
    struct row *found;
    size_t len = 0, most;
    char *body;

    parameter(query, "Table", table, sizeof(table));
    parameter(query, "part", part, sizeof(part));
    parameter(query, "From", from, sizeof(from));
    parameter(query, "Target", target, sizeof(target));
    parameter(query, "Limit", limit, sizeof(limit));
    most = strtoul(limit, NULL, 10);
    most = most > 0 && most < ROWS_MAX ? most : ROWS_MAX;
    pthread_mutex_lock(&lock);
    found = malloc((rows_len + 1) * sizeof(*found));
    for (size_t i = 0; i < rows_len; i++) {
        const struct row *r = &rows[i];

        if (r->value != NULL && strcmp(r->table, table) == 0 &&
            strcmp(r->part, part) == 0 && strcmp(r->key, from) >= 0 &&
            (*target == '\0' || strcmp(r->key, target) < 0)) {
            found[len++] = *r;
        }
    }
    qsort(found, len, sizeof(*found), compare_rows);
    body = make_answer(found, len < most ? len : most, len > most);
    pthread_mutex_unlock(&lock);
    free(found);
    return body;
}

static size_t
changed_rows(const char *table, long after, struct row *found)
{
    size_t len = 0;

    for (size_t i = 0; i < rows_len; i++) {
        if (strcmp(rows[i].table, table) == 0 && rows[i].version > after) {
            found[len++] = rows[i];
        }
    }
    qsort(found, len, sizeof(*found), compare_versions);
    return len;
}

/* The feed of a table has the rows of all its parts. */
static char *
get_feed(const char *query)
{
    char table[64], after_text[32], wait_text[32];
    struct timespec until;
    struct row *found = NULL;
    double wait;
    size_t len;
    long after;
    char *body;

    parameter(query, "Table", table, sizeof(table));
    parameter(query, "after", after_text, sizeof(after_text));
    parameter(query, "WaitMs", wait_text, sizeof(wait_text));
    after = strtol(after_text, NULL, 10);
    wait = strtod(wait_text, NULL);
    wait = wait < FEED_MS ? wait : FEED_MS;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_nsec += (long)(1e6 * wait) % 1000000000L;
    until.tv_sec += (time_t)(wait / 1e3) + until.tv_nsec / 1000000000L;
    until.tv_nsec %= 1000000000L;
    pthread_mutex_lock(&lock);
    for (;;) {
        found = realloc(found, (rows_len + 1) * sizeof(*found));
        len = changed_rows(table, after, found);
        if (len > 0 || pthread_cond_timedwait(&changed, &lock, &until) ==
                           ETIMEDOUT) {
            break;
        }
    }
    body = make_answer(found, len, false);
    pthread_mutex_unlock(&lock);
    free(found);
    return body;
}

static void *
serve(void *data)
{
    int fd = (int)(intptr_t)data;
    char head[RIG_HEAD];
    size_t len = 0;

    for (;;) {
        char path[4096] = "", text[256];
        char *end, *query, *body = NULL;
        ssize_t r;

        head[len] = '\0';
        end = strstr(head, "\r\n\r\n");
        if (end == NULL) {
            r = read(fd, head + len, sizeof(head) - 1 - len);
            if (r <= 0) {
                break;
            }
            len += (size_t)r;
            continue;
        }
        sscanf(head, "GET %4095s", path);
        query = strchr(path, '?');
        if (strncmp(path, "/v1/rows-get?", 13) == 0) {
            rig_sleep(ANSWER_MS);
            body = get_rows(query + 1);
        }
        else if (strncmp(path, "/v1/rows-feed?", 14) == 0) {
            rig_sleep(ANSWER_MS);
            body = get_feed(query + 1);
        }
        snprintf(text, sizeof(text),
                 "HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
                 "Content-Length: %zu\r\n\r\n",
                 body != NULL ? "200 OK" : "403 Forbidden",
                 strlen(body != NULL ? body : "{}"));
        if (!rig_write(fd, text, strlen(text)) ||
            !rig_write(fd, body != NULL ? body : "{}",
                       strlen(body != NULL ? body : "{}"))) {
            free(body);
            break;
        }
        free(body);
        end += 4;
        len -= (size_t)(end - head);
        memmove(head, end, len);
    }
    close(fd);
    return NULL;
}

static void *
accept_all(void *data)
{
    int listener = (int)(intptr_t)data, on = 1;

    for (;;) {
        int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
        pthread_t thread;

        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        pthread_create(&thread, NULL, serve, (void *)(intptr_t)fd);
        pthread_detach(thread);
    }
    return NULL;
}

void
store_start(const char *host, int port)
{
    struct sockaddr_in sa = {.sin_family = AF_INET,
                             .sin_port = htons((uint16_t)port)};
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
    pthread_t thread;

    inet_pton(AF_INET, host, &sa.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) != 0 ||
        listen(fd, 128) != 0) {
        rig_fail("the store cannot listen: %s", strerror(errno));
    }
    pthread_create(&thread, NULL, accept_all, (void *)(intptr_t)fd);
}
