#ifndef GGW_TESTS_CROWD_H
#define GGW_TESTS_CROWD_H

#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: many clients of one address that keep to no rule
 *
 * Each client connects, sends @head, then @part again and again, at most
 * @parts times, then @tail, and stays open. All of them run on the caller's
 * thread.
 */

/**
 * struct crowd - what the clients send
 * @address: "IP:PORT"
 * @clients: number of clients
 * @step: bytes that a client sends at a time; 0 for as many as it can
 * @reads: they read responses and drop them
 */
struct crowd {
    const char *address;
    int clients;
    const char *head;
    const char *part;
    size_t part_len;
    size_t parts;
    const char *tail;
    size_t step;
    bool reads;
};

struct crowd_run;

/* Starts the clients of a crowd; copies @crowd, but not its texts. */
struct crowd_run *crowd_start(const struct crowd *crowd);

/**
 * crowd_turn() - let each client send what it can
 *
 * Return: whether any client has made progress.
 */
bool crowd_turn(struct crowd_run *run);

/* Number of clients whose connection is open, and bytes sent by all. */
int crowd_open(const struct crowd_run *run);
double crowd_sent(const struct crowd_run *run);

/* Closes all connections. */
void crowd_end(struct crowd_run *run);

#endif
