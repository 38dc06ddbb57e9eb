#ifndef GGW_TESTS_PLATFORM_PROCESS_H
#define GGW_TESTS_PLATFORM_PROCESS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The stand-in for the platform as a process that a test starts. */
struct platform_process {
    GPid pid;
    uint16_t port;
};

/**
 * platform_process_start() - start it and wait until it listens
 * @lag: delay of the VM list in ms, as text, or NULL
 */
void platform_process_start(struct platform_process *p, const char *lag);

/**
 * platform_process_stop() - end it
 *
 * Return: its exit status; not 0 when a sanitizer reported something.
 */
int platform_process_stop(struct platform_process *p);

/* Sets a fault, see standins/platform.c. */
void platform_process_fault(const struct platform_process *p,
                            const char *json);

void platform_process_put_object(const struct platform_process *p,
                                 const char *key, const char *body);

/* One counter of GET /-/stats. */
int64_t platform_process_stat(const struct platform_process *p,
                              const char *name);

/* A port on 127.0.0.1 on which nothing listens. */
uint16_t unused_port(void);

/* A blocking HTTP request; returns the body of the answer. */
char *http_exchange(uint16_t port, const char *method, const char *path,
                    const char *body);

#endif
