#ifndef GGW_TESTS_READERS_MODEL_H
#define GGW_TESTS_READERS_MODEL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "config/vms.h"
#include "kernel/kernel.h"
#include "peers/peers.h"
#include "platform/settings.h"
#include "platform/store.h"

/**
 * DOC: gateways that copy the entries of backend servers, in virtual time
 *
 * The services "site" are real; the store, the links between the gateways and
 * the time are models, so that each moment of a change can be played. The
 * model defines clock_gettime(), the time of all loops, and the Makefile
 * directs ggw_store_feed() and ggw_store_range() to it.
 */

#define GATEWAYS 6

/* Time within which a change must reach every gateway, ms. */
#define MAX_CHANGE_DELAY_MS 2000

/* Latency of a link between gateways and of the store, ms. */
#define LINK_MS 2.0
#define STORE_MS 4.0
#define SLOW_STORE_MS 200.0

/* Times after the start of a play, ms. */
#define MEMBERS_AT 10.0
#define LOSS_AT 4000.0
#define END_AT 13000.0

/* Times after LOSS_AT, ms. */
#define NEXT_LOSS 500.0
#define STORE_BACK 1500.0
#define LINK_BACK 3000.0

/* Time after which a lost gateway is suspected by the others, ms. */
#define SUSPECTED_AFTER 700.0

/* Time after which a gateway that is back counts as alive, ms. */
#define ALIVE_AFTER 300.0

/* An entry that comes back does so after this time, ms. */
#define ENTRY_BACK 600.0

/* The store tells no changes for this time before it drops its history, ms. */
#define MUTE_MS 1000.0

/* The play starts at this time of all clocks, ms. */
#define CLOCK_START 1e7

/*
 * An entry expires this long before the store is back, ms.
 */
#define EXPIRES_BEFORE 100.0

enum loss {
    LOSS_NONE,
    LOSS_FIRST,
    LOSS_SECOND,
    LOSS_BOTH,
    LOSS_IN_TURN,
    LOSS_THREE_IN_TURN,
    LOSS_LINK_FIRST,
    LOSS_LINK_BOTH,
    LOSS_LINK_IN_TURN,
    LOSS_APART,
    LOSSES
};

enum store_fault {
    STORE_SOUND,
    STORE_SLOW,
    STORE_AWAY,
    STORE_HISTORY_LOST,
    STORE_FAULTS
};

enum change {
    CHANGE_REMOVED,
    CHANGE_DRAINED,
    CHANGE_BACK,
    CHANGE_EXPIRED,
    CHANGE_KEYS, /* one key of a customer is withdrawn, another one added */
};

/**
 * struct view - what a gateway knows of the changed entry
 * @slots: slots of the entry; grows with each version of it
 * @draining: it was drained
 * @removed: it was removed, and not written again
 */
struct view {
    int slots;
    bool draining;
    bool removed;
};

/**
 * struct gateway - one gateway
 * @peers: stands for all other services
 * @ended: its process has ended
 * @no_store: it does not reach the store
 * @apart: it reaches only the gateways that are apart, too
 * @view: what it uses
 * @config: stands for the service "config"
 * @has_config: it has had a configuration
 * @revision: revision of the last configuration
 * @has_withdrawn: that configuration has the key that is withdrawn
 * @has_added: that configuration has the key that is added
 */
struct gateway {
    struct ggw_kernel *kernel;
    struct ggw_service peers;
    struct ggw_service *site;
    struct ggw_node_settings settings;
    char name[8];
    char domain[2];
    bool ended;
    bool no_store;
    bool apart;
    bool has_list;
    struct view view;
    struct ggw_service config;
    bool has_config;
    uint64_t revision;
    bool has_withdrawn;
    bool has_added;
};

/**
 * struct frame - a message between gateways
 * @due: when it arrives, ms
 */
struct frame {
    ggw_ms due;
    struct gateway *from;
    struct gateway *to;
    enum ggw_peer_frame_type type;
    GBytes *payload;
};

/**
 * struct call - a call to the store
 * @after: version of a feed call; ignored for a range
 * @wait_until: when a feed call is answered without a change, ms
 * @fails_at: when its caller gives it up, ms
 * @due: when its response arrives, ms; INFINITY until the store has made it
 * @dead: no response can arrive any more
 */
struct call {
    struct gateway *from;
    char *table;
    bool feed;
    uint64_t after;
    ggw_ms wait_until;
    ggw_ms fails_at;
    ggw_ms due;
    bool dead;
    struct ggw_store_response response;
    ggw_store_cb cb;
    void *data;
};

/**
 * struct play - one play
 * @order: the gateways in the order of the readers
 * @rows: key to struct ggw_store_row, the rows of table "servers"
 * @log: of struct ggw_store_row, all changes of that table
 * @config: the only row of table "op", or NULL
 * @version: version of the store
 * @history_from: the store has the changes after this version
 * @changed_version: version in which the entry was removed or drained
 * @written_at: when it was written, ms; INFINITY before
 * @known_at: when a gateway that the others hear first got it, ms
 * @wrong: text of the first thing that was wrong, or NULL
 */
struct play {
    enum loss loss;
    enum store_fault store;
    enum change change;
    ggw_ms moment;
    ggw_ms now;
    struct gateway gateways[GATEWAYS];
    struct gateway *order[GATEWAYS];
    struct gateway *current;
    GPtrArray *frames;
    GPtrArray *calls;
    GHashTable *rows;
    GPtrArray *log;
    struct ggw_store_row *config;
    uint64_t version;
    uint64_t history_from;
    uint64_t changed_version;
    ggw_ms written_at;
    ggw_ms known_at;
    char *wrong;
};

/* The play in progress, and the time of all clocks, ms. */
extern struct play *play;
extern ggw_ms clock_now;

/* model.c: what is wrong first counts. */
void model_note_wrong(const struct gateway *g, const char *what);

/* Writes a row of table "servers"; removes it if @state is NULL. */
void model_write_row(const char *key, int slots, const char *state);

/* Writes a configuration with one customer that has these keys. */
void model_write_config(const char *keys);

/* Makes the response of a call if the store has one now. */
void model_answer_call(struct call *c);

/* Ends the calls whose response or time limit is due. */
void model_end_calls(void);
void model_deliver_frames(void);
void model_run_gateways(void);
void model_publish_members(void);

/* Sorts the gateways in the order of the readers. */
void model_sort_gateways(void);
void model_start_gateway(struct gateway *g, int i);
void model_stop_gateway(struct gateway *g);
void model_call_free(gpointer data);
void model_frame_free(gpointer data);

/**
 * struct step - something that happens at a set time
 * @at: when, ms; INFINITY when it has happened
 */
struct step {
    ggw_ms at;
    void (*run)(struct gateway *g);
    struct gateway *gateway;
};

/* steps.c: the losses and changes of the play. */
GArray *steps_new(void);

/* Runs the steps that are due. */
void steps_run(GArray *steps);

#endif
