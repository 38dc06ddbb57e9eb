#ifndef GGW_TESTS_PLATFORM_PROCESS_H
#define GGW_TESTS_PLATFORM_PROCESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: process of the platform stand-in, standins/platform.c, and small HTTP
 *      helpers for it
 *
 * A process that can't be started or reached aborts the test with g_error().
 */

/**
 * struct platform_process - a running platform stand-in
 * @port: port on 127.0.0.1 on which it listens
 */
struct platform_process {
    GPid pid;
    uint16_t port;
};

/**
 * platform_process_start() - start the platform and wait until it listens
 * @lag: time in ms, as text, after which a new version of the VM list becomes
 *       visible; NULL for none
 */
void platform_process_start(struct platform_process *p, const char *lag);

/**
 * platform_process_stop() - terminate the platform with SIGTERM
 *
 * Return: its status in the encoding of waitpid(); not 0 when a sanitizer
 * reported an error.
 */
int platform_process_stop(struct platform_process *p);

/* Sets the fault that the platform simulates, a JSON object; see
 * standins/platform.c. */
void platform_process_fault(const struct platform_process *p,
                            const char *json);

/* Writes an object of the platform's store. */
void platform_process_put_object(const struct platform_process *p,
                                 const char *key, const char *body);

/* Value of a counter of GET /-/stats; 0 when there is none of that name. */
int64_t platform_process_stat(const struct platform_process *p,
                              const char *name);

/* A port on 127.0.0.1 on which nothing listens. */
uint16_t unused_port(void);

/* Sends a request to 127.0.0.1 and waits for the response; returns its body,
 * to be freed with g_free(). */
char *http_exchange(uint16_t port, const char *method, const char *path,
                    const char *body);

#endif
