#include "decide/claim.h"

#include <jansson.h>
#include <string.h>

#include "common/json_text.h"

static const char *const state_names[] = {
    [GGW_CLAIM_ROW_CLAIMED] = "claimed",
    [GGW_CLAIM_ROW_DONE] = "done",
    [GGW_CLAIM_ROW_NOT_RUN] = "not-run",
};

bool
ggw_claim_row_parse(const char *text, struct ggw_claim_row *out)
{
    json_t *json =
        ggw_json_parse("row of a claim", text, strlen(text), 0, NULL);
    const char *gateway, *nonce, *state;
    json_int_t incarnation;
    int found = -1;

    memset(out, 0, sizeof(*out));
    if (json_unpack(json, "{s:s, s:I, s:s, s:s, s:i}", "gateway", &gateway,
                    "incarnation", &incarnation, "nonce", &nonce, "state",
                    &state, "status", &out->status) == 0) {
        for (size_t i = 0; i < G_N_ELEMENTS(state_names); i++) {
            if (strcmp(state, state_names[i]) == 0) {
                found = (int)i;
            }
        }
    }
    if (found >= 0) {
        out->gateway = g_strdup(gateway);
        out->incarnation = (uint64_t)incarnation;
        out->nonce = g_strdup(nonce);
        out->state = (enum ggw_claim_row_state)found;
    }
    json_decref(json);
    return found >= 0;
}

char *
ggw_claim_row_print(const struct ggw_claim_row *row)
{
    json_t *json = json_pack(
        "{s:s, s:I, s:s, s:s, s:i}", "gateway", row->gateway, "incarnation",
        (json_int_t)row->incarnation, "nonce", row->nonce, "state",
        state_names[row->state], "status", row->status);
    char *text = json_dumps(json, JSON_COMPACT);
    char *copy = g_strdup(text);

    free(text);
    json_decref(json);
    return copy;
}

void
ggw_claim_row_clear(struct ggw_claim_row *row)
{
    g_clear_pointer(&row->gateway, g_free);
    g_clear_pointer(&row->nonce, g_free);
}

static enum ggw_claim_verdict
decide_claim(const struct ggw_claim_row *want, const struct ggw_claim_row *row)
{
    /* The same nonce with another state: this claim was settled already. */
    if (strcmp(row->nonce, want->nonce) == 0 &&
        row->state == GGW_CLAIM_ROW_CLAIMED) {
        return GGW_CLAIM_VERDICT_WRITTEN;
    }
    switch (row->state) {
    case GGW_CLAIM_ROW_DONE:
        return GGW_CLAIM_VERDICT_DONE;
    case GGW_CLAIM_ROW_NOT_RUN:
        return GGW_CLAIM_VERDICT_WRITE;
    case GGW_CLAIM_ROW_CLAIMED:
        break;
    }
    return GGW_CLAIM_VERDICT_TAKEN;
}

static enum ggw_claim_verdict
decide_settlement(const struct ggw_claim_row *want,
                  const struct ggw_claim_row *row)
{
    if (strcmp(row->nonce, want->nonce) != 0) {
        return GGW_CLAIM_VERDICT_TAKEN;
    }
    if (row->state == want->state) {
        return GGW_CLAIM_VERDICT_WRITTEN;
    }
    return row->state == GGW_CLAIM_ROW_CLAIMED ? GGW_CLAIM_VERDICT_WRITE
                                               : GGW_CLAIM_VERDICT_TAKEN;
}

enum ggw_claim_verdict
ggw_claim_decide(const struct ggw_claim_row *want, const char *text,
                 int *status)
{
    struct ggw_claim_row row;
    enum ggw_claim_verdict verdict;

    if (text == NULL) {
        return want->state == GGW_CLAIM_ROW_DONE ? GGW_CLAIM_VERDICT_TAKEN
                                                 : GGW_CLAIM_VERDICT_WRITE;
    }
    if (!ggw_claim_row_parse(text, &row)) {
        return GGW_CLAIM_VERDICT_TAKEN;
    }
    verdict = want->state == GGW_CLAIM_ROW_CLAIMED
                  ? decide_claim(want, &row)
                  : decide_settlement(want, &row);
    *status = row.status;
    ggw_claim_row_clear(&row);
    return verdict;
}
