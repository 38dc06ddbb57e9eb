#ifndef GGW_TESTS_CROWD_CASES_H
#define GGW_TESTS_CROWD_CASES_H

#include <CUnit/CUnit.h>
#include <stddef.h>

#include "tests/crowd.h"
#include "tests/node.h"

/**
 * DOC: crowds of clients that keep to no rule
 *
 * A gateway runs on a small machine. Crowds send it more than the machine has
 * memory, or open more connections than it has descriptors. The process must
 * live on, its memory and its descriptors must stay under the limits of the
 * machine, and one ordinary request must be answered when the crowd has gone.
 * No time and no share of served requests is checked.
 */

#define KIB 1024
#define MIB (1024 * KIB)

/* The machine. */
#define MEMORY_MIB 48
#define DESCRIPTORS 500

/* Of the descriptors, the platform keeps these for files. */
#define FILE_DESCRIPTORS 200

/* Largest body of a request in the operator's configuration, bytes. */
#define BODY_MAX (2 * MIB)

/* Resident memory after a crowd has gone, bytes. */
#define MEMORY_AFTER (MEMORY_MIB / 2.0 * MIB)

/*
 * A sanitizer adds its own memory, and keeps back what is freed: with one, the
 * limit of the memory is higher, and the memory afterwards is not checked.
 */
#if defined(__SANITIZE_ADDRESS__)
#define SANITIZER_MIB 160
#define SANITIZER_FACTOR 2
#else
#define SANITIZER_MIB 0
#define SANITIZER_FACTOR 1
#endif
#define MEMORY_BYTES                                                          \
    ((SANITIZER_MIB + SANITIZER_FACTOR * MEMORY_MIB) * (double)MIB)

/* Crowds that run together, at most. */
#define CROWDS 6

/* Doors of the process. */
enum crowd_door {
    DOOR_FRONT,
    DOOR_DIRECTORY,
    DOOR_READY,
    DOOR_CONTROL,
    DOOR_PEERS,
};

/* Bodies of 15 chunks of 64 KiB that stop short of their end. */
struct crowd crowd_large_chunks(void);

/* Bodies of 200,000 chunks of a byte that stop short of their end. */
struct crowd crowd_small_chunks(void);

/* Bodies within the limit, announced, that stop short of their end. */
struct crowd crowd_announced(void);

/* Bodies that are announced far over the limit, and sent. */
struct crowd crowd_announced_over(void);

/* Bodies without a length that go far over the limit. */
struct crowd crowd_sent_over(void);

/* Whole requests, one behind another, whose responses nobody reads. */
struct crowd crowd_pipelined(void);

/* Requests for large responses that nobody reads. */
struct crowd crowd_slow_readers(void);

/* Extensions of a chunk without an end. */
struct crowd crowd_extensions(void);

/* Header lines without an end. */
struct crowd crowd_headers(void);

/* Trailers without an end. */
struct crowd crowd_trailers(void);

/* Heads that arrive a byte at a time. */
struct crowd crowd_slow_heads(void);

/* Connections that send nothing. */
struct crowd crowd_silent(void);

/* First frames of another gateway that are announced and not completed. */
struct crowd crowd_frames(void);

/* Makes and frees the texts that the crowds send. */
void crowd_make_texts(void);
void crowd_free_texts(void);

/**
 * check_crowds() - run crowds together and check what must hold
 * @doors: door of each crowd
 * @len: number of crowds, at most CROWDS
 */
void check_crowds(struct crowd *crowds, const enum crowd_door *doors,
                  size_t len);
void check_crowd(struct crowd crowd, enum crowd_door door);

#endif
