#ifndef GGW_TESTS_NODE_H
#define GGW_TESTS_NODE_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "tests/platform_process.h"

/**
 * DOC: one "greengageway node" process with a settings file of the test
 *
 * The store is the stand-in of the platform, the backend server is a thread of
 * the test. A process that does not start aborts the test with g_error().
 */

/* Host and paths of the routes of node_start(). */
#define NODE_HOST "crowd.example"
#define NODE_PATH "/read/"

/* Id of its backend server. */
#define NODE_SERVER "i-1"

/**
 * struct node_options - settings of the node
 * @memory: memory of the machine, MiB
 * @descriptors: descriptors that the process may have
 * @body_max: largest body of a request in the operator's configuration, bytes
 */
struct node_options {
    int memory;
    int descriptors;
    int body_max;
};

/**
 * struct node - the process and what it needs
 * @front: address for clients, "IP:PORT"; the others are alike
 * @peers: address for other gateways
 * @peak_bytes: most memory seen by node_sample(): resident, and received by
 *              the kernel and not yet read
 * @peak_descriptors: most descriptors seen by node_sample()
 * @backend_fd: listening socket of the backend server
 * @quiet: set to 1, atomically, to end the reports of the backend server
 * @ended: set to 1, atomically, to end the threads
 */
struct node {
    struct node_options options;
    struct platform_process platform;
    GPid pid;
    char *host;
    char *front, *ready, *control, *directory, *peers;
    char *settings;
    double peak_bytes;
    int peak_descriptors;
    int backend_fd;
    uint16_t backend_port;
    pthread_t backend_thread;
    pthread_t beat_thread;
    int quiet;
    int ended;
};

/* Starts the processes and waits until a request is answered. */
struct node *node_start(const struct node_options *options);

/* Terminates the processes; false when one had ended by itself. */
bool node_stop(struct node *n);

/* Whether the process still runs. */
bool node_lives(const struct node *n);

/* Reads the memory and the descriptors of the process. */
void node_sample(struct node *n);

/* Resident memory, and the most that the process has had, bytes. */
double node_resident(const struct node *n);
double node_resident_peak(const struct node *n);

/* Ends the reports of the backend server, so that a test can write them. */
void node_end_reports(struct node *n);

/* Writes a row "TABLE/KEY" of the store. */
void node_write_row(const struct node *n, const char *key, const char *value);

/* Removes a row of the store. */
void node_remove_row(const struct node *n, const char *table, const char *key);

/* Status of a GET request to a path; 0 without a response. */
int node_get(const struct node *n, const char *path);

/* Whether a GET request to a route gets a complete response of 200. */
bool node_answers(struct node *n);

/* Status of a POST request with a body of @len bytes; 0 without a response. */
int node_post(struct node *n, size_t len);

#endif
