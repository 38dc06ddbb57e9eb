#ifndef GGW_STANDINS_PATTERN_H
#define GGW_STANDINS_PATTERN_H

#include <stddef.h>
#include <stdint.h>
#include <string.h>
#include <xxhash.h>

/*
 * Bodies whose every byte follows from the request id and the offset, so that
 * a client can tell a body of another request from its own.
 */

static inline uint64_t
pattern_seed(const char *id)
{
    return XXH64(id, strlen(id), 0);
}

/* splitmix64 */
static inline uint64_t
pattern_word(uint64_t seed, uint64_t i)
{
    uint64_t z = seed + (i + 1) * 0x9e3779b97f4a7c15ULL;

    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

static inline void
pattern_fill(uint64_t seed, uint64_t offset, char *buf, size_t len)
{
    while (len > 0) {
        uint64_t word = pattern_word(seed, offset / 8);
        size_t skip = offset % 8;
        size_t n = 8 - skip < len ? 8 - skip : len;

        memcpy(buf, (char *)&word + skip, n);
        buf += n;
        offset += n;
        len -= n;
    }
}

/* XXH64 of the first @len bytes of a pattern. */
static inline uint64_t
pattern_digest(uint64_t seed, uint64_t len)
{
    XXH64_state_t *state = XXH64_createState();
    char buf[8192];
    uint64_t digest;

    XXH64_reset(state, 0);
    for (uint64_t at = 0; at < len; at += sizeof(buf)) {
        size_t n = len - at < sizeof(buf) ? (size_t)(len - at) : sizeof(buf);

        pattern_fill(seed, at, buf, n);
        XXH64_update(state, buf, n);
    }
    digest = XXH64_digest(state);
    XXH64_freeState(state);
    return digest;
}

#endif
