#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

/*
 * A small installation on loopback addresses: the store's stand-in, gateways
 * that run the command of the deploy file, and instances. The instances and
 * the clients are threads of the case's program, so that it sees each request
 * at both ends.
 */

/* Exit codes of a case. */
enum rig_result {
    RIG_HELD = 0,
    RIG_BROKEN = 1,
    RIG_CANNOT_RUN = 2,
};

#define RIG_MAX_GATEWAYS 6
#define RIG_FRONT_PORT 8381
#define RIG_DIRECTORY_PORT 8383
#define RIG_READY_PORT 8388

/**
 * struct rig_request - a request as an instance has read it
 * @head: request line and headers
 * @method, @path, @id: parts of @head; @id is empty without an Attempt-Id
 * @deadline_ms: value of Request-Deadline, or -1
 * @body_len: bytes of the body
 */
struct rig_request {
    char *head;
    char method[16];
    char path[256];
    char id[64];
    double deadline_ms;
    size_t body_len;
};

struct rig_instance;

/**
 * typedef rig_run_fn - runs a request that has a slot, and answers it
 * @fd: the connection
 *
 * Return: false to close the connection.
 */
typedef bool (*rig_run_fn)(struct rig_instance *inst,
                           const struct rig_request *req, int fd);

/**
 * struct rig_instance - an instance of a service
 * @id: its Id
 * @service: name of its service
 * @zone: its zone
 * @port: port it listens on, at the host of the instances
 * @reported_port: port in its entry in the store; that of a relay, if it has
 * one
 * @slots: requests processed at once; QUEUE more wait
 * @run: runs one request
 * @data: for @run
 * @busy, @waiting: current requests; protected by @lock
 */
struct rig_instance {
    char id[32];
    char service[32];
    char zone[32];
    char host[32];
    int port;
    int reported_port;
    int slots;
    rig_run_fn run;
    void *data;
    int busy;
    int waiting;
    GMutex lock;
    GCond freed;
};

/**
 * struct rig_answer - what a client received on a connection
 * @status: status code; 0 without a complete head
 * @complete: the answer is complete as the protocol tells it
 * @reset: the connection was reset
 * @closed: the connection was closed
 * @framed: the answer has a length or is chunked
 * @body: bytes of the body
 * @head: status line and headers
 */
struct rig_answer {
    int status;
    bool complete;
    bool reset;
    bool closed;
    bool framed;
    GByteArray *body;
    char *head;
};

/* Starts the store's stand-in. Exits with RIG_CANNOT_RUN on failure. */
void rig_open(int gateways, double timeout_ms);

/* Whether the disruption is to be played. */
bool rig_trouble(void);

/* Milliseconds since rig_open(). */
double rig_now(void);
void rig_sleep(double ms);

/* Writes a line with a time to record.txt. */
void rig_record(const char *format, ...) G_GNUC_PRINTF(1, 2);

/*
 * Starts an instance that reports itself to the store as ready. Must be
 * called before rig_publish().
 */
struct rig_instance *rig_add_instance(const char *service, int zone, int slots,
                                      rig_run_fn run, void *data);

/**
 * typedef rig_cut_fn - decides how many bytes of a connection's answers pass
 *
 * Return: the bytes after which the relay resets the connection to the
 * gateway; 0 for no reset.
 */
typedef size_t (*rig_cut_fn)(void);

/*
 * As rig_add_instance(), with a relay between the gateways and the instance.
 * @cut is called once for each connection whose answers reach @cut_from bytes.
 */
struct rig_instance *rig_add_relayed_instance(const char *service, int zone,
                                              int slots, rig_run_fn run,
                                              void *data, size_t cut_from,
                                              rig_cut_fn cut);

/*
 * Adds a route of the host "shop.example" to the configuration.
 * @type: idempotent, non_idempotent or download
 */
void rig_add_route(const char *prefix, const char *type, const char *service,
                   double target_ms, double timeout_ms);

/* Writes the configuration and starts all gateways; waits until ready. */
void rig_start(void);

/* Starts a gateway (again); rig_wait_ready() waits until it is ready. */
void rig_start_gateway(int index);
void rig_wait_ready(int index, double limit_ms);
void rig_signal(int index, int number);
pid_t rig_pid(int index);

/* Reaps a gateway that has ended; returns false while it runs. */
bool rig_ended(int index, int *status);
const char *rig_gateway_host(int index);

/* Resident memory of a gateway in MB; 0 if it does not run. */
double rig_memory_mb(int index);

/* Asks a gateway's directory whether it names gateway @index. */
bool rig_directory_names(int asked, int index);

/* Connects; @receive_buffer above 0 limits the window of the connection. */
int rig_connect(const char *host, int port, int receive_buffer);
bool rig_send(int fd, const char *bytes, size_t len);

/*
 * Reads one answer. @carry holds bytes read beyond it; NULL to drop them.
 * @pace_ms: pause between two reads of @pace_bytes, for a slow path; 0: none
 */
void rig_read_answer(int fd, double limit_ms, double pace_ms,
                     size_t pace_bytes, GByteArray *carry,
                     struct rig_answer *a);
void rig_answer_clear(struct rig_answer *a);

/* Formats a request of a client. */
char *rig_format_request(const char *method, const char *path, const char *id,
                         double deadline_ms, size_t body_len);

/* Head of an answer of an instance; @len below 0: no length. */
char *rig_format_answer(const struct rig_instance *inst,
                        const struct rig_request *req, int status, ssize_t len,
                        bool close);

/* Ends all processes and exits. */
void rig_exit(enum rig_result result) G_GNUC_NORETURN;

#endif
