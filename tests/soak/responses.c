#include "tests/soak/responses.h"

#include <string.h>

#include "tests/soak/servers.h"

/*
 * Large bodies are sent at a slow pace from the byte on from which a gateway
 * no longer holds them back.
 */
#define FAST_BYTES ((size_t)9 * 256 * 1024)
#define SLOW_PIECE_BYTES ((size_t)64 * 1024)
#define SLOW_PIECE_MS 80.0

/* Earlier responses that are larger than this are not sent once more. */
#define MAX_EARLIER_BYTES ((size_t)100 * 1024)

/* Ratio of copies that are of earlier responses, if there is one. */
#define EARLIER_COPY_RATIO 0.75

/* Delay of a late copy and of its second half, ms. */
#define MIN_LATE_MS 0.2
#define MAX_LATE_MS 60.0

/* Bytes without end: size and interval of the pieces, and unsent bytes. */
#define ENDLESS_PIECE_BYTES ((size_t)64 * 1024)
#define ENDLESS_INTERVAL_MS 4.0
#define ENDLESS_UNSENT_BYTES ((size_t)1024 * 1024)

static const char interim_response[] = "HTTP/1.1 103 X\r\n\r\n";

enum piece_kind {
    PIECE_BYTES,
    PIECE_REPEATED, /* sent again and again */
    PIECE_END,      /* the connection is closed in order */
    PIECE_RESET,
};

/* Something to do on a connection, @delay ms after the piece before it. */
struct piece {
    enum piece_kind kind;
    ggw_ms delay;
    char *bytes;
    size_t len;
};

enum framing {
    FRAMED_BY_LENGTH,
    FRAMED_BY_CHUNKS,
    UNFRAMED,
};

/* Where a copy is sent; the first three are copies of the same response. */
enum repeat {
    REPEAT_AT_ONCE,
    REPEAT_LATE,
    REPEAT_IN_HALVES,
    REPEAT_BEHIND_ITSELF, /* without a length */
    REPEAT_EARLIER,       /* from here on, copies of an earlier response */
    REPEAT_AFTER_INTERIM = REPEAT_EARLIER,
    REPEAT_BEFORE_NEXT,
    REPEAT_BEHIND_UNFRAMED,
    REPEAT_INSIDE,
    REPEATS,
};

enum endless {
    ENDLESS_HEADER,
    ENDLESS_CHUNKS,
    ENDLESS_UNFRAMED,
    ENDLESS_FORMS,
};

/**
 * struct soak_responder - what is sent on a connection
 * @pieces: struct piece, in order
 * @timer: runs until the first piece is due
 * @earlier: the last response, with its id; NULL before the first one
 * @earlier_anonymous: the same without its id
 * @attempt: the attempt that was responded to last, or NULL
 * @ended: the end of the connection is in @pieces or was sent
 */
struct soak_responder {
    struct soak_wire *wire;
    GRand *rand;
    struct ggw_fine_timers *timers;
    struct ggw_fine_timer timer;
    GQueue pieces;
    GString *earlier;
    GString *earlier_anonymous;
    struct soak_attempt *attempt;
    bool ended;
};

static void
piece_free(gpointer data)
{
    struct piece *p = data;

    g_free(p->bytes);
    g_free(p);
}

static void
string_free(GString *s)
{
    if (s != NULL) {
        g_string_free(s, TRUE);
    }
}

struct soak_responder *
soak_responder_new(struct soak_wire *w, GRand *rand,
                   struct ggw_fine_timers *timers)
{
    struct soak_responder *r = g_new0(struct soak_responder, 1);

    r->wire = w;
    r->rand = rand;
    r->timers = timers;
    r->timer.data = r;
    return r;
}

void
soak_responder_free(struct soak_responder *r)
{
    ggw_fine_timer_stop(r->timers, &r->timer);
    g_queue_clear_full(&r->pieces, piece_free);
    string_free(r->earlier);
    string_free(r->earlier_anonymous);
    g_free(r);
}

/* Sends a piece without end once more, unless much of it is unsent. */
static void
send_repeated(struct soak_responder *r, struct piece *p)
{
    if (soak_wire_unsent(r->wire) < ENDLESS_UNSENT_BYTES) {
        soak_wire_send(r->wire, p->bytes, p->len);
    }
    p->delay = ENDLESS_INTERVAL_MS;
    g_queue_push_head(&r->pieces, p);
}

static void
send_piece(struct soak_responder *r, struct piece *p)
{
    switch (p->kind) {
    case PIECE_BYTES:
        soak_wire_send(r->wire, p->bytes, p->len);
        break;
    case PIECE_REPEATED:
        send_repeated(r, p);
        return;
    case PIECE_END:
        soak_wire_end(r->wire);
        break;
    case PIECE_RESET:
        soak_wire_close(r->wire, true);
        break;
    }
    piece_free(p);
}

static void advance(struct soak_responder *r);

static void
timer_cb(struct ggw_fine_timer *timer)
{
    advance(timer->data);
}

/* Sends all pieces that are due. */
static void
advance(struct soak_responder *r)
{
    struct piece *p;

    while (r->timer.pos == 0 && (p = g_queue_peek_head(&r->pieces)) != NULL) {
        if (p->delay > 0) {
            ggw_fine_timer_start(r->timers, &r->timer, soak_now() + p->delay,
                                 timer_cb);
            p->delay = 0;
            return;
        }
        send_piece(r, g_queue_pop_head(&r->pieces));
    }
}

static void
add_piece(struct soak_responder *r, enum piece_kind kind, const char *bytes,
          size_t len, ggw_ms delay)
{
    struct piece *p = g_new0(struct piece, 1);

    p->kind = kind;
    p->bytes = len > 0 ? g_memdup2(bytes, len) : NULL;
    p->len = len;
    p->delay = delay;
    g_queue_push_tail(&r->pieces, p);
}

static void
add_bytes(struct soak_responder *r, const char *bytes, size_t len)
{
    add_piece(r, PIECE_BYTES, bytes, len, 0);
}

static void
add_end(struct soak_responder *r, enum piece_kind kind)
{
    add_piece(r, kind, NULL, 0, 0);
    r->ended = true;
}

static GString *
head_text(const struct soak_response *response, bool with_id,
          enum framing framing)
{
    GString *s = g_string_new(NULL);

    g_string_append_printf(s, "HTTP/1.1 %d X\r\n%s", response->status,
                           response->headers);
    if (with_id && response->id != NULL) {
        g_string_append_printf(s, "Attempt-Id: %s\r\n", response->id);
    }
    if (framing == FRAMED_BY_LENGTH) {
        g_string_append_printf(s, "Content-Length: %zu\r\n", response->len);
    }
    else if (framing == FRAMED_BY_CHUNKS) {
        g_string_append(s, "Transfer-Encoding: chunked\r\n");
    }
    g_string_append(s, "\r\n");
    return s;
}

static GString *
response_text(const struct soak_response *response, bool with_id)
{
    GString *s = head_text(response, with_id, FRAMED_BY_LENGTH);

    g_string_append_len(s, response->body, (gssize)response->len);
    return s;
}

static void
add_head(struct soak_responder *r, const struct soak_response *response,
         enum framing framing)
{
    GString *s = head_text(response, true, framing);

    add_bytes(r, s->str, s->len);
    g_string_free(s, TRUE);
}

static void
add_body(struct soak_responder *r, const struct soak_response *response)
{
    size_t at = MIN(response->len, FAST_BYTES);

    add_bytes(r, response->body, at);
    while (at < response->len) {
        size_t len = MIN(response->len - at, SLOW_PIECE_BYTES);

        add_piece(r, PIECE_BYTES, response->body + at, len, SLOW_PIECE_MS);
        at += len;
    }
}

static void
add_framed(struct soak_responder *r, const struct soak_response *response)
{
    add_head(r, response, FRAMED_BY_LENGTH);
    add_body(r, response);
}

static void
keep_as_earlier(struct soak_responder *r, const struct soak_response *response)
{
    if (response->len > MAX_EARLIER_BYTES) {
        return;
    }
    string_free(r->earlier);
    string_free(r->earlier_anonymous);
    r->earlier = response_text(response, true);
    r->earlier_anonymous = response_text(response, false);
}

static const GString *
pick_copy(struct soak_responder *r)
{
    return g_rand_boolean(r->rand) ? r->earlier : r->earlier_anonymous;
}

static ggw_ms
pick_delay(struct soak_responder *r)
{
    return g_rand_double_range(r->rand, MIN_LATE_MS, MAX_LATE_MS);
}

/* Sends a response and its copy behind it. */
static void
repeat_same(struct soak_responder *r, const struct soak_response *response,
            enum repeat repeat)
{
    bool unframed = repeat == REPEAT_BEHIND_ITSELF;
    const GString *copy;
    size_t half;

    add_head(r, response, unframed ? UNFRAMED : FRAMED_BY_LENGTH);
    add_body(r, response);
    keep_as_earlier(r, response);
    copy = pick_copy(r);
    if (copy != NULL) {
        half = repeat == REPEAT_IN_HALVES ? copy->len / 2 : copy->len;
        add_piece(r, PIECE_BYTES, copy->str, half,
                  repeat == REPEAT_LATE || repeat == REPEAT_IN_HALVES
                      ? pick_delay(r)
                      : 0);
        add_piece(r, PIECE_BYTES, copy->str + half, copy->len - half,
                  pick_delay(r));
    }
    if (unframed) {
        add_end(r, PIECE_END);
    }
}

/* Sends the copy of an earlier response before, in or behind a response. */
static void
repeat_earlier(struct soak_responder *r, const struct soak_response *response,
               enum repeat repeat)
{
    const GString *copy = pick_copy(r);
    size_t half = response->len / 2;

    switch (repeat) {
    case REPEAT_BEHIND_UNFRAMED:
        add_head(r, response, UNFRAMED);
        add_body(r, response);
        add_piece(r, PIECE_BYTES, copy->str, copy->len,
                  g_rand_boolean(r->rand) ? pick_delay(r) : 0);
        add_end(r, PIECE_END);
        break;
    case REPEAT_INSIDE:
        add_head(r, response, FRAMED_BY_LENGTH);
        add_bytes(r, response->body, half);
        add_bytes(r, copy->str, copy->len);
        add_bytes(r, response->body + half, response->len - half);
        break;
    case REPEAT_AFTER_INTERIM:
        add_bytes(r, interim_response, strlen(interim_response));
        add_bytes(r, copy->str, copy->len);
        add_framed(r, response);
        break;
    default:
        add_bytes(r, copy->str, copy->len);
        add_framed(r, response);
        break;
    }
    keep_as_earlier(r, response);
}

/* Copies of earlier responses are sent more often, where there are any. */
static enum repeat
pick_repeat(struct soak_responder *r)
{
    bool of_earlier =
        r->earlier != NULL && g_rand_double(r->rand) < EARLIER_COPY_RATIO;

    return (enum repeat)(
        of_earlier ? g_rand_int_range(r->rand, REPEAT_EARLIER, REPEATS)
                   : g_rand_int_range(r->rand, 0, REPEAT_EARLIER));
}

static void
send_with_copy(struct soak_responder *r, const struct soak_response *response,
               struct soak_attempt *a)
{
    enum repeat repeat = pick_repeat(r);

    a->sent_form =
        repeat < REPEAT_EARLIER ? SOAK_SENT_COPY : SOAK_SENT_EARLIER_COPY;
    if (repeat == REPEAT_BEHIND_ITSELF || repeat == REPEAT_BEHIND_UNFRAMED ||
        repeat == REPEAT_INSIDE) {
        a->server_broke_off = true;
    }
    if (repeat < REPEAT_EARLIER) {
        repeat_same(r, response, repeat);
    }
    else {
        repeat_earlier(r, response, repeat);
    }
}

static void
send_endless(struct soak_responder *r, const struct soak_response *response)
{
    static const char header[] = "HTTP/1.1 200 X\r\nX-Endless: ";
    enum endless form =
        (enum endless)g_rand_int_range(r->rand, 0, ENDLESS_FORMS);
    g_autofree char *bytes = g_strnfill(ENDLESS_PIECE_BYTES, 'x');
    g_autofree char *chunk =
        g_strdup_printf("%zx\r\n%s\r\n", ENDLESS_PIECE_BYTES, bytes);

    r->ended = true;
    if (form == ENDLESS_HEADER) {
        add_bytes(r, header, strlen(header));
    }
    else {
        add_head(r, response,
                 form == ENDLESS_CHUNKS ? FRAMED_BY_CHUNKS : UNFRAMED);
    }
    if (form == ENDLESS_CHUNKS) {
        add_piece(r, PIECE_REPEATED, chunk, strlen(chunk), 0);
    }
    else {
        add_piece(r, PIECE_REPEATED, bytes, ENDLESS_PIECE_BYTES, 0);
    }
}

/* What stands in place of a status line. */
static const char *const malformed_lines[] = {
    "HTTP/1.1 000 X\r\n",
    "HTTP/1.1 2 00 X\r\n",
    "HTTP/1.1 200 X\r\nX Note: a\r\n",
    "HTTP/1.1 200 X\r\nX\001Note: a\r\n",
    "HTTP/1.1 200 X\r\nContent-Length : 1\r\n",
    "HTTP/1.1 103 X\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 X\r\n",
};

static void
send_malformed(struct soak_responder *r, const struct soak_response *response)
{
    GString *s = head_text(response, true, FRAMED_BY_LENGTH);
    size_t status_line = strcspn(s->str, "\n") + 1;
    const char *line = malformed_lines[g_rand_int_range(
        r->rand, 0, G_N_ELEMENTS(malformed_lines))];

    add_bytes(r, line, strlen(line));
    add_bytes(r, s->str + status_line, s->len - status_line);
    add_body(r, response);
    g_string_free(s, TRUE);
}

void
soak_responder_send(struct soak_responder *r,
                    const struct soak_response *response)
{
    add_framed(r, response);
    keep_as_earlier(r, response);
    advance(r);
}

void
soak_responder_send_faulty(struct soak_responder *r,
                           const struct soak_response *response,
                           const struct soak_response_faults *faults,
                           struct soak_attempt *a)
{
    double draw = g_rand_double(r->rand);

    r->attempt = a;
    if (draw < faults->endless_ratio) {
        a->server_broke_off = true;
        a->sent_form = SOAK_SENT_ENDLESS;
        send_endless(r, response);
        advance(r);
        return;
    }
    draw -= faults->endless_ratio;
    if (draw < faults->malformed_ratio) {
        a->sent_form = SOAK_SENT_MALFORMED;
        send_malformed(r, response);
        advance(r);
        return;
    }
    draw -= faults->malformed_ratio;
    a->response_sent = true;
    if (draw < faults->repeat_ratio) {
        send_with_copy(r, response, a);
    }
    else if (g_rand_double(r->rand) < faults->unframed_ratio) {
        a->sent_form = SOAK_SENT_UNFRAMED;
        add_head(r, response, UNFRAMED);
        add_body(r, response);
        add_end(r, PIECE_END);
    }
    else {
        add_framed(r, response);
        keep_as_earlier(r, response);
    }
    advance(r);
}

void
soak_responder_send_half(struct soak_responder *r,
                         const struct soak_response *response, bool framed,
                         struct soak_attempt *a)
{
    if (!framed) {
        a->server_broke_off = true;
    }
    add_head(r, response, framed ? FRAMED_BY_LENGTH : UNFRAMED);
    add_bytes(r, response->body, response->len / 2);
    add_end(r, framed ? PIECE_END : PIECE_RESET);
    advance(r);
}

bool
soak_responder_is_ended(const struct soak_responder *r)
{
    return r->ended;
}

void
soak_responder_record_cut(struct soak_responder *r)
{
    if (r->attempt != NULL && r->pieces.length > 0) {
        r->attempt->server_broke_off = true;
    }
}
