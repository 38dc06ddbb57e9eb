#ifndef RIG_H
#define RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/*
 * Small library for the cases of the review. It starts the gateways and the
 * platform stand-in as processes of their own, and has threads for backend
 * servers and clients. All addresses are on loopback.
 */

enum {
    RIG_FRONT = 8381,
    RIG_CONTROL = 8382,
    RIG_DIRECTORY = 8383,
    RIG_STORE = 8384,
    RIG_READY = 8388,
    RIG_PEERS = 7200,
    RIG_SERVER = 8080,
    RIG_GATEWAYS = 6,
    RIG_SERVERS = 32,
    RIG_HEAD = 32768,
};

struct rig {
    char dir[256];     /* temporary folder, removed at the end */
    char prefix[32];   /* "127.N" */
    int prefix_socket; /* reserves the prefix */
    bool trouble;
    bool has_tenants; /* set before rig_start(): a deployment with tenants */
    bool own_store;   /* set before rig_start(): use store.h */
    pid_t store;
    pid_t gateways[RIG_GATEWAYS];
};

extern struct rig rig;

/* Monotonic time in ms. */
double rig_now(void);
void rig_sleep(double ms);

/* Writes a line with the time since the start to record.txt. */
void rig_record(const char *format, ...)
    __attribute__((format(printf, 1, 2)));

/* Ends the case: 0: held, 1: broken, 2: could not run. */
void rig_end(int status) __attribute__((noreturn));
void rig_fail(const char *format, ...)
    __attribute__((format(printf, 1, 2), noreturn));

/*
 * Opens record.txt in @folder, reserves a prefix of addresses and starts the
 * store.
 */
void rig_start(const char *folder);

/* Address of gateway or server number @i. */
void rig_gateway_host(int i, char *host);
void rig_server_host(int i, char *host);

/* Writes or removes a row of the store; fails the case if it is refused. */
void rig_put(const char *table, const char *key, const char *value);
void rig_remove(const char *table, const char *key);

/* Writes a row of a part; only with the own store. */
void rig_put_part(const char *table, const char *part, const char *key,
                  const char *value);

/* Starts gateway @i of @n with the command of the deploy file. */
void rig_start_gateway(int i, int n, const char *zone);

/* Waits until the gateway says that it is ready. */
void rig_await_ready(int i);

/* Opens a connection; -1 if that fails within @ms. */
int rig_connect(const char *host, int port, double ms);

bool rig_write(int fd, const void *bytes, size_t len);

/* Copies the value of a header, which may be missing, into @value. */
bool rig_header(const char *head, const char *name, char *value, size_t size);

/**
 * struct rig_answer - what a client has read
 * @status: 0 without a complete head
 * @complete: the whole body has arrived as its framing says
 * @head: status line and headers
 * @body: bytes of the body, allocated
 */
struct rig_answer {
    int status;
    bool complete;
    char head[RIG_HEAD];
    char *body;
    size_t len;
};

/*
 * Reads one answer until @until (rig_now()). Returns whether it is complete.
 */
bool rig_read_answer(int fd, struct rig_answer *a, double until);

/* A new id for an attempt of a client. */
void rig_new_id(char *id, size_t size);

/* FNV-1a hash, which the signature of a response contains. */
uint64_t rig_hash(const char *bytes, size_t len);

#endif
