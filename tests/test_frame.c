#include <CUnit/Basic.h>
#include <msgpack.h>
#include <string.h>

#include "peers/frame.h"
#include "peers/payload.h"

#define SEED 20261204 /* of the random mutations */
#define FRAMES 3

static const uint64_t numbers[FRAMES] = {1, 1 << 20, UINT64_C(1) << 40};

/* Encodes three frames whose payloads use several msgpack types. */
static GByteArray *
sample_stream(void)
{
    GByteArray *out = g_byte_array_new();

    for (int i = 0; i < FRAMES; i++) {
        struct ggw_payload_writer w;
        g_autoptr(GBytes) payload = NULL;

        ggw_payload_begin(&w, 4);
        ggw_payload_put_string(&w, "cairo-a");
        ggw_payload_put_uint(&w, numbers[i]);
        ggw_payload_put_double(&w, 1.5);
        ggw_payload_put_array(&w, 2);
        ggw_payload_put_bool(&w, true);
        ggw_payload_put_string(&w, "nested");
        payload = ggw_payload_end(&w);
        CU_ASSERT_TRUE(ggw_frame_encode(out, i + 1, 1000 + i,
                                        g_bytes_get_data(payload, NULL),
                                        g_bytes_get_size(payload)));
    }
    return out;
}

/* Checks the frame at index @i of sample_stream(). */
static void
check_sample(const struct ggw_frame *f, int i)
{
    struct ggw_payload_reader r;
    struct ggw_payload_reader inner;

    g_assert(i < FRAMES);
    CU_ASSERT_EQUAL(f->type, i + 1);
    CU_ASSERT_EQUAL(f->request_id, (uint64_t)(1000 + i));
    ggw_payload_open(&r, f->payload, f->payload_len);
    CU_ASSERT_STRING_EQUAL(ggw_payload_string(&r), "cairo-a");
    CU_ASSERT_EQUAL(ggw_payload_uint(&r), numbers[i]);
    CU_ASSERT_EQUAL(ggw_payload_double(&r), 1.5);
    CU_ASSERT_EQUAL(ggw_payload_array(&r, &inner), 2);
    CU_ASSERT_TRUE(ggw_payload_bool(&inner));
    CU_ASSERT_STRING_EQUAL(ggw_payload_string(&inner), "nested");
    CU_ASSERT_TRUE(r.ok && inner.ok);
    ggw_payload_uint(&r);
    CU_ASSERT_FALSE(r.ok);
    ggw_payload_close(&r);
}

/*
 * Guards against frames that are lost or corrupted because TCP delivers the
 * stream in two parts. Every split position is tried.
 */
static void
test_split_stream(void)
{
    g_autoptr(GByteArray) s = sample_stream();

    for (size_t split = 0; split <= s->len; split++) {
        struct ggw_frame_decoder *d = ggw_frame_decoder_new();
        struct ggw_frame f;
        int n = 0;

        ggw_frame_feed(d, s->data, split);
        while (ggw_frame_next(d, &f) == GGW_FRAME_READY) {
            check_sample(&f, n++);
        }
        ggw_frame_feed(d, s->data + split, s->len - split);
        while (ggw_frame_next(d, &f) == GGW_FRAME_READY) {
            check_sample(&f, n++);
        }
        CU_ASSERT_EQUAL(n, FRAMES);
        CU_ASSERT_EQUAL(ggw_frame_pending(d), 0);
        ggw_frame_decoder_free(d);
    }
}

/*
 * Guards against a stream that ends within a frame being taken for complete.
 */
static void
test_truncated_stream(void)
{
    g_autoptr(GByteArray) s = sample_stream();
    struct ggw_frame_decoder *d = ggw_frame_decoder_new();
    struct ggw_frame f;
    int n = 0;

    ggw_frame_feed(d, s->data, s->len - 1);
    while (ggw_frame_next(d, &f) == GGW_FRAME_READY) {
        n++;
    }
    CU_ASSERT_EQUAL(n, FRAMES - 1);
    CU_ASSERT_TRUE(ggw_frame_pending(d) > 0);
    ggw_frame_decoder_free(d);
}

/* Decodes a stream and returns the status after its last complete frame. */
static enum ggw_frame_status
decode_bytes(const void *data, size_t len)
{
    struct ggw_frame_decoder *d = ggw_frame_decoder_new();
    struct ggw_frame f;
    enum ggw_frame_status status;

    ggw_frame_feed(d, data, len);
    do {
        status = ggw_frame_next(d, &f);
    } while (status == GGW_FRAME_READY);
    ggw_frame_decoder_free(d);
    return status;
}

#define DECODE(bytes) decode_bytes(bytes, sizeof(bytes) - 1)

/*
 * Guards against invalid frames being accepted, and against memory being
 * allocated for the number of elements that an array header declares: the
 * frame with 0xdd declares an array of 4,294,967,295 elements.
 */
static void
test_invalid_frames(void)
{
    static char big[GGW_FRAME_MAX];
    GByteArray *out = g_byte_array_new();

    CU_ASSERT_EQUAL(DECODE("\x00\x00\x00\x00"), GGW_FRAME_OVERSIZED);
    CU_ASSERT_EQUAL(DECODE("\x00\x20\x00\x01"), GGW_FRAME_OVERSIZED);
    CU_ASSERT_EQUAL(DECODE("\xff\xff\xff\xff"), GGW_FRAME_OVERSIZED);
    CU_ASSERT_EQUAL(DECODE("\0\0\0\5\x94\x02\x01\x01\xc0"),
                    GGW_FRAME_VERSION_UNKNOWN);
    CU_ASSERT_EQUAL(DECODE("\0\0\0\5\x93\x01\x01\x01\xc0"),
                    GGW_FRAME_MALFORMED);
    CU_ASSERT_EQUAL(DECODE("\0\0\0\4\x94\x01\x01\x01"), GGW_FRAME_MALFORMED);
    CU_ASSERT_EQUAL(DECODE("\0\0\0\6\x94\x01\x01\x01\xc0\xc0"),
                    GGW_FRAME_MALFORMED);
    CU_ASSERT_EQUAL(DECODE("\0\0\0\5\x94\x01\xff\x01\xc0"),
                    GGW_FRAME_MALFORMED);
    CU_ASSERT_EQUAL(DECODE("\0\0\0\5\x94\x01\x01\xa0\xc0"),
                    GGW_FRAME_MALFORMED);
    CU_ASSERT_EQUAL(DECODE("\0\0\0\5\x94\x01\x01\x01\xc1"),
                    GGW_FRAME_MALFORMED);
    CU_ASSERT_EQUAL(DECODE("\0\0\0\x9\x94\x01\x01\x01\xdd\xff\xff\xff\xff"),
                    GGW_FRAME_MALFORMED);
    CU_ASSERT_EQUAL(
        DECODE("\0\0\0\xe\x94\1\1\1\x91\x91\x91\x91\x91\x91\x91\x91\x91\x01"),
        GGW_FRAME_MALFORMED);
    CU_ASSERT_EQUAL(DECODE("\0\0\0\5\x94\x01\x01\x01\xc0"), GGW_FRAME_MORE);
    CU_ASSERT_FALSE(ggw_frame_encode(out, 1, 1, big, GGW_FRAME_MAX));
    CU_ASSERT_EQUAL(out->len, 0);
    CU_ASSERT_TRUE(ggw_frame_encode(out, 1, 1, big, GGW_FRAME_MAX - 4));
    g_byte_array_unref(out);
}

/*
 * Guards against crashes and memory errors on corrupted or hostile input.
 * Every decoded payload is also read; the sanitizers report invalid accesses.
 */
static void
test_mutated_streams(void)
{
    g_autoptr(GByteArray) s = sample_stream();
    g_autoptr(GRand) rand = g_rand_new_with_seed(SEED);
    int rejected = 0;

    for (int round = 0; round < 20000; round++) {
        g_autofree uint8_t *copy = g_memdup2(s->data, s->len);
        int changes = g_rand_int_range(rand, 1, 5);
        struct ggw_frame_decoder *d = ggw_frame_decoder_new();
        struct ggw_frame f;
        enum ggw_frame_status status;

        for (int i = 0; i < changes; i++) {
            copy[g_rand_int_range(rand, 0, s->len)] =
                (uint8_t)g_rand_int_range(rand, 0, 256);
        }
        ggw_frame_feed(d, copy, s->len);
        while ((status = ggw_frame_next(d, &f)) == GGW_FRAME_READY) {
            struct ggw_payload_reader r;

            ggw_payload_open(&r, f.payload, f.payload_len);
            ggw_payload_string(&r);
            ggw_payload_uint(&r);
            ggw_payload_double(&r);
            ggw_payload_close(&r);
        }
        rejected += status != GGW_FRAME_MORE;
        ggw_frame_decoder_free(d);
    }
    CU_ASSERT_TRUE(rejected > 1000);
}

int
main(void)
{
    CU_pSuite suite;
    unsigned failures;

    CU_initialize_registry();
    suite = CU_add_suite("frame", NULL, NULL);
    CU_add_test(suite, "split stream", test_split_stream);
    CU_add_test(suite, "truncated stream", test_truncated_stream);
    CU_add_test(suite, "invalid frames", test_invalid_frames);
    CU_add_test(suite, "mutated streams", test_mutated_streams);
    CU_basic_run_tests();
    failures = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failures != 0;
}
